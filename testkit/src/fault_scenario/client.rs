//! Clients of a fault scenario, which send queries, follow `next` links and check the answers.

use super::fleet::{shard_of_feature, FEATURES_PER_SHARD, SHARDS};
use super::query::{Class, Query, QueryLog};
use super::report::{AnswerKind, AnswerViolation, Report, Violation};
use crate::client::{Client, Header, Response};
use crate::sync::lock;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time from a request to its deadline, which clients send in `X-Expires-In`, in seconds.
const TIMEOUT_SECONDS: f64 = 2.0;
/// Time by which an answer may exceed its deadline, because of the network and a busy machine.
const NETWORK_MARGIN: Duration = Duration::from_millis(250);
/// Number of network margins that a client waits for a response after the deadline.
const MARGINS_WAITED: u32 = 4;
/// Time to wait before a page request is retried.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// Values of `limit`, of which each query takes one at random.
const LIMITS: [usize; 4] = [10, 100, 500, 5_000];
/// One in this many queries, on average, follows its `next` links to the end.
const QUERIES_PER_TRAVERSAL: u8 = 4;
/// Minimum share of the shards that an answer must contain.
const MIN_SHARE: f64 = 0.4;
/// Tolerance of the comparison of shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// State that the clients of a scenario share.
#[derive(Clone, Copy)]
pub(super) struct SharedState<'a> {
    /// Id of the next query.
    pub(super) next_query_id: &'a AtomicU64,
    /// Log of all queries.
    pub(super) queries: &'a QueryLog,
    /// Report to which answers and violations are added.
    pub(super) report: &'a Mutex<Report>,
}

/// Client that sends one query after another.
pub(super) struct ScenarioClient<'a> {
    client: Client,
    rng: fastrand::Rng,
    shared: SharedState<'a>,
}

/// Result of a request for a page.
struct PageAnswer {
    /// Response; `None` if the connection was closed or timed out.
    response: Option<Response>,
    kind: AnswerKind,
}

/// Accumulated pages of a query.
#[derive(Default)]
struct Answers {
    ids: Vec<String>,
    missing: BTreeSet<String>,
    violations: Vec<AnswerViolation>,
    /// Whether the last page had no `next` link.
    reached_end: bool,
}

impl<'a> ScenarioClient<'a> {
    /// Creates a client that waits for a response until [`MARGINS_WAITED`] network margins after the
    /// deadline.
    pub(super) fn new(address: SocketAddr, seed: u64, shared: SharedState<'a>) -> Self {
        let mut client = Client::new(address);
        client.timeout = Duration::from_secs_f64(TIMEOUT_SECONDS) + NETWORK_MARGIN * MARGINS_WAITED;
        ScenarioClient {
            client,
            rng: fastrand::Rng::with_seed(seed),
            shared,
        }
    }

    /// Sends a random query, follows its links if the query requires it, and reports the violations.
    pub(super) fn run_query(&mut self) {
        let query = Query {
            class: Class::ALL[self.rng.usize(..Class::ALL.len())],
            id: self.shared.next_query_id.fetch_add(1, Relaxed),
            follows_links: self.rng.u8(..QUERIES_PER_TRAVERSAL) == 0,
            limit: LIMITS[self.rng.usize(..LIMITS.len())],
        };
        self.shared.queries.record_query(&query);
        let answers = self.request_pages(&query);
        let query_id = query.id;
        let class = query.class.name();
        let violations = answers.into_violations().into_iter();
        let violations = violations.map(|violation| Violation::Answer {
            query_id,
            class,
            violation,
        });
        lock(self.shared.report).violations.extend(violations);
    }

    /// Requests the pages of a query and retries pages that were rejected or failed.
    fn request_pages(&mut self, query: &Query) -> Answers {
        let mut answers = Answers::default();
        let mut next = Some(query.first_target());
        let mut page_requests = 0;
        while let Some(target) = next.take() {
            let PageAnswer { response, kind } = self.request_page(query, &target, &mut answers);
            let Some(response) = response else {
                answers.violations.push(AnswerViolation::NoResponse);
                break;
            };
            match kind {
                AnswerKind::Complete | AnswerKind::Partial => {
                    answers.add_page(query, &response, kind);
                    let link = response.link("next");
                    answers.reached_end = link.is_none();
                    next = link.filter(|_| query.follows_links);
                }
                AnswerKind::Rejected if response.headers.get("retry-after").is_none() => {
                    answers.violations.push(AnswerViolation::NoRetryAfter);
                }
                AnswerKind::Rejected | AnswerKind::Failed | AnswerKind::DeadlineExceeded => {
                    if query.retries_page(page_requests) {
                        std::thread::sleep(RETRY_BACKOFF);
                        next = Some(target);
                    }
                }
                AnswerKind::Other => answers.violations.push(AnswerViolation::UnexpectedStatus {
                    status: response.status,
                    body: response.text(),
                }),
                AnswerKind::StaleCursor | AnswerKind::Lost => {}
            }
            page_requests += 1;
        }
        answers
    }

