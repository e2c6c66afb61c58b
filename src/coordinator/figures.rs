//! The figures that operators ask for at the second address, by class name where they belong to a class.
//!
//! Each is counted in one place, where it happens: an answer where the core gives it, an attempt where its last byte is
//! written. So both fronts count, and a class that a reload brings counts from its first request on.

use super::Counter;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// What became of a class's requests.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    /// Requests served, refused and failed.
    pub ok: Counter,
    /// See `ok`.
    pub shed: Counter,
    /// See `ok`.
    pub errors: Counter,
    /// Attempts whose last byte went out.
    pub tries: Counter,
}

/// A figure that rises and falls: the sum of what each core last said.
#[derive(Debug, Default)]
pub struct Gauge(AtomicUsize);

impl Gauge {
    /// One core's share was `before` and is `now`.
    pub fn moved(&self, before: usize, now: usize) {
        self.0.fetch_add(now.wrapping_sub(before), Relaxed);
    }
    /// The figure.
    pub fn get(&self) -> usize {
        self.0.load(Relaxed)
    }
}

/// All figures of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Mutex<BTreeMap<String, Arc<ClassMetrics>>>,
    /// Requests taken and not yet ended.
    pub active: Gauge,
    /// Servers in the list.
    pub pool_size: Gauge,
    /// Those of them that the module avoids.
    pub pool_ejected: Gauge,
    /// Configurations taken at SIGHUP, and those turned down.
    pub config_applied: Counter,
    /// See `config_applied`.
    pub config_rejected: Counter,
}

impl Metrics {
    /// The figures of a class. A class that is dropped keeps them: they count from the process's start.
    pub fn class(&self, name: &str) -> Arc<ClassMetrics> {
        let mut classes = lock(&self.classes);
        classes.entry(name.to_owned()).or_default().clone()
    }

    /// All of them, a line each.
    pub fn dump(&self) -> String {
        let classes = lock(&self.classes);
        let mut text = String::new();
        for (name, t) in classes.iter() {
            for (what, counter) in
                [("ok", &t.ok), ("shed", &t.shed), ("errors", &t.errors), ("tries", &t.tries)]
            {
                let _ = writeln!(text, "node.responses.{name}.{what}={}", counter.get());
            }
        }
        let rest = [
            ("active", self.active.get() as u64),
            ("pool_size", self.pool_size.get() as u64),
            ("pool_ejected", self.pool_ejected.get() as u64),
            ("config_applied", self.config_applied.get()),
            ("config_rejected", self.config_rejected.get()),
        ];
        rest.iter().for_each(|(name, figure)| {
            let _ = writeln!(text, "node.{name}={figure}");
        });
        text
    }
}
