//! Well-behaved clients beside a flood: each sends a query at a steady interval and records how it
//! was answered.

use crate::fronts::LimitedFront;
use crate::standin::client::read_response;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The interval between the queries of a client.
const QUERY_INTERVAL: Duration = Duration::from_millis(30);
/// The time that a client gives each query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(305);
/// The time after a query's timeout from which its answer counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// The time for which a client waits for an answer, so that late ones are told from missing ones.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// The number of queries of a client of which one is sent on a new connection.
const NEW_CONNECTION_INTERVAL: usize = 3;

/// How the queries of clients were answered.
#[derive(Debug, Default, Clone, Copy)]
pub struct Answers {
    /// All queries.
    pub sent: usize,
    /// Queries whose answer came later than [`LOST_AFTER`].
    pub late: usize,
    /// Queries without an answer.
    pub unanswered: usize,
    /// Queries answered with another status than 200.
    pub refused: usize,
    /// Queries sent again since their kept connection was closed.
    pub sent_again: usize,
    /// The longest time to an answer.
    pub slowest: Duration,
}

impl Answers {
    /// Returns the number of lost queries.
    pub fn lost(&self) -> usize {
        self.late + self.unanswered
    }

    /// Adds the answers of another client.
    pub fn add(&mut self, other: &Answers) {
        self.sent += other.sent;
        self.late += other.late;
        self.unanswered += other.unanswered;
        self.refused += other.refused;
        self.sent_again += other.sent_again;
        self.slowest = self.slowest.max(other.slowest);
    }
}

/// Sends queries until `stop` is set.
pub fn run(front: &LimitedFront, client: usize, stop: &AtomicBool) -> Answers {
    let mut answers = Answers::default();
    let mut kept = None;
    while !stop.load(Relaxed) {
        let started = Instant::now();
        let id = format!("o{client:x}f{:06x}", answers.sent);
        let text = front.query_with_timeout(&id, QUERY_TIMEOUT);
        let mut fresh = None;
        let is_fresh = answers.sent % NEW_CONNECTION_INTERVAL == NEW_CONNECTION_INTERVAL - 1;
        let connection = if is_fresh { &mut fresh } else { &mut kept };
        let status = exchange(front, connection, &text, &mut answers);
        record(&mut answers, status, started.elapsed(), &id);
        std::thread::sleep(QUERY_INTERVAL.saturating_sub(started.elapsed()));
    }
    answers
}

/// Sends a query on this connection and returns the status of its answer. If the process has closed
/// the connection, sends the query once more on a new one.
fn exchange(
    front: &LimitedFront,
    connection: &mut Option<BufReader<TcpStream>>,
    text: &str,
    answers: &mut Answers,
) -> Option<u16> {
    let reused = connection.is_some();
    let started = Instant::now();
    let first = send(front, connection, text);
    let closed = first.is_none() && started.elapsed() < MAX_WAIT;
    if !reused || !closed {
        return first;
    }
    answers.sent_again += 1;
    send(front, connection, text)
}

fn send(
    front: &LimitedFront,
    connection: &mut Option<BufReader<TcpStream>>,
    text: &str,
) -> Option<u16> {
    let mut reader = match connection.take() {
        Some(reader) => reader,
        None => connect(front)?,
    };
    reader.get_mut().write_all(text.as_bytes()).ok()?;
    let head = read_response(&mut reader)?;
    if !head.closes_connection {
        *connection = Some(reader);
    }
    Some(head.status)
}

fn connect(front: &LimitedFront) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&front.process.address, MAX_WAIT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(MAX_WAIT)).ok()?;
    Some(BufReader::new(stream))
}

fn record(answers: &mut Answers, status: Option<u16>, elapsed: Duration, id: &str) {
    answers.sent += 1;
    match status {
        None => answers.unanswered += 1,
        Some(_) if elapsed > QUERY_TIMEOUT + LOST_AFTER => answers.late += 1,
        Some(status) => answers.refused += usize::from(status != 200),
    }
    if status.is_none() || elapsed > QUERY_TIMEOUT + LOST_AFTER {
        println!("query {id}: {status:?} after {elapsed:?}");
    }
    answers.slowest = answers.slowest.max(elapsed);
}
