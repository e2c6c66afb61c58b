//! Fairness: one client that sends small or unsound requests on one connection at full speed.

use crate::fronts::{FrontKind, LimitedFront, FRONTS};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The time for which the client sends.
const DURATION: Duration = Duration::from_secs(3);
/// The time by which the query of another client must be answered.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// The pause between two queries of another client.
const QUERY_PAUSE: Duration = Duration::from_millis(20);
/// The number of requests that the client writes at a time.
const REQUESTS_PER_WRITE: usize = 200;

/// Returns the request with this number that the client sends.
pub type RequestText = fn(&LimitedFront, usize) -> String;

/// The requests of clients, and the number of bytes that they sent and received.
#[derive(Default)]
pub struct Traffic {
    /// The number of the next request.
    pub requests: AtomicUsize,
    sent: AtomicUsize,
    received: AtomicUsize,
}

/// Sends requests at full speed and reads the responses until `stop` is set. Connects again whenever
/// the process closes the connection.
pub fn send_at_full_speed(
    front: &LimitedFront,
    request: RequestText,
    traffic: &Traffic,
    stop: &AtomicBool,
) {
    let mut buffer = vec![0; 256 * 1024];
    while !stop.load(Relaxed) {
        let mut stream = TcpStream::connect(front.process.address).expect("the process accepts");
        stream.set_nonblocking(true).expect("the mode is set");
        let mut pending = Vec::new();
        let mut open = true;
        while open && !stop.load(Relaxed) {
            if pending.is_empty() {
                for _ in 0..REQUESTS_PER_WRITE {
                    let number = traffic.requests.fetch_add(1, Relaxed);
                    pending.extend(request(front, number).into_bytes());
                }
            }
            match stream.write(&pending) {
                Ok(written) => {
                    traffic.sent.fetch_add(written, Relaxed);
                    pending.drain(..written);
                }
                Err(error) => open = error.kind() == ErrorKind::WouldBlock,
            }
            match stream.read(&mut buffer) {
                Ok(0) => open = false,
                Ok(read) => drop(traffic.received.fetch_add(read, Relaxed)),
                Err(error) => open &= error.kind() == ErrorKind::WouldBlock,
            }
        }
    }
}

/// Lets a client flood a front and asserts that other clients get their answers in time and that the
/// memory limit holds.
fn assert_fair(kind: FrontKind, what: &str, request: RequestText) {
    let front = LimitedFront::start(kind, "fair");
    let stop = AtomicBool::new(false);
    let traffic = Traffic::default();
    let mut times = Vec::new();
    std::thread::scope(|scope| {
        scope.spawn(|| send_at_full_speed(&front, request, &traffic, &stop));
        let started = Instant::now();
        while started.elapsed() < DURATION {
            let query = front.query(&format!("other{}", times.len()), true);
            let query = query.replacen("\r\n", "\r\nConnection: close\r\n", 1);
            let sent_at = Instant::now();
            let response = front.process.send_request(&query);
            times.push(sent_at.elapsed());
            assert_eq!(response.status, 200, "{kind:?}, {what}");
            std::thread::sleep(QUERY_PAUSE);
        }
        stop.store(true, Relaxed);
    });
    let slowest = times.iter().max().expect("queries were sent");
    println!(
        "{kind:?}, {what}: {} queries, slowest {slowest:?}; sent {} KiB, received {} KiB",
        times.len(),
        traffic.sent.load(Relaxed) / 1024,
        traffic.received.load(Relaxed) / 1024
    );
    front.assert_memory_limit(what);
    assert!(
        *slowest <= MAX_RESPONSE_TIME,
        "{kind:?}, {what}: {slowest:?}"
    );
}

/// The number of requests that a client sends without waiting for their responses.
const PIPELINED_REQUESTS: usize = 30_000;
/// The time within which all of them must be answered.
const PIPELINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a connection that stalls: input that had arrived before a full output was written
/// was never read, since no further input announced it.
#[test]
fn all_requests_that_a_client_sends_without_waiting_are_answered() {
    for kind in FRONTS {
        let front = LimitedFront::start(kind, "pipeline");
        let request = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
        let last = "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let requests = request.repeat(PIPELINED_REQUESTS - 1) + last;
        let mut stream = TcpStream::connect(front.process.address).expect("the process accepts");
        stream
            .set_read_timeout(Some(PIPELINE_TIMEOUT))
            .expect("the timeout is set");
        let mut writer = stream.try_clone().expect("the socket is duplicated");
        let writing = std::thread::spawn(move || writer.write_all(requests.as_bytes()));
        let mut responses = Vec::new();
        let read = stream.read_to_end(&mut responses);
        let responses = String::from_utf8(responses).expect("the responses are text");
        assert_eq!(
            responses.matches("HTTP/1.1 200").count(),
            PIPELINED_REQUESTS,
            "{kind:?}: {read:?}"
        );
        let written = writing.join().expect("the thread does not panic");
        written.expect("all requests were sent");
    }
}

#[test]
fn small_requests_at_full_speed_do_not_delay_other_clients() {
    for kind in FRONTS {
        assert_fair(kind, "small requests", |_, _| {
            "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()
        });
    }
}

#[test]
fn unsound_requests_at_full_speed_do_not_delay_other_clients() {
    for kind in FRONTS {
        assert_fair(kind, "unsound requests", |_, _| {
            "no request\r\n\r\n".to_owned()
        });
        assert_fair(kind, "missing resources", |_, number| {
            format!("GET /missing{number} HTTP/1.1\r\nHost: x\r\n\r\n")
        });
        assert_fair(kind, "empty lines", |_, _| "\r\n".to_owned());
    }
}

#[test]
fn ever_new_names_at_full_speed_neither_delay_other_clients_nor_grow_the_memory() {
    assert_fair(FrontKind::Platform, "new classes", |front, number| {
        front
            .query(&format!("n{number}"), true)
            .replace("X-Qos: lookup", &format!("X-Qos: class{number}"))
    });
    assert_fair(FrontKind::Platform, "new ids", |front, number| {
        front.query(&format!("n{number}"), true)
    });
    assert_fair(FrontKind::Features, "new collections", |_, number| {
        format!("GET /collections/c{number}/items HTTP/1.1\r\nHost: x\r\n\r\n")
    });
    assert_fair(FrontKind::Features, "new parameters", |_, number| {
        format!("GET /collections/devices/items?p{number}=1 HTTP/1.1\r\nHost: x\r\n\r\n")
    });
    assert_fair(FrontKind::Features, "new features", |_, number| {
        format!("GET /collections/devices/items/d{number} HTTP/1.1\r\nHost: x\r\n\r\n")
    });
}
