//! The driver of one attempt at a feature server: a coroutine that fetches one page over one connection.

use super::request::FetchRequest;
use super::server::{FeatureServer, IdleConnection};
use crate::coordinator::{AttemptEnd, Input, COUNTERS};
use crate::interface::Outcome;
use crate::limits::{RequestOutcome, ServerCapacity};
use crate::net::{spawn, try_read, try_write, IoOutcome, LARGE_STACK_WORDS};
use crate::proto::fetch::{FetchedResponse, Progress};
use crate::sync::lock;
use crate::time::{Clock, Micros};
use may::io::WaitIo;
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};

const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// What the drivers of all attempts share.
#[derive(Clone)]
pub(super) struct DriverContext {
    pub(super) inbox: Sender<Input>,
    pub(super) clock: Clock,
    pub(super) connect_timeout: Micros,
    /// How long a connection may be idle before it is closed.
    pub(super) idle_limit: Micros,
    pub(super) capacity: Arc<ServerCapacity>,
}

/// How a fetch ended.
struct FetchResult {
    /// The end of the attempt.
    end: AttemptEnd,
    /// What the server's concurrency limit learns from it.
    limit_outcome: RequestOutcome,
    /// How long the server has asked to be left alone.
    retry_after: Option<Micros>,
}

impl FetchResult {
    fn failed(outcome: Outcome, limit_outcome: RequestOutcome) -> Self {
        FetchResult {
            end: AttemptEnd::Failed(outcome),
            limit_outcome,
            retry_after: None,
        }
    }
}

/// Drives one attempt whose slot at the server is taken already.
pub(super) struct FetchDriver {
    pub(super) request: FetchRequest,
    pub(super) server: Arc<Mutex<FeatureServer>>,
    pub(super) context: DriverContext,
}

impl FetchDriver {
    /// Starts the driver on a coroutine of its own.
    pub(super) fn start(self) {
        let (server, inbox, key) = (
            self.server.clone(),
            self.context.inbox.clone(),
            self.request.key,
        );
        if spawn(LARGE_STACK_WORDS, move || self.run()).is_err() {
            lock(&server).in_flight -= 1;
            let _ = inbox.send(Input::AttemptEnded {
                key,
                end: AttemptEnd::Failed(Outcome::NotSent),
            });
        }
    }

    fn run(mut self) {
        let started_at = self.context.clock.now();
        let stream = self.idle_connection().or_else(|| self.dial());
        let progress = match &stream {
            Some(stream) => self.drive(stream),
            None => self.request.fetch.on_broken(),
        };
        let now = self.context.clock.now();
        let reusable =
            matches!(progress, Progress::Complete(_)) && self.request.fetch.is_reusable();
        let result = self.interpret(progress);
        let startable = {
            let mut server = lock(&self.server);
            self.record_result(&mut server, &result, started_at, now);
            if let Some(stream) = stream.filter(|_| reusable && server.ready) {
                self.request.cancellation.set_waker(None);
                server.idle.push(IdleConnection {
                    stream,
                    idle_since: now,
                });
            }
            server.take_startable(now)
        };
        // The coordinator ignores the end of an attempt that it has cancelled.
        let _ = self.context.inbox.send(Input::AttemptEnded {
            key: self.request.key,
            end: result.end,
        });
        for request in startable {
            let (server, context) = (self.server.clone(), self.context.clone());
            FetchDriver {
                request,
                server,
                context,
            }
            .start();
        }
    }

    /// Releases the attempt's slot and lets the server's limit learn from the result.
    fn record_result(
        &self,
        server: &mut FeatureServer,
        result: &FetchResult,
        started_at: Micros,
        now: Micros,
    ) {
        let in_flight = server.in_flight;
        server.in_flight -= 1;
        server
            .limiter
            .record(now, result.limit_outcome, now.since(started_at), in_flight);
        if let Some(pause) = result.retry_after {
            server.limiter.back_off(now, pause);
        }
        self.context
            .capacity
            .report(self.request.replica, server.throughput());
    }

    /// What a fetch that has ended means for its attempt and for the server's limit.
    fn interpret(&self, progress: Progress) -> FetchResult {
        match progress {
            Progress::Complete(response) => self.interpret_response(response),
            Progress::Failed(outcome) => {
                let cancelled =
                    self.request.cancellation.is_cancelled() && self.request.fetch.may_have_run();
                let limit_outcome = if cancelled {
                    RequestOutcome::Cancelled
                } else {
                    RequestOutcome::Ignored
                };
                FetchResult::failed(outcome, limit_outcome)
            }
            Progress::Pending => FetchResult::failed(Outcome::Error, RequestOutcome::Ignored),
        }
    }

