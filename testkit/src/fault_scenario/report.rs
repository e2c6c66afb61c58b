//! Report of a fault scenario: counts of answers and requests, and violations of the rules.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use thiserror::Error;

/// Kind of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerKind {
    /// Status 410: the cursor is stale.
    StaleCursor,
    /// Status 502.
    Failed,
    /// Status 200 with only some of the shards.
    Partial,
    /// No response.
    Lost,
    /// Any other status.
    Other,
    /// Status 504.
    DeadlineExceeded,
    /// Status 503.
    Rejected,
    /// Status 200 with all shards.
    Complete,
}

impl fmt::Display for AnswerKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            AnswerKind::StaleCursor => "stale cursor",
            AnswerKind::Failed => "failed",
            AnswerKind::Partial => "partial",
            AnswerKind::Lost => "lost",
            AnswerKind::Other => "other",
            AnswerKind::DeadlineExceeded => "deadline exceeded",
            AnswerKind::Rejected => "rejected",
            AnswerKind::Complete => "complete",
        })
    }
}

/// Violation of a rule by the answers to one query.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnswerViolation {
    /// Answer that arrived later than the deadline and the network margin, with its latency.
    #[error("an answer after {} ms", .0.as_millis())]
    Late(Duration),
    /// Request whose connection was closed or timed out before a response.
    #[error("no final answer")]
    NoResponse,
    /// Answer that claims to be complete and lists missing shards, or the reverse.
    #[error("an answer of kind {kind} with the missing shards {missing:?}")]
    WrongCompleteness {
        /// Kind that the answer claims.
        kind: AnswerKind,
        /// Shards that the answer reports missing.
        missing: BTreeSet<String>,
    },
    /// Partial answer for a class that needs all shards.
    #[error("a partial answer for a class that requires all shards")]
    PartialNotAllowed,
    /// Answer with fewer shards than the minimum of its class.
    #[error("an answer with less than the minimum share of shards: {missing:?} are missing")]
    BelowMinShare {
        /// Shards that the answer reports missing.
        missing: BTreeSet<String>,
    },
    /// Page with more features than its limit, or with a `numberReturned` that differs from its
    /// number of features.
    #[error("{features} features, limit {limit}, numberReturned {number_returned}")]
    WrongCount {
        /// Number of features in the page.
        features: usize,
        /// Limit of the query.
        limit: usize,
        /// `numberReturned` of the page, as JSON.
        number_returned: String,
    },
    /// Status 503 without `Retry-After`.
    #[error("a rejection without Retry-After")]
    NoRetryAfter,
    /// Status that the program must not send.
    #[error("status {status}: {body}")]
    UnexpectedStatus {
        /// Status code.
        status: u16,
        /// Body as text.
        body: String,
    },
    /// Number of repetitions of features over all pages.
    #[error("{0} duplicate features")]
    DuplicateFeatures(usize),
    /// Feature that no server has.
    #[error("a feature that no server holds")]
    UnknownFeature,
    /// Incomplete shard that is not reported missing although all pages were received.
    #[error("{received} of {expected} features of {shard}, which is not reported missing")]
    IncompleteShard {
        /// Number of features received.
        received: usize,
        /// Number of features that the shard has.
        expected: usize,
        /// Name of the shard.
        shard: &'static str,
    },
}

/// Violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// Request that a draining server received.
    #[error("a request {} ms into a drain: {target}", .after.as_millis())]
    RequestWhileDraining {
        /// Time since the drain started.
        after: Duration,
        /// Target of the request.
        target: String,
    },
    /// Part that must run at most once but was received more than once.
    #[error("part of query {query_id} came {times} times: {target}")]
    PartRepeated {
        /// Id of the query.
        query_id: u64,
        /// Number of times the part was received.
        times: u32,
        /// Target of the requests.
        target: String,
    },
    /// Invariant violation that the program itself counted.
    #[error("an invariant was broken")]
    Invariant,
    /// Violation by the answers to a query.
    #[error("query {query_id} of class {class}: {violation}")]
    Answer {
        /// Id of the query.
        query_id: u64,
        /// Class of the query.
        class: &'static str,
        /// Violation by the answers.
        violation: AnswerViolation,
    },
}

/// Counts and violations of a scenario.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of answers by class and kind.
    pub answers: BTreeMap<AnswerGroup, u64>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Number of requests that the servers received.
    pub server_requests: u64,
    /// Number of received requests for parts of non-idempotent queries.
    pub non_idempotent_parts: u64,
    /// Number of drains.
    pub drains: u64,
    /// Latency of the slowest answer.
    pub max_latency: Duration,
    /// Counters of the program at the end, as the line that it logs.
    pub counters: String,
}

/// Key of the answers that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnswerGroup {
    /// Class of the queries.
    pub class: &'static str,
    /// Kind of the answers.
    pub kind: AnswerKind,
}

impl Report {
    /// Counts an answer and its latency.
    pub(super) fn record_answer(
        &mut self,
        class: &'static str,
        kind: AnswerKind,
        latency: Duration,
    ) {
        *self.answers.entry(AnswerGroup { class, kind }).or_default() += 1;
        self.max_latency = self.max_latency.max(latency);
    }

    /// Records the counters of the program, and a violation if they count a violated invariant.
    pub(super) fn record_counters(&mut self, counters: String) {
        if !counters.contains(" broken_invariants=0") {
            self.violations.push(Violation::Invariant);
        }
        self.counters = counters;
    }
}
