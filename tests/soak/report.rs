//! The report of the soak test: a line for each seed, and a table at the end.

use crate::checker::{allowed_losses, AllowedLoss, Violation};
use crate::history::{Class, Content, History, RequestEnd, RequestRecord};
use crate::script::Script;
use std::collections::BTreeMap;
use std::time::Duration;

/// A run with a larger sum of delays, over all sleeping threads, is reported as disturbed.
const DISTURBANCE_THRESHOLD: Duration = Duration::from_millis(250);

/// Counts and maxima over all seeds.
#[derive(Default)]
pub struct Report {
    pub failed_seeds: Vec<u64>,
    disturbed_seeds: Vec<u64>,
    /// The numbers of requests by class and outcome.
    requests: BTreeMap<(Class, String), usize>,
    /// The numbers of lost requests whose loss is allowed, by reason.
    losses: BTreeMap<AllowedLoss, usize>,
    slowest_answer: Duration,
    longest_drain: Duration,
    peak_memory_kib: u64,
    peak_descriptors: usize,
    seeds: usize,
}

impl Report {
    /// Adds a run and prints its line. For a run with violations it also prints the script and the
    /// requests concerned.
    pub fn add(&mut self, script: &Script, history: &History, violations: &[Violation]) {
        self.seeds += 1;
        for request in &history.requests {
            *self
                .requests
                .entry((request.class, outcome(request)))
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
        let disturbed = delay > DISTURBANCE_THRESHOLD;
        println!(
            "seed {}: {:?} {:?}, {} requests, {} attempts, delay {delay:?}{}, {} violations",
            script.seed,
            script.front,
            script.ending,
            history.requests.len(),
            history.attempts.len(),
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

    /// Returns whether there were requests of every class.
    pub fn has_requests_of_every_class(&self) -> bool {
        [Class::Complete, Class::Partial, Class::NonIdempotent]
            .iter()
            .all(|class| self.requests.keys().any(|(counted, _)| counted == class))
    }

    /// Prints the table.
    pub fn print(&self) {
        println!("{} seeds, failed {:?}", self.seeds, self.failed_seeds);
        println!("disturbed by the machine: {:?}", self.disturbed_seeds);
        for ((class, outcome), count) in &self.requests {
            println!("  {class:?} {outcome}: {count}");
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

/// Returns the name of a request's outcome in the table.
fn outcome(request: &RequestRecord) -> String {
    match &request.end {
        RequestEnd::Answered { status, content } => match content {
            Content::Complete => "complete".to_owned(),
            Content::Partial => "partial".to_owned(),
            Content::Wrong(_) => "wrong".to_owned(),
            Content::Error => status.to_string(),
        },
        RequestEnd::ConnectionEnded { .. } => "connection ended".to_owned(),
        RequestEnd::ClientDisconnected => "client disconnected".to_owned(),
        RequestEnd::TimedOut => "timed out".to_owned(),
    }
}

/// Prints the script of a run with violations, its processes and drains, and the requests
/// concerned.
fn print_failure(script: &Script, history: &History, violations: &[Violation]) {
    println!("  {script:?}");
    println!("  {:?}", history.processes);
    println!("  {:?}", history.drains);
    for violation in violations {
        println!("  {violation:?}");
        let Some(number) = violation.request else {
            continue;
        };
        let requests = history
            .requests
            .iter()
            .filter(|request| request.number == number);
        requests.for_each(|request| println!("    {request:?}"));
        let attempts = history
            .attempts
            .iter()
            .filter(|attempt| attempt.request == number);
        attempts.for_each(|attempt| println!("    {attempt:?}"));
    }
}
