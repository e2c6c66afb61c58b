//! The metrics that operators read at the admin endpoint, by class name where they belong to a
//! class.
//!
//! Each event is counted in one place, where it happens: an answer where the coordinator gives it,
//! an attempt where its last byte is written. Requests of both fronts are therefore counted, and
//! those of a class that a reload adds from the first one on.

use super::counters::Counter;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// The counters of one class.
#[derive(Debug, Default)]
pub struct ClassMetrics {
    /// Requests that were served.
    pub served: Counter,
    /// Requests that were rejected.
    pub rejected: Counter,
    /// Requests that failed, had the id of a pending one, or named an unknown class.
    pub errors: Counter,
    /// Attempts whose last byte was written.
    pub attempts: Counter,
}

/// A value that rises and falls: the sum of the last values that the coordinators of the process
/// reported.
#[derive(Debug, Default)]
pub struct Gauge(AtomicUsize);

impl Gauge {
    /// Replaces a coordinator's previous value by its current one.
    pub fn update(&self, previous: usize, current: usize) {
        self.0.fetch_add(current.wrapping_sub(previous), Relaxed);
    }

    /// Returns the sum over all coordinators.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Relaxed)
    }
}

/// All metrics of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Mutex<BTreeMap<String, Arc<ClassMetrics>>>,
    /// Pending queries.
    pub active: Gauge,
    /// Servers in the endpoint list.
    pub pool_size: Gauge,
    /// Servers that the policy has avoided for a second or longer.
    pub pool_ejected: Gauge,
    /// Configurations applied at SIGHUP.
    pub config_applied: Counter,
    /// Configurations rejected at SIGHUP.
    pub config_rejected: Counter,
}

impl Metrics {
    /// Returns the metrics of a class. They count from the start of the process: a class that is
    /// dropped keeps them.
    pub fn class(&self, name: &str) -> Arc<ClassMetrics> {
        let mut classes = lock(&self.classes);
        classes.entry(name.to_owned()).or_default().clone()
    }

    /// Returns all metrics as text, one on each line.
    #[must_use]
    pub fn dump(&self) -> String {
        let mut text = String::new();
        for (name, metrics) in lock(&self.classes).iter() {
            append_class(&mut text, name, metrics);
        }
        let values = [
            ("active", self.active.get() as u64),
            ("pool_size", self.pool_size.get() as u64),
            ("pool_ejected", self.pool_ejected.get() as u64),
            ("config_applied", self.config_applied.get()),
            ("config_rejected", self.config_rejected.get()),
        ];
        for (name, value) in values {
            let _ = writeln!(text, "node.{name}={value}");
        }
        text
    }
}

/// Appends the lines of one class.
fn append_class(text: &mut String, class: &str, metrics: &ClassMetrics) {
    let counters = [
        ("ok", &metrics.served),
        ("shed", &metrics.rejected),
        ("errors", &metrics.errors),
        ("tries", &metrics.attempts),
    ];
    for (name, counter) in counters {
        let _ = writeln!(text, "node.responses.{class}.{name}={}", counter.get());
    }
}
