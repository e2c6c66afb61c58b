//! Memory: hundreds of clients that write slowly, stop within a request, send very many header
//! fields, or send large requests whose queries stay in flight.

use crate::crowd::Crowd;
use crate::fronts::{unanswered_shard, FrontKind, LimitedFront, FRONTS, SHARDS_PER_NODE};
use std::time::Duration;

/// The number of misbehaving clients; the process accepts fewer at a time.
const CLIENTS: usize = 400;
/// The number of queries that are in flight meanwhile.
const QUERIES_IN_FLIGHT: usize = 20;
/// The time for which the clients send.
const DURATION: Duration = Duration::from_secs(3);
/// The time for which the queries in flight are sent.
const QUERY_TIME: Duration = Duration::from_millis(100);
/// The number of bytes that a client sends at a time if it is fast.
const FAST: usize = 1_000_000;
/// The number of bytes that a client sends at a time if it is slow.
const SLOW: usize = 2_000;
/// The length of a large statement or of input behind a request, in bytes.
const LARGE: usize = 60_000;
/// The number of points of a large area.
const AREA_POINTS: usize = 18_000;

/// Lets clients send these bytes, `step` of them at a time, to a front with queries in flight, and
/// asserts that the memory limit holds and that queries are answered afterwards.
fn assert_limit(
    kind: FrontKind,
    what: &str,
    step: usize,
    bytes: impl Fn(&LimitedFront, usize) -> Vec<u8>,
) {
    let front = LimitedFront::start(kind, "memory");
    let query = |index| front.query(&format!("flight{index}"), false).into_bytes();
    let mut queries = Crowd::connect(front.process.address, QUERIES_IN_FLIGHT, query);
    queries.run(QUERY_TIME, FAST);
    let mut crowd = Crowd::connect(front.process.address, CLIENTS, |index| bytes(&front, index));
    crowd.run(DURATION, step);
    front.assert_memory_limit(what);
    assert_eq!(queries.open_count(), QUERIES_IN_FLIGHT, "{kind:?}, {what}");
    drop(crowd);
    let answered = front
        .query("after", true)
        .replacen("\r\n", "\r\nConnection: close\r\n", 1);
    assert_eq!(
        front.process.send_request(&answered).status,
        200,
        "{kind:?}, {what}"
    );
}

/// Returns a request that lacks the end of its large body.
fn incomplete_request(front: &LimitedFront) -> Vec<u8> {
    let mut bytes = front.head_with_body(front.max_body()).into_bytes();
    bytes.extend(vec![b'x'; front.max_body() - 1]);
    bytes
}

