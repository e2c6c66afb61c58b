//! What a fault scenario counted, and the rules that were broken.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use thiserror::Error;

/// How a query was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    /// 410: the cursor is stale.
    StaleCursor,
    /// 502.
    Failed,
    /// 200, from some of the shards.
    Partial,
    /// No response.
    Lost,
    /// A status that none of the others has.
    Other,
    /// 504.
    DeadlineExceeded,
    /// 503.
    Rejected,
    /// 200, from all shards.
    Complete,
}

impl fmt::Display for AnswerKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            AnswerKind::StaleCursor => "begin anew",
            AnswerKind::Failed => "failed",
            AnswerKind::Partial => "in part",
            AnswerKind::Lost => "lost",
            AnswerKind::Other => "other",
            AnswerKind::DeadlineExceeded => "out of time",
            AnswerKind::Rejected => "refused",
            AnswerKind::Complete => "whole",
        })
    }
}

/// What the answers to one query broke.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnswerViolation {
    /// After the client's time.
    #[error("an answer after {} ms", .0.as_millis())]
    Late(Duration),
    /// The connection ended or timed out.
    #[error("no final answer")]
    NoResponse,
    /// It says that it is complete and names missing shards, or the reverse.
    #[error("an answer {kind} that lacks {missing:?}")]
    WrongCompleteness {
        /// What it says.
        kind: AnswerKind,
        /// The shards that it calls missing.
        missing: BTreeSet<String>,
    },
    /// The class wants all shards.
    #[error("an answer in part where the class wants all")]
    PartialNotAllowed,
    /// Fewer shards than the class wants at least.
    #[error("an answer from less than the floor: {missing:?} are missing")]
    BelowMinShare {
        /// The shards that it calls missing.
        missing: BTreeSet<String>,
    },
    /// More features than the limit, or another number of them than it says.
    #[error("{features} features, limit {limit}, told {number_returned}")]
    WrongCount {
        /// Features in the page.
        features: usize,
        /// The limit of the query.
        limit: usize,
        /// `numberReturned` of the page, as JSON.
        number_returned: String,
    },
    /// 503 without `Retry-After`.
    #[error("a refusal without Retry-After")]
    NoRetryAfter,
    /// A status that the program must not send here.
    #[error("status {status}: {body}")]
    UnexpectedStatus {
        /// The status.
        status: u16,
        /// The body, as text.
        body: String,
    },
    /// Features that came more than once, over all pages.
    #[error("{0} features came twice")]
    DuplicateFeatures(usize),
    /// A feature of no server.
    #[error("a feature that no server has")]
    UnknownFeature,
    /// A shard is not complete though all pages came and it is not called missing.
    #[error("{received} of {expected} features of {shard}, which is not said to be missing")]
    IncompleteShard {
        /// Features of it that came.
        received: usize,
        /// Features that it has.
        expected: usize,
        /// Its name.
        shard: &'static str,
    },
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// A draining server received a request.
    #[error("a request {} ms into a drain: {target}", .after.as_millis())]
    RequestWhileDraining {
        /// The time since the drain began.
        after: Duration,
        /// The target of the request.
        target: String,
    },
    /// A part that must run once at most was received more often.
    #[error("part of query {mark} came {times} times: {target}")]
    PartRepeated {
        /// The mark of its query.
        mark: u64,
        /// How often it was received.
        times: u32,
        /// The target of its requests.
        target: String,
    },
    /// The program counted a broken invariant of its own.
    #[error("an invariant was broken")]
    Invariant,
    /// The answers to a query break a rule.
    #[error("query {mark} of class {class}: {violation}")]
    Answer {
        /// The query's mark.
        mark: u64,
        /// The query's class.
        class: &'static str,
        /// What is wrong.
        violation: AnswerViolation,
    },
}

/// What was counted.
#[derive(Debug, Default)]
pub struct Report {
    /// Answers by class and kind.
    pub answers: BTreeMap<AnswerGroup, u64>,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Requests at the servers.
    pub server_requests: u64,
    /// Requests of the class that is not idempotent among them.
    pub non_idempotent_parts: u64,
    /// Drains of servers.
    pub drains: u64,
    /// The latency of the slowest answer.
    pub slowest: Duration,
    /// The program's counters at the end.
    pub counters: String,
}

/// Answers that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerGroup {
    /// The class of the queries.
    pub class: &'static str,
    /// How they were answered.
    pub kind: AnswerKind,
}

impl Report {
    pub(super) fn record_answer(&mut self, class: &'static str, kind: AnswerKind, latency: Duration) {
        *self.answers.entry(AnswerGroup { class, kind }).or_default() += 1;
        self.slowest = self.slowest.max(latency);
    }

    pub(super) fn record_counters(&mut self, counters: String) {
        if !counters.contains(" broken_invariants=0") {
            self.violations.push(Violation::Invariant);
        }
        self.counters = counters;
    }
}
