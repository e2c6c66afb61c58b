//! Clients that send requests on persistent connections: at once or in pieces, with pauses, with
//! trailing bytes, and some that disconnect early.

use crate::content::{classify_feature_answer, classify_platform_answer};
use crate::history::{Class, Content, RefusedConnect, RequestEnd, RequestRecord};
use crate::response::{end_after_error, read_response, Response};
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
pub const PAGE_SIZE: usize = 10;
/// The last coordinate of a query's `bbox` is the request's number divided by this, so that feature
/// servers can identify the request.
pub const BBOX_SCALE: f64 = 1e6;

/// The time after a request's timeout for which its client still reads, to distinguish a late
/// response from a missing one.
const LATE_READ_PERIOD: Duration = Duration::from_secs(3);
/// The pause before a client tries to connect again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The number of trailing bytes in one write.
const TRAILING_WRITE_BYTES: usize = 512;
/// The interval between two writes of trailing bytes.
const TRAILING_WRITE_INTERVAL: Duration = Duration::from_millis(1);
/// The time after the end of a response for which the process must still read trailing bytes.
const LINGER_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// The range of short pauses between two requests of a client, in milliseconds.
const SHORT_PAUSE_MS: Range<u64> = 0..30;
/// The range of long pauses between two requests of a client, in milliseconds.
const LONG_PAUSE_MS: Range<u64> = 100..700;
/// The pause between two pieces of a request.
const PIECE_PAUSE: Duration = Duration::from_millis(15);

/// The state that the clients of a run share.
pub struct ClientContext {
    pub front: FrontKind,
    /// The start of the run, to which recorded times are relative.
    pub start: Instant,
    /// The address of the process.
    pub address: Mutex<SocketAddr>,
    /// The time from which on clients open no connection. After SIGTERM to the only process, new
    /// connections arrive for 0.2 to 0.4 s.
    pub connects_until: Mutex<Option<Duration>>,
    /// Whether the clients have to end.
    pub stop: AtomicBool,
    /// The number of the next request.
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

/// How a client sends a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SendMode {
    /// In one write.
    AtOnce,
    /// In several writes, with pauses.
    InPieces,
    /// In one write. The client disconnects after this time.
    DisconnectAfter(Duration),
    /// In one write, followed by bytes that belong to no request until the response has ended. The
    /// request asks for the connection to be closed.
    TrailingBytes,
}

/// Stops the clients when it is dropped, also by a panic.
pub struct StopClientsOnDrop<'a>(pub &'a ClientContext);

impl Drop for StopClientsOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Relaxed);
    }
}

