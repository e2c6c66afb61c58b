//! The report of a soak: a line for each seed, and a table at the end.

use crate::checker::{allowed_losses, AllowedLoss, Violation};
use crate::history::{Class, Content, History, RequestEnd, RequestRecord};
use crate::script::Script;
use std::collections::BTreeMap;
use std::time::Duration;

/// A run with more delay than this, over all threads that measure it, is reported as disturbed.
const DISTURBED: Duration = Duration::from_millis(250);

/// The sums over all seeds.
#[derive(Default)]
pub struct Report {
    pub failed_seeds: Vec<u64>,
    disturbed_seeds: Vec<u64>,
    requests: BTreeMap<(Class, String), usize>,
    losses: BTreeMap<AllowedLoss, usize>,
    slowest_answer: Duration,
    longest_drain: Duration,
    peak_memory_kib: u64,
    peak_descriptors: usize,
    seeds: usize,
}

impl Report {
    /// Adds a run, and prints its line; for a failed one, its script and the requests concerned.
    pub fn add(&mut self, script: &Script, history: &History, violations: &[Violation]) {
        self.seeds += 1;
        for request in &history.requests {
            *self
                .requests
                .entry((request.class, kind(request)))
                .or_default() += 1;
            if matches!(request.end, RequestEnd::Answered { .. }) {
                self.slowest_answer = self.slowest_answer.max(request.ended_at - request.sent_at);
            }
        }
        for (loss, count) in allowed_losses(history) {
            *self.losses.entry(loss).or_default() += count;
        }
        for process in &history.processes {
            let drain = process.terminated_at.zip(process.exited_at);
            let drain = drain.map_or(Duration::ZERO, |(from, to)| to.saturating_sub(from));
            self.longest_drain = self.longest_drain.max(drain);
            self.peak_memory_kib = self.peak_memory_kib.max(process.peak_memory_kib);
            self.peak_descriptors = self.peak_descriptors.max(process.peak_descriptors);
        }
        let delay = history.total_delay();
        let disturbed = delay > DISTURBED;
        println!(
            "seed {}: {:?} {:?}, {} requests, {} forwards, delay {delay:?}{}, {} violations",
            script.seed,
            script.front,
            script.ending,
            history.requests.len(),
            history.forwards.len(),
            if disturbed { " (disturbed)" } else { "" },
            violations.len()
        );
        if disturbed {
            self.disturbed_seeds.push(script.seed);
        }
        if !violations.is_empty() {
            self.failed_seeds.push(script.seed);
            print_failure(script, history, violations);
        }
    }

    /// Returns whether each class had requests.
    pub fn has_requests_of_every_class(&self) -> bool {
        [Class::Whole, Class::Partial, Class::Once]
            .iter()
            .all(|class| self.requests.keys().any(|(counted, _)| counted == class))
    }

    /// Prints the table.
    pub fn print(&self) {
        println!("{} seeds, failed {:?}", self.seeds, self.failed_seeds);
        println!("disturbed by the machine: {:?}", self.disturbed_seeds);
        for ((class, kind), count) in &self.requests {
            println!("  {class:?} {kind}: {count}");
        }
        println!("allowed losses: {:?}", self.losses);
        println!(
            "slowest answer {:?}, longest drain {:?}",
            self.slowest_answer, self.longest_drain
        );
        println!(
            "peak memory {} KiB, peak descriptors {}",
            self.peak_memory_kib, self.peak_descriptors
        );
    }
}

fn kind(request: &RequestRecord) -> String {
    match &request.end {
        RequestEnd::Answered { status, content } => match content {
            Content::Whole => "whole".to_owned(),
            Content::Partial => "partial".to_owned(),
            Content::Wrong(_) => "wrong".to_owned(),
            Content::Error => status.to_string(),
        },
        RequestEnd::Unanswered { .. } => "connection ended".to_owned(),
        RequestEnd::ClientLeft => "client left".to_owned(),
        RequestEnd::NeverAnswered => "never answered".to_owned(),
    }
}

/// Prints the script of a failed run, and the history of each request concerned.
fn print_failure(script: &Script, history: &History, violations: &[Violation]) {
    println!("  {script:?}");
    println!("  {:?}", history.processes);
    println!("  {:?}", history.drains);
    for violation in violations {
        println!("  {violation:?}");
        let Some(number) = violation.request else {
            continue;
        };
        let requests = history.requests.iter().filter(|r| r.number == number);
        requests.for_each(|request| println!("    {request:?}"));
        let forwards = history.forwards.iter().filter(|f| f.request == number);
        forwards.for_each(|forward| println!("    {forward:?}"));
    }
}
