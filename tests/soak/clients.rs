//! Clients that use kept connections to their ends: at once, in pieces, resting, leaving.

use crate::content::{judge_features, judge_pieces};
use crate::history::{Class, Content, RefusedConnect, RequestEnd, RequestRecord};
use crate::response::{end_of, read_response, Response};
use crate::script::FrontKind;
use crate::standin::client::{QueryRequest, Shards};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The names of the feature servers' shards.
pub const SHARDS: [&str; 2] = ["east", "west"];
/// The number of features in a shard.
pub const FEATURES_PER_SHARD: usize = 20;
/// The number of features in a page.
pub const PAGE: usize = 10;
/// The last coordinate of a query's `bbox` is the request's number over this.
pub const BBOX_SCALE: f64 = 1e6;

/// The time beyond its timeout for which a client reads, to tell a late answer from none.
const READ_BEYOND: Duration = Duration::from_secs(3);
/// The pause before the next attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The number of bytes that are sent at a time behind a request, and the pause between them.
const BYTES_BEHIND: usize = 512;
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);
/// The time after the end of a response for which bytes behind the request are still read.
const READ_ON: Duration = Duration::from_millis(20);
/// The rests between two requests, in milliseconds.
const SHORT_REST: Range<u64> = 0..30;
const LONG_REST: Range<u64> = 100..700;
/// The pause between two pieces of a request.
const PIECE_PAUSE: Duration = Duration::from_millis(15);

/// What the clients of a run share.
pub struct ClientContext {
    pub front: FrontKind,
    pub start: Instant,
    pub address: Mutex<SocketAddr>,
    /// The time from which on clients open no connection: "New connections keep coming for 0.2 to
    /// 0.4 s" after SIGTERM to the only process.
    pub connects_until: Mutex<Option<Duration>>,
    pub over: AtomicBool,
    pub next_number: AtomicUsize,
    pub requests: Mutex<Vec<RequestRecord>>,
    pub refused_connects: Mutex<Vec<RefusedConnect>>,
}

/// A request before it is sent.
struct Request {
    number: usize,
    class: Class,
    shards: Vec<u32>,
    timeout: Duration,
    text: String,
}

/// The way in which a client sends a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Manner {
    AtOnce,
    InPieces,
    LeavesAfter(Duration),
    /// With bytes behind the request that go on coming until the response has ended; the request
    /// asks for the connection to be closed.
    BytesBehind,
}

/// Ends the clients when it is dropped, also by a panic.
pub struct ClientsEnd<'a>(pub &'a ClientContext);

impl Drop for ClientsEnd<'_> {
    fn drop(&mut self) {
        self.0.over.store(true, Relaxed);
    }
}

