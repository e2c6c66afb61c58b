//! Floods: clients that send at full speed to a process with one core or a part of one, beside
//! clients whose queries must be answered in time.

use crate::cores::BusyProcesses;
use crate::fairness::{send_at_full_speed, RequestText, Traffic};
use crate::fronts::{FrontKind, LimitedFront, FRONTS};
use crate::other_clients::{self, Answers};
use crate::poll_set::unpolled_connections;
use std::io::{Read, Write};
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
/// The number of busy processes that leave the process under test a quarter of its core.
const QUARTER_OF_A_CORE: usize = 3;
/// The length of the body of a large request, in bytes.
const LARGE_BODY: usize = 60_000;

/// How a flooding client sends its requests.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Manner {
    /// On kept connections, without waiting for answers.
    Pipelined,
    /// One on each of ever new connections, which are closed at once.
    SendAndClose,
    /// One on each of ever new connections, which are closed after the answer.
    SendAndRead,
}

/// A flood, and the share of the core that the process has beside it.
#[derive(Clone, Copy)]
struct Flood {
    what: &'static str,
    manner: Manner,
    request: RequestText,
    busy_processes: usize,
    duration: Duration,
}

impl Flood {
    fn new(what: &'static str, manner: Manner, request: RequestText) -> Flood {
        Flood {
            what,
            manner,
            request,
            busy_processes: 0,
            duration: DURATION,
        }
    }
}

fn sound_query(front: &LimitedFront, number: usize) -> String {
    front.query(&format!("n{number}"), true)
}

fn unknown_name(front: &LimitedFront, number: usize) -> String {
    let query = sound_query(front, number);
    match front.kind {
        FrontKind::Platform => query.replace("X-Qos: lookup", &format!("X-Qos: class{number}")),
        FrontKind::Features => query.replace("devices", &format!("collection{number}")),
    }
}

fn unsound_body(front: &LimitedFront, _: usize) -> String {
    front.head_with_body(2) + "{]"
}

fn large_body(front: &LimitedFront, _: usize) -> String {
    front.head_with_body(LARGE_BODY) + &"x".repeat(LARGE_BODY)
}

/// Returns one flood of each kind.
fn floods() -> Vec<Flood> {
    use Manner::{Pipelined, SendAndClose, SendAndRead};
    vec![
        Flood::new("sound queries", Pipelined, sound_query),
        Flood::new("new names", Pipelined, unknown_name),
        Flood::new("new targets", Pipelined, |_, number| {
            format!("GET /missing{number} HTTP/1.1\r\nHost: x\r\n\r\n")
        }),
        Flood::new("unsound bodies", Pipelined, unsound_body),
        Flood::new("readiness checks", Pipelined, |_, _| {
            "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".to_owned()
        }),
        Flood::new("large bodies", Pipelined, large_body),
        Flood::new("sound queries", SendAndClose, sound_query),
        Flood::new("new names", SendAndClose, unknown_name),
        Flood::new("new names", SendAndRead, unknown_name),
    ]
}

/// Sends a request on a new connection and closes it, until `stop` is set.
fn flood_of_connections(
    front: &LimitedFront,
    flood: Flood,
    traffic: &Traffic,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    while !stop.load(Relaxed) {
        let request = (flood.request)(front, traffic.requests.fetch_add(1, Relaxed));
        let mut stream = TcpStream::connect(front.process.address)?;
        // The process may close the connection first.
        let written = stream.write_all(request.as_bytes());
        if flood.manner == Manner::SendAndRead && written.is_ok() {
            let _ = stream.read(&mut [0; 1024]);
        }
    }
    Ok(())
}

/// Lets clients flood a front, and returns the answers of the other clients.
fn play(front: &LimitedFront, flood: Flood) -> Answers {
    let busy = BusyProcesses::share_core(&front.process, flood.busy_processes);
    let stop = AtomicBool::new(false);
    let stop_flood = AtomicBool::new(false);
    let traffic = Traffic::default();
    let mut answers = Answers::default();
    std::thread::scope(|scope| {
        for _ in 0..FLOODING_CLIENTS {
            scope.spawn(|| {
                if flood.manner == Manner::Pipelined {
                    send_at_full_speed(front, flood.request, &traffic, &stop_flood);
                    return;
                }
                while !stop_flood.load(Relaxed) {
                    // A connect fails if the local ports are used up.
                    let _ = flood_of_connections(front, flood, &traffic, &stop_flood);
                }
            });
        }
        let stop = &stop;
        let start = |client| scope.spawn(move || other_clients::run(front, client, stop));
        let others: Vec<_> = (0..OTHER_CLIENTS).map(start).collect();
        std::thread::sleep(flood.duration);
        stop_flood.store(true, Relaxed);
        std::thread::sleep(SETTLING_TIME);
        stop.store(true, Relaxed);
        for client in others {
            answers.add(&client.join().expect("the client does not panic"));
        }
    });
    drop(busy);
    println!("{} requests of the flood", traffic.requests.load(Relaxed));
    answers
}