impl ClientContext {
    /// Sends requests until the run ends.
    pub fn run_client(&self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut open_connection = None;
        let mut resend_class = None;
        while !self.stop.load(Relaxed) {
            let Some(mut stream) = open_connection.take().or_else(|| self.connect()) else {
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let class = resend_class.take().unwrap_or_else(|| draw_class(&mut rng));
            let request = self.draw_request(class, &mut rng);
            let mode = match rng.u8(0..20) {
                0..3 => SendMode::InPieces,
                3..5 => SendMode::DisconnectAfter(Duration::from_millis(rng.u64(0..60))),
                5 => SendMode::TrailingBytes,
                _ => SendMode::AtOnce,
            };
            let (end, stays_open) = self.exchange(&mut stream, &request, mode);
            if matches!(end, RequestEnd::ConnectionEnded { .. }) {
                resend_class = Some(request.class);
            }
            if stays_open && rng.u8(0..10) > 0 {
                open_connection = Some(stream);
            }
            // Some pauses are so long that the process may close the connection while the client
            // sends its next request.
            let pause = if rng.u8(0..4) == 0 {
                LONG_PAUSE_MS
            } else {
                SHORT_PAUSE_MS
            };
            std::thread::sleep(Duration::from_millis(rng.u64(pause)));
        }
    }

    /// Opens a connection and records if it was refused. Returns `None` if there is no connection.
    fn connect(&self) -> Option<TcpStream> {
        let until = *self
            .connects_until
            .lock()
            .expect("the mutex is not poisoned");
        if until.is_some_and(|until| self.start.elapsed() > until) {
            return None;
        }
        let address = *self.address.lock().expect("the mutex is not poisoned");
        match TcpStream::connect(address) {
            Ok(stream) => Some(stream),
            Err(_) => {
                let at = self.start.elapsed();
                let mut refused = self
                    .refused_connects
                    .lock()
                    .expect("the mutex is not poisoned");
                refused.push(RefusedConnect { at });
                None
            }
        }
    }

    /// Draws a request of this class.
    fn draw_request(&self, class: Class, rng: &mut fastrand::Rng) -> Request {
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
                    Class::Complete => "look",
                    Class::Partial => "some",
                    Class::NonIdempotent => "once",
                };
                let id = format!("q{number}");
                let class = crate::standin::client::Class(name);
                let request = QueryRequest::new(&id, class, Shards(&shards));
                request.timeout_seconds(timeout.as_secs_f64()).to_http()
            }
            FrontKind::Features => {
                let name = match class {
                    Class::Complete => "exact",
                    Class::Partial => "part",
                    Class::NonIdempotent => "once",
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

    /// Sends a request, reads its response and records the request. Returns its end and whether the
    /// connection stays open.
    fn exchange(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        mode: SendMode,
    ) -> (RequestEnd, bool) {
        let bytes = request.text.as_bytes();
        let written = match mode {
            SendMode::TrailingBytes => {
                let close = "HTTP/1.1\r\nConnection: close\r\n";
                let closing = request.text.replacen("HTTP/1.1\r\n", close, 1);
                stream.write_all(closing.as_bytes())
            }
            SendMode::InPieces => bytes.chunks(40).try_for_each(|piece| {
                std::thread::sleep(PIECE_PAUSE);
                stream.write_all(piece)
            }),
            _ => stream.write_all(bytes),
        };
        let sent_at = self.start.elapsed();
        let writer = (mode == SendMode::TrailingBytes).then(|| TrailingBytesWriter::start(stream));
        let (end, stays_open) = match (written, mode) {
            (Err(_), _) => (RequestEnd::ConnectionEnded { reset: true }, false),
            (Ok(()), SendMode::DisconnectAfter(pause)) => {
                std::thread::sleep(pause);
                let _ = stream.shutdown(std::net::Shutdown::Both);
                (RequestEnd::ClientDisconnected, false)
            }
            (Ok(()), _) => match read_response(stream, request.timeout + LATE_READ_PERIOD) {
                // Closing a connection with unread trailing bytes resets it.
                Ok(_) if writer.is_some_and(|writer| self.is_reset(stream, writer)) => {
                    (RequestEnd::ConnectionEnded { reset: true }, false)
                }
                Ok(response) => {
                    let content = self.classify_content(request, &response);
                    let status = response.status;
                    (
                        RequestEnd::Answered { status, content },
                        !response.closes_connection,
                    )
                }
                Err(kind) => (end_after_error(kind), false),
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
        self.requests
            .lock()
            .expect("the mutex is not poisoned")
            .push(record);
        (end, stays_open)
    }

    /// Reads a connection with trailing bytes until it ends, and returns whether it was reset.
    /// Unless the process is shutting down, it must also read trailing bytes for a while after the
    /// end of the response.
    fn is_reset(&self, stream: &mut TcpStream, writer: TrailingBytesWriter) -> bool {
        let _ = stream.set_read_timeout(Some(LATE_READ_PERIOD));
        let closed = stream.read_to_end(&mut Vec::new()).is_ok();
        std::thread::sleep(LINGER_CHECK_PERIOD);
        let serving = self
            .connects_until
            .lock()
            .expect("the mutex is not poisoned")
            .is_none();
        let all_written = writer.finish();
        !closed || (serving && !all_written)
    }

    /// Classifies the content of a response.
    fn classify_content(&self, request: &Request, response: &Response) -> Content {
        if response.status != 200 {
            return Content::Error;
        }
        let Ok(json) = serde_json::from_slice::<Value>(&response.body) else {
            return Content::Wrong("body is not JSON".to_owned());
        };
        match self.front {
            FrontKind::Platform => classify_platform_answer(&request.shards, &json),
            FrontKind::Features => classify_feature_answer(&json),
        }
    }
}

/// A thread that sends trailing bytes after a request.
struct TrailingBytesWriter {
    stop: Arc<AtomicBool>,
    /// The thread, which returns whether all writes succeeded.
    thread: Option<JoinHandle<bool>>,
}

impl TrailingBytesWriter {
    fn start(stream: &TcpStream) -> TrailingBytesWriter {
        let stop = Arc::new(AtomicBool::new(false));
        let shared = stop.clone();
        let mut stream = stream.try_clone().expect("the socket is duplicated");
        let thread = std::thread::spawn(move || {
            while !shared.load(Relaxed) {
                if stream.write_all(&[b'x'; TRAILING_WRITE_BYTES]).is_err() {
                    return false;
                }
                std::thread::sleep(TRAILING_WRITE_INTERVAL);
            }
            true
        });
        TrailingBytesWriter {
            stop,
            thread: Some(thread),
        }
    }

    /// Stops the thread and returns whether all writes succeeded.
    fn finish(mut self) -> bool {
        self.stop.store(true, Relaxed);
        let thread = self.thread.take().expect("the thread was not joined yet");
        thread.join().expect("the thread does not panic")
    }
}

impl Drop for TrailingBytesWriter {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
    }
}

fn draw_class(rng: &mut fastrand::Rng) -> Class {
    [Class::Complete, Class::Partial, Class::NonIdempotent][rng.usize(0..3)]
}
