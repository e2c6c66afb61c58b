//! Tests of queries of several rounds of which one is rejected.

use super::*;
use crate::coordinator::{AttemptEnd, PartRequest, Request, ServedPart};
use crate::proto::fetch::FetchedResponse;
use crate::proto::http::Headers;

/// The address of the server that has all shards in the inventory.
const SERVER: &str = "127.0.0.1:9102";
/// A page that another one follows.
const PAGE: &str = r#"{"type":"FeatureCollection","features":[],"links":[{"rel":"next","href":"?offset=OFFSET"}]}"#;
/// The coordinator's answer to a round for which the servers lack capacity.
const REJECTED: Answer = Answer::Rejected {
    retry_after: None,
    late: false,
};

/// A query whose last round is rejected.
#[derive(Debug)]
struct RejectedQuery {
    class: &'static str,
    /// The number of rounds that were served before.
    served_rounds: usize,
    /// Whether the requests of the last round were sent and rejected by the servers. Otherwise the
    /// coordinator rejected the round before any request was sent.
    attempted: bool,
}

impl RejectedQuery {
    /// Returns the final response of a query that the servers can neither sort nor filter.
    fn response(&self) -> Response {
        let headers = format!("X-Qos: {}\r\n", self.class);
        let mut reaction = start_items_query(&front(), "sortby=volts", &headers);
        let mut served_rounds = 0;
        loop {
            let (request, render) = match reaction {
                Reaction::Respond(response) => return response,
                Reaction::Submit(request, render) => (request, render),
            };
            let is_discovery = !page_requests(&request).all(|page| page.target.contains("/items?"));
            reaction = if is_discovery {
                render(Answer::Failed { late: false })
            } else if served_rounds < self.served_rounds {
                served_rounds += 1;
                render(serve(&request, served_rounds))
            } else {
                if self.attempted {
                    page_requests(&request).for_each(|page| drop(page.start_attempt("x")));
                }
                render(REJECTED)
            };
        }
    }
}

/// Returns the page requests of a round.
fn page_requests(request: &Request) -> impl Iterator<Item = Arc<PageRequest>> + '_ {
    let page_request = |part: &PartRequest| part.context.as_ref()?.get::<PageRequest>();
    request.parts.iter().filter_map(page_request)
}

/// Returns the answer to a round of which each request got a page.
fn serve(request: &Request, round: usize) -> Answer {
    let body = PAGE.replace("OFFSET", &round.to_string());
    let parts = request.parts.iter().zip(page_requests(request));
    let served_part = |(part, page): (&PartRequest, Arc<PageRequest>)| {
        let response = FetchedResponse {
            status: 200,
            headers: Headers::default(),
            body: body.clone().into_bytes(),
        };
        match page.interpret(SERVER, SERVER, response) {
            AttemptEnd::Served(value) => ServedPart {
                shard: part.shard,
                value,
            },
            AttemptEnd::Failed(outcome) => panic!("the page is valid: {outcome:?}"),
        }
    };
    Answer::Served {
        complete: true,
        parts: parts.map(served_part).collect(),
    }
}

#[test]
fn a_rejected_round_rejects_its_query_only_if_all_rounds_may_run_again() {
    // Guards against a 503 for a query whose pages ran: its client asks again, and they run twice.
    for class in ["once", "exact"] {
        for served_rounds in 0..3 {
            for attempted in [false, true] {
                let query = RejectedQuery {
                    class,
                    served_rounds,
                    attempted,
                };
                let response = query.response();
                let is_repeatable = class == "exact" || served_rounds == 0;
                let status = if is_repeatable { 503 } else { 502 };
                assert_eq!(response.status, status, "{query:?}: {response:?}");
                let has_retry_after = response.header("Retry-After").is_some();
                assert_eq!(has_retry_after, is_repeatable, "{query:?}");
            }
        }
    }
}
