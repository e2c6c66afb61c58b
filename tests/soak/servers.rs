//! Data nodes and feature servers that record what they receive and misbehave at random.

use crate::clients::{FEATURES_PER_SHARD, PAGE, SHARDS};
use crate::history::ForwardRecord;
use crate::standin::feature_server::{
    healthy_response, query_parameter, FeatureServer, ServerResponse,
};
use crate::standin::frames::{read_part_ids, write_answer};
use crate::standin::http::accept_on_thread;
use crate::standin::threads::OwnedThreadGroup;
use std::io::{Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time by which a late answer is late.
const LATE_ANSWER: Duration = Duration::from_millis(300);

/// What the servers of a run share.
#[derive(Clone)]
pub struct ServerContext {
    pub start: Instant,
    pub forwards: Arc<Mutex<Vec<ForwardRecord>>>,
    /// Whether servers misbehave.
    pub faulty: Arc<AtomicBool>,
    pub seed: u64,
}

impl ServerContext {
    /// Records a part of a request, named `q` and its number.
    fn record(&self, request: &str, part: String, server: usize, rejected: bool) {
        let number = request
            .strip_prefix('q')
            .and_then(|number| number.parse().ok());
        let record = ForwardRecord {
            request: number.expect("a request of the soak"),
            part,
            server,
            received_at: self.start.elapsed(),
            rejected,
        };
        self.forwards.lock().expect("forwards").push(record);
    }

    fn rng(&self, server: usize) -> fastrand::Rng {
        fastrand::Rng::with_seed(self.seed.wrapping_mul(1_000).wrapping_add(server as u64))
    }

    /// Draws a fault, or none.
    fn draw_fault(&self, rng: &mut fastrand::Rng) -> Fault {
        if !self.faulty.load(Relaxed) {
            return Fault::None;
        }
        match rng.u8(0..100) {
            0..4 => Fault::Error,
            4..8 => Fault::Reject,
            8..11 => Fault::Hang,
            11..14 => Fault::Disconnect,
            14..18 => Fault::Late,
            18..20 => Fault::Invalid,
            _ => Fault::None,
        }
    }
}

/// The way in which a server treats a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Error,
    Reject,
    Hang,
    Disconnect,
    Late,
    Invalid,
}

/// A data node of the platform's front.
pub struct SoakNode {
    pub address: SocketAddr,
    _threads: OwnedThreadGroup,
}

impl SoakNode {
    /// Starts the node with this number.
    pub fn start(number: usize, context: &ServerContext) -> SoakNode {
        let threads = OwnedThreadGroup::default();
        let thread_group = threads.0.clone();
        let rng = Arc::new(Mutex::new(context.rng(number)));
        let context = context.clone();
        let address = accept_on_thread(&threads.0, move |stream| {
            let context = context.clone();
            let rng = rng.clone();
            // The connection ends with the process, or by a fault.
            thread_group.spawn(move || drop(serve_parts(number, &stream, &context, &rng)));
        });
        SoakNode {
            address,
            _threads: threads,
        }
    }
}

fn serve_parts(
    node: usize,
    stream: &TcpStream,
    context: &ServerContext,
    rng: &Mutex<fastrand::Rng>,
) -> Result<()> {
    let mut reading = stream.try_clone()?;
    // Late answers are written beside the others, a frame at a time.
    let writing = Arc::new(Mutex::new(stream.try_clone()?));
    let write = |text: &str| write_answer(&mut writing.lock().expect("writing"), text);
    loop {
        for id in read_part_ids(&mut reading)? {
            let fault = context.draw_fault(&mut rng.lock().expect("rng"));
            let (request, shard) = id.split_once('.').expect("a part of a request");
            context.record(request, shard.to_owned(), node, fault == Fault::Reject);
            let served = format!("{id} served 18 -\ncell{shard}");
            match fault {
                Fault::None => write(&served)?,
                Fault::Error => write(&format!("{id} broke 0 -\n"))?,
                Fault::Reject => write(&format!("{id} skipped 0 -\n"))?,
                Fault::Hang => {}
                Fault::Disconnect => return stream.shutdown(Shutdown::Both),
                Fault::Late => {
                    let writing = writing.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(LATE_ANSWER);
                        // The connection may have ended meanwhile.
                        let _ = write_answer(&mut writing.lock().expect("writing"), &served);
                    });
                }
                Fault::Invalid => writing
                    .lock()
                    .expect("writing")
                    .write_all(b"\0\0\0\x05hello")?,
            }
        }
    }
}

/// Starts the feature server with this number, which holds all shards.
pub fn start_feature_server(number: usize, context: &ServerContext) -> FeatureServer {
    let mut rng = context.rng(number);
    let context = context.clone();
    FeatureServer::start(move |target| {
        let fault = context.draw_fault(&mut rng);
        let path = target.split('?').next().expect("a path");
        let shard = (0..SHARDS.len()).find(|s| path.contains(&format!("/{}/", SHARDS[*s])));
        let shard = shard.expect("a shard");
        let offset = query_parameter(target, "offset");
        if offset.is_none() {
            // Servers know a request by its box; further pages carry no mark.
            let bbox = target.split("bbox=").nth(1).expect("a box");
            let numbers: Vec<&str> = bbox.split('&').next().unwrap_or("").split("%2C").collect();
            let mark: f64 = numbers[3].parse().expect("a number");
            let request = format!("q{}", (mark * crate::clients::BBOX_SCALE).round());
            context.record(
                &request,
                SHARDS[shard].to_owned(),
                number,
                fault == Fault::Reject,
            );
        }
        let from = shard * FEATURES_PER_SHARD;
        let response = healthy_response(target, from..from + FEATURES_PER_SHARD, PAGE);
        match (fault, response) {
            (Fault::None, response) => response,
            (Fault::Error, _) => ServerResponse::Status(500),
            (Fault::Reject, _) => ServerResponse::Status(503),
            (Fault::Hang, _) => ServerResponse::Hang,
            (Fault::Late, ServerResponse::Json(body)) => ServerResponse::Delayed(LATE_ANSWER, body),
            (Fault::Disconnect | Fault::Invalid, ServerResponse::Json(body)) => {
                ServerResponse::Truncated(body)
            }
            (_, response) => response,
        }
    })
}