    /// Requests one page and records its latency and kind.
    fn request_page(&mut self, query: &Query, target: &str, answers: &mut Answers) -> PageAnswer {
        let started_at = Instant::now();
        self.shared.queries.record_page(query.id, started_at);
        let timeout = TIMEOUT_SECONDS.to_string();
        let headers = [
            Header::new("X-Qos", query.class.name()),
            Header::new("X-Expires-In", &timeout),
        ];
        let response = self.client.get_with(target, &headers).ok();
        let latency = started_at.elapsed();
        let kind = response.as_ref().map_or(AnswerKind::Lost, kind_of);
        lock(self.shared.report).record_answer(query.class.name(), kind, latency);
        if latency > Duration::from_secs_f64(TIMEOUT_SECONDS) + NETWORK_MARGIN {
            answers.violations.push(AnswerViolation::Late(latency));
        }
        PageAnswer { response, kind }
    }
}

/// Returns the kind of an answer by its status and headers.
fn kind_of(response: &Response) -> AnswerKind {
    match response.status {
        200 if response.header("x-answer-whole") == "true" => AnswerKind::Complete,
        200 => AnswerKind::Partial,
        410 => AnswerKind::StaleCursor,
        503 => AnswerKind::Rejected,
        504 => AnswerKind::DeadlineExceeded,
        502 => AnswerKind::Failed,
        _ => AnswerKind::Other,
    }
}

impl Answers {
    /// Checks a page and adds its features and missing shards.
    fn add_page(&mut self, query: &Query, response: &Response, kind: AnswerKind) {
        let json = response.json();
        let missing: BTreeSet<String> = json["missing"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|shard| shard.as_str().map(str::to_owned))
            .collect();
        if (kind == AnswerKind::Complete) != missing.is_empty() {
            let missing = missing.clone();
            self.violations
                .push(AnswerViolation::WrongCompleteness { kind, missing });
        }
        if query.class != Class::Partial && kind == AnswerKind::Partial {
            self.violations.push(AnswerViolation::PartialNotAllowed);
        }
        self.missing.extend(missing);
        let present = SHARDS.len() - self.missing.len();
        if present as f64 / SHARDS.len() as f64 + SHARE_TOLERANCE < MIN_SHARE {
            self.violations.push(AnswerViolation::BelowMinShare {
                missing: self.missing.clone(),
            });
        }
        let page = response.ids();
        let number_returned = &json["numberReturned"];
        if page.len() > query.limit || *number_returned != page.len() {
            self.violations.push(AnswerViolation::WrongCount {
                features: page.len(),
                limit: query.limit,
                number_returned: number_returned.to_string(),
            });
        }
        self.ids.extend(page);
    }

    /// Checks all pages together and returns all violations.
    fn into_violations(mut self) -> Vec<AnswerViolation> {
        let unique: BTreeSet<&String> = self.ids.iter().collect();
        // The program detects a feature that a server repeats on another page only within one answer,
        // not across the answers that are linked by `next`.
        if unique.len() != self.ids.len() {
            self.violations.push(AnswerViolation::DuplicateFeatures(
                self.ids.len() - unique.len(),
            ));
        }
        if self.ids.iter().any(|id| shard_of_feature(id).is_none()) {
            self.violations.push(AnswerViolation::UnknownFeature);
        }
        if self.reached_end && !self.ids.is_empty() {
            self.check_shards();
        }
        self.violations
    }

    /// Adds a violation for each incomplete shard that no page reported missing.
    fn check_shards(&mut self) {
        for (index, shard) in SHARDS.into_iter().enumerate() {
            let received = self
                .ids
                .iter()
                .filter(|id| shard_of_feature(id) == Some(index))
                .count();
            if !self.missing.contains(shard) && received != FEATURES_PER_SHARD {
                let expected = FEATURES_PER_SHARD;
                self.violations.push(AnswerViolation::IncompleteShard {
                    received,
                    expected,
                    shard,
                });
            }
        }
    }
}
