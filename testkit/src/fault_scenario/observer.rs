//! Checks of the requests in the logs of the servers of a fault scenario.

use super::fleet::Fleet;
use super::query::{query_id_of_target, QueryLog};
use super::report::{Report, Violation};
use crate::feature_server::{Fault, LoggedRequest};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after the start of a drain for which the server may still receive requests.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

/// Drain of a server.
pub(super) struct Drain {
    /// Index of the server in the fleet.
    pub(super) server: usize,
    /// Time just after the program reloaded the inventory in which the server is draining.
    pub(super) started_at: Instant,
    /// Time just before the reload that put the server back in service.
    pub(super) ended_at: Instant,
}

impl Drain {
    /// Returns the time since the start of the drain if the server must not receive a request at
    /// `at`, and otherwise `None`.
    fn elapsed_if_forbidden(&self, at: Instant) -> Option<Duration> {
        let forbidden = at > self.started_at + DRAIN_GRACE && at < self.ended_at;
        forbidden.then(|| at.duration_since(self.started_at))
    }
}

/// Part of a non-idempotent query, which must run at most once.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Part {
    query_id: u64,
    /// Number of pages that the client had requested by the time of the request.
    page: usize,
    target: String,
}

/// Checks the logs of all servers and adds the results to the report.
pub(super) fn observe(fleet: &Fleet, drains: &[Drain], queries: &QueryLog, report: &mut Report) {
    let mut request_counts: BTreeMap<Part, u32> = BTreeMap::new();
    for (index, server) in fleet.servers.iter().enumerate() {
        let log = server.log();
        report.server_requests += log.len() as u64;
        for request in log {
            let drains = drains.iter().filter(|drain| drain.server == index);
            let forbidden =
                drains.filter_map(|drain| drain.elapsed_if_forbidden(request.received_at));
            report
                .violations
                .extend(forbidden.map(|after| Violation::RequestWhileDraining {
                    after,
                    target: request.target.clone(),
                }));
            if let Some(part) = non_idempotent_part(request, queries) {
                report.non_idempotent_parts += 1;
                *request_counts.entry(part).or_default() += 1;
            }
        }
    }
    report.drains = drains.len() as u64;
    let repeated = request_counts.into_iter().filter(|(_, times)| *times > 1);
    report
        .violations
        .extend(repeated.map(|(part, times)| Violation::PartRepeated {
            query_id: part.query_id,
            times,
            target: part.target,
        }));
}

/// Returns the part that a request belongs to, if the part must run at most once and may have run.
/// A part whose request was rejected with status 429 did not run and may be retried.
fn non_idempotent_part(request: LoggedRequest, queries: &QueryLog) -> Option<Part> {
    if request.fault == Fault::TooManyRequests {
        return None;
    }
    let query_id = query_id_of_target(&request.target)?;
    let page = queries.non_idempotent_page(query_id, request.received_at)?;
    Some(Part {
        query_id,
        page,
        target: request.target,
    })
}
