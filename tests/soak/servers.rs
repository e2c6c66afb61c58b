//! Data nodes and feature servers that record the attempts that they receive and have random
//! planted faults.

use crate::clients::{FEATURES_PER_SHARD, PAGE_SIZE, SHARDS};
use crate::history::AttemptRecord;
use crate::standin::feature_server::{
    healthy_response, query_parameter, FeatureServer, ServerResponse,
};
use crate::standin::frames::{read_part_ids, write_answer, write_answer_with_short_length};
use crate::standin::http::accept_on_thread;
use crate::standin::threads::OwnedThreadGroup;
use std::io::{copy, sink, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The delay of a late answer.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// The number of bytes by which a length field is too small.
const MISSING_LENGTH: usize = 3;

/// The state that the servers of a run share.
#[derive(Clone)]
pub struct ServerContext {
    /// The start of the run, to which recorded times are relative.
    pub start: Instant,
    pub attempts: Arc<Mutex<Vec<AttemptRecord>>>,
    /// Whether the servers have planted faults.
    pub faults_enabled: Arc<AtomicBool>,
    pub seed: u64,
}

impl ServerContext {
    /// Records an attempt at a part. `request` is `q` and the number of the request.
    fn record_attempt(&self, request: &str, part: String, server: usize, rejected: bool) {
        let number = request
            .strip_prefix('q')
            .and_then(|number| number.parse().ok());
        let record = AttemptRecord {
            request: number.expect("the request id is q and a number"),
            part,
            server,
            received_at: self.start.elapsed(),
            rejected,
        };
        self.attempts
            .lock()
            .expect("the mutex is not poisoned")
            .push(record);
    }

    /// Returns the random number generator of a server.
    fn rng(&self, server: usize) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed.wrapping_mul(1_000).wrapping_add(server as u64))
    }

    /// Draws the fault of an attempt.
    fn draw_fault(&self, rng: &mut fastrand::Rng) -> Fault {
        if !self.faults_enabled.load(Relaxed) {
            return Fault::None;
        }
        match rng.u8(0..100) {
            0..4 => Fault::Error,
            4..8 => Fault::Reject,
            8..11 => Fault::Hang,
            11..14 => Fault::Disconnect,
            14..18 => Fault::Late,
            18..20 => Fault::Invalid,
            20..22 => Fault::ShortLength,
            _ => Fault::None,
        }
    }
}

/// The planted fault of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Error,
    Reject,
    Hang,
    Disconnect,
    Late,
    Invalid,
    /// An answer whose length field is too small. Nothing else is sent on the connection.
    ShortLength,
}

/// A data node with planted faults.
pub struct FaultyDataNode {
    pub address: SocketAddr,
    _threads: OwnedThreadGroup,
}

impl FaultyDataNode {
    /// Starts the node with this number.
    pub fn start(number: usize, context: &ServerContext) -> FaultyDataNode {
        let threads = OwnedThreadGroup::default();
        let thread_group = threads.0.clone();
        let rng = Arc::new(Mutex::new(context.rng(number)));
        let context = context.clone();
        let address = accept_on_thread(&threads.0, move |stream| {
            let context = context.clone();
            let rng = rng.clone();
            // The error of a connection that the process or a fault has ended is ignored.
            thread_group.spawn(move || drop(serve_parts(number, &stream, &context, &rng)));
        });
        FaultyDataNode {
            address,
            _threads: threads,
        }
    }
}

/// Answers the parts that arrive on a connection, with planted faults, until the connection ends.
fn serve_parts(
    node: usize,
    stream: &TcpStream,
    context: &ServerContext,
    rng: &Mutex<fastrand::Rng>,
) -> Result<()> {
    let mut reader = stream.try_clone()?;
    // Threads that write late answers share the connection. The mutex keeps their frames apart.
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let write =
        |text: &str| write_answer(&mut writer.lock().expect("the mutex is not poisoned"), text);
    loop {
        for id in read_part_ids(&mut reader)? {
            let fault = context.draw_fault(&mut rng.lock().expect("the mutex is not poisoned"));
            let (request, shard) = id
                .split_once('.')
                .expect("the part id has a request and a shard");
            context.record_attempt(request, shard.to_owned(), node, fault == Fault::Reject);
            let served = format!("{id} served 18 -\ncell{shard}");
            match fault {
                Fault::None => write(&served)?,
                Fault::Error => write(&format!("{id} broke 0 -\n"))?,
                Fault::Reject => write(&format!("{id} skipped 0 -\n"))?,
                Fault::Hang => {}
                Fault::Disconnect => return stream.shutdown(Shutdown::Both),
                Fault::Late => {
                    let writer = writer.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(LATE_ANSWER_DELAY);
                        // The connection may have ended meanwhile.
                        let _ = write_answer(
                            &mut writer.lock().expect("the mutex is not poisoned"),
                            &served,
                        );
                    });
                }
                Fault::ShortLength => {
                    let mut writer = writer.lock().expect("the mutex is not poisoned");
                    write_answer_with_short_length(&mut writer, &served, MISSING_LENGTH)?;
                    // The process closes the connection.
                    return copy(&mut reader, &mut sink()).map(drop);
                }
                Fault::Invalid => writer
                    .lock()
                    .expect("the mutex is not poisoned")
                    .write_all(b"\0\0\0\x05hello")?,
            }
        }
    }
}

/// Starts the feature server with this number, which has all shards and planted faults.
pub fn start_faulty_feature_server(number: usize, context: &ServerContext) -> FeatureServer {
    let mut rng = context.rng(number);
    let context = context.clone();
    FeatureServer::start(move |target| {
        let fault = context.draw_fault(&mut rng);
        let path = target.split('?').next().expect("the target has a path");
        let shard = (0..SHARDS.len()).find(|s| path.contains(&format!("/{}/", SHARDS[*s])));
        let shard = shard.expect("the path has the name of a shard");
        let offset = query_parameter(target, "offset");
        if offset.is_none() {
            // The bounding box identifies the request. Requests for later pages have none.
            let bbox = target
                .split("bbox=")
                .nth(1)
                .expect("the target has a bounding box");
            let coordinates: Vec<&str> =
                bbox.split('&').next().unwrap_or("").split("%2C").collect();
            let scaled_number: f64 = coordinates[3].parse().expect("the coordinate is a number");
            let request = format!("q{}", (scaled_number * crate::clients::BBOX_SCALE).round());
            context.record_attempt(
                &request,
                SHARDS[shard].to_owned(),
                number,
                fault == Fault::Reject,
            );
        }
        let from = shard * FEATURES_PER_SHARD;
        let response = healthy_response(target, from..from + FEATURES_PER_SHARD, PAGE_SIZE);
        match (fault, response) {
            (Fault::None, response) => response,
            (Fault::Error, _) => ServerResponse::Status(500),
            (Fault::Reject, _) => ServerResponse::Status(503),
            (Fault::Hang, _) => ServerResponse::Hang,
            (Fault::Late, ServerResponse::Json(body)) => {
                ServerResponse::Delayed(LATE_ANSWER_DELAY, body)
            }
            (Fault::Disconnect | Fault::Invalid, ServerResponse::Json(body)) => {
                ServerResponse::Truncated(body)
            }
            (Fault::ShortLength, ServerResponse::Json(body)) => ServerResponse::ShortLength(body),
            (_, response) => response,
        }
    })
}
