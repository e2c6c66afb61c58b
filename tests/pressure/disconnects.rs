//! Clients that disconnect with much unread, and ids that come again after their client has left.

use crate::crowd::Crowd;
use crate::fronts::{unanswered_shard, FrontKind, LimitedFront, FRONTS};
use crate::standin::client::{query, send_request, Class, QueryRequest, Shards};
use std::time::Duration;

/// The number of clients that disconnect.
const CLIENTS: usize = 60;
/// The number of requests of each client behind the first one.
const REQUESTS_BEHIND: usize = 100;
/// The number of bytes of each client behind its requests.
const UNREAD_BYTES: usize = 1_000_000;
/// The time for which the clients send before they disconnect.
const DURATION: Duration = Duration::from_millis(500);
/// The time in which a request that was wrongly kept would be sent on.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// The number of bytes that a client sends at a time.
const STEP: usize = 100_000;

/// Guards against requests that are sent on after their client has disconnected.
#[test]
fn requests_behind_a_query_in_flight_are_not_sent_on_after_the_disconnect() {
    for kind in FRONTS {
        let front = LimitedFront::start(kind, "left");
        let before = front.answered_requests();
        let mut crowd = Crowd::connect(front.process.address, CLIENTS, |client| {
            let mut text = front.query(&format!("first{client}"), false);
            for number in 0..REQUESTS_BEHIND {
                text += &front.query(&format!("behind{client}-{number}"), true);
            }
            let mut bytes = text.into_bytes();
            bytes.extend(vec![b'x'; UNREAD_BYTES]);
            bytes
        });
        crowd.run(DURATION, STEP);
        drop(crowd);
        std::thread::sleep(SETTLING_TIME);
        assert_eq!(front.answered_requests(), before, "{kind:?}");
        front.assert_memory_limit("clients that left");
        let answered = front.query("after", true);
        let answered = answered.replacen("\r\n", "\r\nConnection: close\r\n", 1);
        assert_eq!(
            front.process.send_request(&answered).status,
            200,
            "{kind:?}"
        );
    }
}

/// Guards against a part that runs twice, since its request comes again under the same id after its
/// client has left.
#[test]
fn the_id_of_an_abandoned_query_that_may_have_run_is_not_accepted_again() {
    let front = LimitedFront::start(FrontKind::Platform, "again");
    let shards = [unanswered_shard(0)];
    for (class, timeout_seconds, is_rejected) in [("send", 3.0, true), ("lookup", 0.5, false)] {
        let id = format!("again-{class}");
        let request = QueryRequest::new(&id, Class(class), Shards(&shards)).to_http();
        let client = send_request(&front.process, &request);
        front.process.wait_for_counter("attempts_fully_written", 1);
        let abandoned = if class == "send" { 1 } else { 2 };
        drop(client);
        front
            .process
            .wait_for_counter("queries_abandoned", abandoned);
        let again =
            QueryRequest::new(&id, Class(class), Shards(&shards)).timeout_seconds(timeout_seconds);
        let response = front
            .process
            .send_request(&again.close_connection().to_http());
        assert_eq!(response.status == 409, is_rejected, "{class}: {response:?}");
    }
    let other = query(&front.process, "other", Class("send"), Shards(&[0]));
    assert_eq!(other.status, 200);
}