/// Returns a query of these shards of the platform with a large statement.
fn large_statement(front: &LimitedFront, index: usize, shards: usize) -> Vec<u8> {
    let weight = 1.0 / shards as f64;
    let part = |shard: usize| {
        let shard = unanswered_shard(shard);
        format!(r#"{{"tablet":{shard},"fraction":{weight}}}"#)
    };
    let parts: Vec<String> = (0..shards).map(part).collect();
    let statement = "s".repeat(LARGE);
    let body = format!(
        r#"{{"tablets":[{}],"statement":"{statement}"}}"#,
        parts.join(",")
    );
    let head = front.head_with_body(body.len());
    let head = head.replace("X-Trace-Id: x", &format!("X-Trace-Id: large{index}"));
    (head + &body).into_bytes()
}

/// Returns a search for the features in an area of many points.
fn area_search(front: &LimitedFront, collection: &str) -> String {
    let point = |n: usize| {
        let angle = n as f64 / AREA_POINTS as f64 * std::f64::consts::TAU;
        format!(
            "[{:.9},{:.9}]",
            10.0 + angle.cos() * 20.0,
            angle.sin() * 20.0
        )
    };
    let mut points: Vec<String> = (0..AREA_POINTS).map(point).collect();
    points.push(points[0].clone());
    let area = format!(
        r#"{{"type":"Polygon","coordinates":[[{}]]}}"#,
        points.join(",")
    );
    let filter = format!(r#"{{"op":"s_intersects","args":[{{"property":"geometry"}},{area}]}}"#);
    let body = format!(
        r#"{{"collections":["{collection}"],"limit":5,"filter-lang":"cql2-json","filter":{filter}}}"#
    );
    front.head_with_body(body.len()) + &body
}

/// Returns a search with a member of many JSON values.
fn search_with_values(front: &LimitedFront, values: String) -> Vec<u8> {
    let body = format!(r#"{{"collections":["hung"],"x":[{values}0]}}"#);
    (front.head_with_body(body.len()) + &body).into_bytes()
}

#[test]
fn clients_that_stop_within_a_large_request_do_not_exceed_the_memory() {
    for kind in FRONTS {
        assert_limit(kind, "incomplete bodies", FAST, |front, _| {
            incomplete_request(front)
        });
    }
}

#[test]
fn clients_that_write_slowly_do_not_exceed_the_memory() {
    for kind in FRONTS {
        assert_limit(kind, "slow bodies", SLOW, |front, _| {
            incomplete_request(front)
        });
    }
}

#[test]
fn heads_of_very_many_short_fields_do_not_exceed_the_memory() {
    for kind in FRONTS {
        assert_limit(kind, "many fields", FAST, |front, _| {
            let head = front.head_with_body(front.max_body());
            let head = head.replace("\r\n\r\n", "\r\n");
            (head + &"a:\r\n".repeat(50) + "\r\n").into_bytes()
        });
        assert_limit(kind, "endless fields", FAST, |front, _| {
            let head = front.head_with_body(0).replace("\r\n\r\n", "\r\n");
            (head + &"a:\r\n".repeat(LARGE)).into_bytes()
        });
    }
}

/// Guards against input behind requests in progress that no limit bounds.
#[test]
fn input_behind_queries_in_flight_does_not_exceed_the_memory() {
    for kind in FRONTS {
        assert_limit(kind, "input behind queries", FAST, |front, index| {
            let mut bytes = front.query(&format!("behind{index}"), false).into_bytes();
            bytes.extend(vec![b'x'; LARGE]);
            bytes
        });
    }
}

/// Guards against payloads of queries in flight, and their copies for each part, that no limit
/// bounds.
#[test]
fn large_statements_in_flight_do_not_exceed_the_memory() {
    assert_limit(
        FrontKind::Platform,
        "large statements",
        FAST,
        |front, index| {
            let mut bytes = large_statement(front, index, 1);
            bytes.extend(vec![b'x'; LARGE]);
            bytes
        },
    );
    assert_limit(
        FrontKind::Platform,
        "statements of many parts",
        FAST,
        |front, index| large_statement(front, index, SHARDS_PER_NODE),
    );
}

/// Guards against bodies of searches whose parsed values need a multiple of their length, and that
/// no limit bounds while their queries are in flight.
#[test]
fn large_searches_in_flight_do_not_exceed_the_memory() {
    let kind = FrontKind::Features;
    assert_limit(kind, "large areas", FAST, |front, _| {
        area_search(front, "hung").into_bytes()
    });
    assert_limit(kind, "many numbers", FAST, |front, _| {
        search_with_values(front, "0,".repeat(500_000))
    });
    assert_limit(kind, "many arrays", FAST, |front, _| {
        search_with_values(front, "[1],".repeat(250_000))
    });
    assert_limit(kind, "arrays that fit", FAST, |front, _| {
        search_with_values(front, "[1],".repeat(20_000))
    });
}

/// Guards against a limit that rejects areas which the front accepts.
#[test]
fn a_large_area_is_served_within_the_memory() {
    let front = LimitedFront::start(FrontKind::Features, "area");
    let search = area_search(&front, "devices").replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let response = front.process.send_request(&search);
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(response.link("next").is_some());
    front.assert_memory_limit("a large area");
    let values = search_with_values(&front, "[1],".repeat(250_000));
    let values = String::from_utf8(values).expect("the search is text");
    let values = values.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    assert_eq!(front.process.send_request(&values).status, 413);
}
