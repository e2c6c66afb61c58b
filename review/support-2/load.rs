//! Clients of the front for feature queries at a steady rate.

use super::http::{self, Reply};
use super::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// A query and what became of it.
#[derive(Clone)]
pub struct Query {
    pub sent_at: f64,
    /// When the last byte of the answer came, or the client gave up.
    pub ended_at: f64,
    pub outcome: Result<Reply, String>,
}

/// Clients that send queries until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    queries: Arc<Mutex<Vec<Query>>>,
    sender: JoinHandle<Vec<JoinHandle<()>>>,
}

impl Load {
    /// Sends `rate` queries a second, each by a client of its own that waits `wait` for its answer.
    pub fn start(
        record: &Record,
        address: SocketAddr,
        target: &str,
        headers: &str,
        rate: f64,
        wait: Duration,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let queries = Arc::new(Mutex::new(Vec::new()));
        let (stopped, all, record) = (stop.clone(), queries.clone(), record.clone());
        let (target, headers) = (target.to_owned(), headers.to_owned());
        let sender = std::thread::spawn(move || {
            let mut clients = Vec::new();
            while !stopped.load(Relaxed) {
                let (all, record) = (all.clone(), record.clone());
                let (target, headers) = (target.clone(), headers.clone());
                let number = clients.len();
                clients.push(std::thread::spawn(move || {
                    let sent_at = record.note(format!("client {number}: sends {target}"));
                    let result = http::get(address, &target, &headers, wait);
                    let text = describe(&result);
                    let ended_at = record.note(format!("client {number}: {text}"));
                    all.lock().unwrap().push(Query {
                        sent_at,
                        ended_at,
                        outcome: result,
                    });
                }));
                std::thread::sleep(Duration::from_secs_f64(1.0 / rate));
            }
            clients
        });
        Load {
            stop,
            queries,
            sender,
        }
    }

    /// Stops sending, waits for the queries under way and returns all.
    pub fn finish(self) -> Vec<Query> {
        self.stop.store(true, Relaxed);
        for client in self.sender.join().unwrap_or_default() {
            let _ = client.join();
        }
        let queries = self.queries.lock().unwrap().clone();
        queries
    }
}

/// Describes the result of a request in a few words.
pub fn describe(result: &Result<Reply, String>) -> String {
    match result {
        Ok(reply) => {
            let whole = reply.header("X-Answer-Whole").unwrap_or("-");
            format!(
                "got {} whole={whole} {} bytes",
                reply.status,
                reply.body.len()
            )
        }
        Err(error) => format!("got no answer: {error}"),
    }
}