impl ClientContext {
    /// Sends requests until the run is over.
    pub fn run_client(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut kept = None;
        let mut resend = None;
        while !self.over.load(Relaxed) {
            let Some(mut stream) = kept.take().or_else(|| self.connect()) else {
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let class = resend.take().unwrap_or_else(|| draw_class(&mut rng));
            let request = self.request_of(class, &mut rng);
            let manner = match rng.u8(0..20) {
                0..3 => Manner::InPieces,
                3..5 => Manner::LeavesAfter(Duration::from_millis(rng.u64(0..60))),
                5 => Manner::BytesBehind,
                _ => Manner::AtOnce,
            };
            let (end, stays_open) = self.exchange(&mut stream, &request, manner);
            if matches!(end, RequestEnd::Unanswered { .. }) {
                resend = Some(request.class);
            }
            if stays_open && rng.u8(0..10) > 0 {
                kept = Some(stream);
            }
            // Some rest for so long that the process may close just when they send again.
            let rest = if rng.u8(0..4) == 0 {
                LONG_REST
            } else {
                SHORT_REST
            };
            std::thread::sleep(Duration::from_millis(rng.u64(rest)));
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        let until = *self.connects_until.lock().expect("connects");
        if until.is_some_and(|until| self.start.elapsed() > until) {
            return None;
        }
        let address = *self.address.lock().expect("address");
        match TcpStream::connect(address) {
            Ok(stream) => Some(stream),
            Err(_) => {
                let at = self.start.elapsed();
                let mut refused = self.refused_connects.lock().expect("refused");
                refused.push(RefusedConnect { at });
                None
            }
        }
    }

    fn request_of(&self, class: Class, rng: &mut fastrand::Rng) -> Request {
        let number = self.next_number.fetch_add(1, Relaxed);
        let timeout = Duration::from_millis(rng.u64(300..1_400));
        let shards: Vec<u32> = match rng.u8(0..3) {
            0 => vec![rng.u32(0..8)],
            1 => vec![0, 5],
            _ => vec![1, 3, 6, 7],
        };
        let text = match self.front {
            FrontKind::Platform => {
                let name = match class {
                    Class::Whole => "look",
                    Class::Partial => "some",
                    Class::Once => "once",
                };
                let id = format!("q{number}");
                let class = crate::standin::client::Class(name);
                let request = QueryRequest::new(&id, class, Shards(&shards));
                request.timeout_seconds(timeout.as_secs_f64()).to_http()
            }
            FrontKind::Features => {
                let name = match class {
                    Class::Whole => "exact",
                    Class::Partial => "part",
                    Class::Once => "once",
                };
                format!(
                    "GET /collections/devices/items?limit=1000&bbox=0,0,9,{} HTTP/1.1\r\n\
                     Host: x\r\nX-Qos: {name}\r\nX-Expires-In: {}\r\n\r\n",
                    number as f64 / BBOX_SCALE,
                    timeout.as_secs_f64()
                )
            }
        };
        Request {
            number,
            class,
            shards,
            timeout,
            text,
        }
    }

    /// Sends a request, reads its response and records both. Returns the end, and whether the
    /// connection stays open.
    fn exchange(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        manner: Manner,
    ) -> (RequestEnd, bool) {
        let bytes = request.text.as_bytes();
        let written = match manner {
            Manner::BytesBehind => {
                let close = "HTTP/1.1\r\nConnection: close\r\n";
                let closing = request.text.replacen("HTTP/1.1\r\n", close, 1);
                stream.write_all(closing.as_bytes())
            }
            Manner::InPieces => bytes.chunks(40).try_for_each(|piece| {
                std::thread::sleep(PIECE_PAUSE);
                stream.write_all(piece)
            }),
            _ => stream.write_all(bytes),
        };
        let sent_at = self.start.elapsed();
        let trickle = (manner == Manner::BytesBehind).then(|| Trickle::start(stream));
        let (end, stays_open) = match (written, manner) {
            (Err(_), _) => (RequestEnd::Unanswered { reset: true }, false),
            (Ok(()), Manner::LeavesAfter(pause)) => {
                std::thread::sleep(pause);
                let _ = stream.shutdown(std::net::Shutdown::Both);
                (RequestEnd::ClientLeft, false)
            }
            (Ok(()), _) => match read_response(stream, request.timeout + READ_BEYOND) {
                // A close over the bytes behind the request is a reset.
                Ok(_) if trickle.is_some_and(|trickle| self.is_reset(stream, trickle)) => {
                    (RequestEnd::Unanswered { reset: true }, false)
                }
                Ok(response) => {
                    let content = self.judge(request, &response);
                    let status = response.status;
                    (
                        RequestEnd::Answered { status, content },
                        !response.closes_connection,
                    )
                }
                Err(kind) => (end_of(kind), false),
            },
        };
        let record = RequestRecord {
            number: request.number,
            class: request.class,
            sent_at,
            timeout: request.timeout,
            end: end.clone(),
            ended_at: self.start.elapsed(),
        };
        self.requests.lock().expect("requests").push(record);
        (end, stays_open)
    }

    /// Reads to the end of a connection behind whose request bytes go on coming. Returns whether it
    /// was reset: while no process is told to end, the bytes are read on for a while after the end
    /// of the response.
    fn is_reset(&self, stream: &mut TcpStream, trickle: Trickle) -> bool {
        let _ = stream.set_read_timeout(Some(READ_BEYOND));
        let ended = stream.read_to_end(&mut Vec::new()).is_ok();
        std::thread::sleep(READ_ON);
        let serving = self.connects_until.lock().expect("connects").is_none();
        let taken = trickle.finish();
        !ended || (serving && !taken)
    }

    fn judge(&self, request: &Request, response: &Response) -> Content {
        if response.status != 200 {
            return Content::Error;
        }
        let Ok(json) = serde_json::from_slice::<Value>(&response.body) else {
            return Content::Wrong("a body that is no JSON".to_owned());
        };
        match self.front {
            FrontKind::Platform => judge_pieces(&request.shards, &json),
            FrontKind::Features => judge_features(&json),
        }
    }
}

/// A thread that sends bytes behind a request.
struct Trickle {
    over: Arc<AtomicBool>,
    /// Returns whether all writes succeeded.
    thread: Option<JoinHandle<bool>>,
}

impl Trickle {
    fn start(stream: &TcpStream) -> Trickle {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let mut stream = stream.try_clone().expect("a handle");
        let thread = std::thread::spawn(move || {
            while !ends.load(Relaxed) {
                if stream.write_all(&[b'x'; BYTES_BEHIND]).is_err() {
                    return false;
                }
                std::thread::sleep(TRICKLE_PAUSE);
            }
            true
        });
        Trickle {
            over,
            thread: Some(thread),
        }
    }

    /// Ends the thread. Returns whether all of its writes succeeded.
    fn finish(mut self) -> bool {
        self.over.store(true, Relaxed);
        let thread = self.thread.take().expect("it is finished once");
        thread.join().expect("the thread ends")
    }
}

impl Drop for Trickle {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
    }
}

fn draw_class(rng: &mut fastrand::Rng) -> Class {
    [Class::Whole, Class::Partial, Class::Once][rng.usize(0..3)]
}