/// Returns what a flood did to the other clients, if it was wrong.
fn failure(kind: FrontKind, flood: Flood) -> Option<String> {
    let front = LimitedFront::start(kind, "flood");
    let answers = play(&front, flood);
    let admin_port = front.process.admin_address().port();
    let unpolled = unpolled_connections(front.process.id(), admin_port);
    let play = format!(
        "{kind:?}, {}, {:?}, beside {}: {answers:?}, unpolled {unpolled:?}",
        flood.what, flood.manner, flood.busy_processes
    );
    println!("{play}\n{}", front.process.log_counters());
    front.assert_memory_limit(flood.what);
    (answers.lost() > 0 || !unpolled.is_empty()).then_some(play)
}

#[test]
fn sound_queries_at_full_speed_leave_no_connection_unpolled() {
    let flood = Flood::new("sound queries", Manner::Pipelined, sound_query);
    assert_eq!(failure(FrontKind::Platform, flood), None);
}

/// The number of clients that connect, send and leave at the same time; fewer than the backlog has
/// places.
const BURST: usize = 600;
/// The number of such bursts.
const BURSTS: usize = 6;
/// The time between two bursts.
const BURST_INTERVAL: Duration = Duration::from_millis(400);

/// Guards against an accept loop that reaches the limit on connections since it lets no accepted
/// connection take its turn.
#[test]
fn bursts_of_clients_that_leave_at_once_close_no_connection_of_others() {
    for kind in FRONTS {
        let front = LimitedFront::start(kind, "burst");
        let _core = BusyProcesses::share_core(&front.process, 0);
        let stop = AtomicBool::new(false);
        let answers = std::thread::scope(|scope| {
            let others = scope.spawn(|| other_clients::run(&front, 0, &stop));
            for burst in 0..BURSTS {
                for number in 0..BURST {
                    let request = sound_query(&front, burst * BURST + number);
                    let mut stream = TcpStream::connect(front.process.address)
                        .expect("the process accepts connections");
                    let _ = stream.write_all(request.as_bytes());
                }
                std::thread::sleep(BURST_INTERVAL);
            }
            stop.store(true, Relaxed);
            others.join().expect("the client does not panic")
        });
        let counters = front.process.log_counters();
        assert_eq!((answers.lost(), answers.sent_again), (0, 0), "{answers:?}");
        assert!(counters.contains(" connections_evicted=0 "), "{counters}");
    }
}

#[test]
#[ignore = "known red"]
fn clients_that_send_and_close_at_once_do_not_delay_the_connects_of_others() {
    let flood = Flood::new("sound queries", Manner::SendAndClose, sound_query);
    assert_eq!(failure(FrontKind::Platform, flood), None);
}

/// Returns the number in an environment variable, or `default` if it is not set.
fn number_from_environment(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a number is given"))
}

#[test]
#[ignore = "run by hand: minutes; SECONDS is the length of a flood, PLAYS their number of each kind, \
            KIND the number of the only kind"]
fn no_flood_of_any_kind_loses_queries_of_other_clients() {
    let duration = Duration::from_secs(number_from_environment("SECONDS", 9));
    let only = std::env::var("KIND")
        .ok()
        .and_then(|kind| kind.parse().ok());
    let mut failures = Vec::new();
    for _ in 0..number_from_environment("PLAYS", 1) {
        for kind in FRONTS {
            for busy_processes in [0, QUARTER_OF_A_CORE] {
                let chosen = |number: &usize| only.is_none_or(|only: usize| only == *number);
                for (_, flood) in floods().into_iter().enumerate().filter(|(n, _)| chosen(n)) {
                    let flood = Flood {
                        busy_processes,
                        duration,
                        ..flood
                    };
                    failures.extend(failure(kind, flood));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