    fn interpret_response(&self, response: FetchedResponse) -> FetchResult {
        let overloaded = matches!(
            response.status,
            STATUS_TOO_MANY_REQUESTS | STATUS_SERVICE_UNAVAILABLE
        );
        let retry_after = if overloaded {
            retry_after(&response)
        } else {
            None
        };
        // The server is named by its address: further pages are requested there by that name.
        let host = self.request.address.to_string();
        let end = self.request.page_request.interpret(&host, &host, response);
        let limit_outcome = match &end {
            AttemptEnd::Served(value) => RequestOutcome::Success(
                self.request
                    .page_request
                    .page(value)
                    .map_or(0, |page| page.returned_count),
            ),
            AttemptEnd::Failed(_) if overloaded => RequestOutcome::Overloaded,
            AttemptEnd::Failed(_) => RequestOutcome::Ignored,
        };
        FetchResult {
            end,
            limit_outcome,
            retry_after,
        }
    }

    /// An idle connection that is still open: a request on one that the server has closed would be lost.
    fn idle_connection(&self) -> Option<TcpStream> {
        let mut server = lock(&self.server);
        while let Some(connection) = server.idle.pop() {
            let idle_for = self.context.clock.now().since(connection.idle_since);
            if idle_for < self.context.idle_limit && is_open(&connection.stream) {
                return Some(connection.stream);
            }
        }
        None
    }

    fn dial(&self) -> Option<TcpStream> {
        COUNTERS.dials.increment();
        let timeout = self.context.connect_timeout.to_duration();
        let stream = TcpStream::connect_timeout(&self.request.address, timeout);
        if stream.is_err() {
            COUNTERS.dials_failed.increment();
        }
        stream.ok()
    }

    /// Fetches over this connection until the response is complete or never will be.
    fn drive(&mut self, stream: &TcpStream) -> Progress {
        // Only latency is lost without it.
        let _ = stream.set_nodelay(true);
        self.request.cancellation.set_waker(Some(stream.waker()));
        loop {
            let progress = self.step(stream.inner());
            if !progress.is_pending() {
                return progress;
            }
            stream.wait_io();
        }
    }

    /// Writes and reads until the socket would block.
    fn step(&mut self, stream: &std::net::TcpStream) -> Progress {
        if self.request.cancellation.is_cancelled() {
            return Progress::Failed(self.cancelled_outcome());
        }
        loop {
            let written = self.write_pending(stream);
            if !written.is_pending() {
                return written;
            }
            match try_read(stream, self.request.fetch.reader.input.free_space()) {
                IoOutcome::Transferred(bytes) => {
                    self.request.fetch.reader.input.commit(bytes);
                    let progress = self.request.fetch.advance();
                    if !progress.is_pending() {
                        return progress;
                    }
                }
                IoOutcome::WouldBlock => return Progress::Pending,
                IoOutcome::EndOfStream => return self.request.fetch.on_end_of_stream(),
                IoOutcome::Broken => return self.request.fetch.on_broken(),
            }
        }
    }

    fn write_pending(&mut self, stream: &std::net::TcpStream) -> Progress {
        while !self.request.fetch.output().is_empty() {
            // The last check before it is sent: a draining server gets nothing new.
            if self.request.fetch.is_unstarted() && !lock(&self.server).ready {
                return Progress::Failed(self.cancelled_outcome());
            }
            match try_write(stream, self.request.fetch.output()) {
                IoOutcome::Transferred(bytes) => self.record_written(bytes),
                IoOutcome::WouldBlock => break,
                IoOutcome::EndOfStream | IoOutcome::Broken => {
                    return self.request.fetch.on_broken()
                }
            }
        }
        Progress::Pending
    }

    fn record_written(&mut self, bytes: usize) {
        if self.request.fetch.record_written(bytes) {
            self.request.metrics.attempts.increment();
            let _ = self
                .context
                .inbox
                .send(Input::FullyWritten(self.request.key));
        }
    }

    fn cancelled_outcome(&self) -> Outcome {
        if self.request.fetch.may_have_run() {
            Outcome::Error
        } else {
            Outcome::NotSent
        }
    }
}

/// How long an overloaded server has asked to be left alone, where it said so in seconds.
fn retry_after(response: &FetchedResponse) -> Option<Micros> {
    let seconds = response.headers.get("Retry-After")?.trim().parse().ok()?;
    Some(Micros::from_secs(seconds))
}

/// Whether an idle connection is open: nothing is received on it, not even its end.
fn is_open(stream: &TcpStream) -> bool {
    matches!(try_read(stream.inner(), &mut [0]), IoOutcome::WouldBlock)
}
