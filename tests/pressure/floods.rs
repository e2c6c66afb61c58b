//! Floods: clients that send at full speed to a process with one core or a part of one, beside
//! clients whose queries must be answered in time.

use crate::cores::BusyProcesses;
use crate::fairness::{flood, RequestText, Traffic};
use crate::fronts::{FrontKind, LimitedFront};
use crate::other_clients::{self, Answers};
use crate::poll_set::unpolled_connections;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

/// The number of clients that send at full speed.
const FLOODING_CLIENTS: usize = 8;
/// The number of clients beside them.
const OTHER_CLIENTS: usize = 8;
/// The length of a flood.
const DURATION: Duration = Duration::from_secs(4);
/// The time after a flood in which the process handles what it has received.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// What a flooding client sends.
#[derive(Clone, Copy)]
enum FloodKind {
    /// Requests on kept connections, without waiting for answers.
    Pipelined(RequestText),
    /// One request on each of ever new connections, which are closed at once.
    SendAndClose(RequestText),
}

fn sound_query(front: &LimitedFront, number: usize) -> String {
    front.query(&format!("n{number}"), true)
}

/// Sends a request on a new connection and closes it, until `stop` is set.
fn send_and_close(front: &LimitedFront, text: RequestText, traffic: &Traffic, stop: &AtomicBool) {
    while !stop.load(Relaxed) {
        let request = text(front, traffic.requests.fetch_add(1, Relaxed));
        let connected = TcpStream::connect(front.process.address);
        if let Ok(mut stream) = connected {
            // The process may close the connection first.
            let _ = stream.write_all(request.as_bytes());
        }
    }
}

/// Lets clients flood a front, and returns the answers of the other clients.
fn play(front: &LimitedFront, kind: FloodKind, busy: usize) -> Answers {
    let busy = BusyProcesses::share_core(&front.process, busy);
    let stop = AtomicBool::new(false);
    let stop_flood = AtomicBool::new(false);
    let traffic = Traffic::default();
    let mut answers = Answers::default();
    std::thread::scope(|scope| {
        for _ in 0..FLOODING_CLIENTS {
            scope.spawn(|| match kind {
                FloodKind::Pipelined(text) => flood(front, text, &traffic, &stop_flood),
                FloodKind::SendAndClose(text) => send_and_close(front, text, &traffic, &stop_flood),
            });
        }
        let stop = &stop;
        let start = |client| scope.spawn(move || other_clients::run(front, client, stop));
        let others: Vec<_> = (0..OTHER_CLIENTS).map(start).collect();
        std::thread::sleep(DURATION);
        stop_flood.store(true, Relaxed);
        std::thread::sleep(SETTLING_TIME);
        stop.store(true, Relaxed);
        for client in others {
            answers.add(&client.join().expect("the client does not panic"));
        }
    });
    drop(busy);
    let flood_requests = traffic.requests.load(Relaxed);
    println!("{flood_requests} requests of the flood");
    answers
}

/// Asserts that no query of the other clients was lost, and that every connection is polled.
fn assert_no_query_is_lost(front_kind: FrontKind, what: &str, kind: FloodKind, busy: usize) {
    let front = LimitedFront::start(front_kind, "flood");
    let answers = play(&front, kind, busy);
    let unpolled = unpolled_connections(front.process.id(), front.process.admin_address().port());
    println!("{front_kind:?}, {what}, beside {busy}: {answers:?}, unpolled {unpolled:?}");
    println!("{}", front.process.log_counters());
    front.assert_memory_limit(what);
    assert_eq!(answers.lost(), 0, "{front_kind:?}, {what}: {answers:?}");
    assert!(unpolled.is_empty(), "{front_kind:?}, {what}: {unpolled:?}");
}

#[test]
fn sound_queries_at_full_speed_leave_no_connection_unpolled() {
    let kind = FloodKind::Pipelined(sound_query);
    assert_no_query_is_lost(FrontKind::Platform, "sound queries", kind, 0);
}

#[test]
#[ignore = "known red"]
fn clients_that_send_and_close_at_once_do_not_delay_the_connects_of_others() {
    let kind = FloodKind::SendAndClose(sound_query);
    assert_no_query_is_lost(FrontKind::Platform, "send and close", kind, 0);
}
