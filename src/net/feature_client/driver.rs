//! The driver of one attempt at a feature server: a coroutine that fetches one page over one
//! connection and reports the end to the coordinator and to the server's concurrency limit.

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
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};

/// The status of a server that limits the rate of requests (RFC 6585, section 4).
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
/// The status of a server that is overloaded (RFC 9110, section 15.6.4).
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// The context that the drivers of all attempts share.
#[derive(Clone)]
pub(super) struct DriverContext {
    /// The coordinator's inbox.
    pub(super) inbox: Sender<Input>,
    /// The clock that the drivers read.
    pub(super) clock: Clock,
    /// The timeout of a connect to a server.
    pub(super) connect_timeout: Micros,
    /// The time after which an idle connection is closed.
    pub(super) idle_timeout: Micros,
    /// The throughput of all servers, which admission reads.
    pub(super) capacity: Arc<ServerCapacity>,
}

/// The result of a fetch.
struct FetchResult {
    /// The end of the attempt.
    end: AttemptEnd,
    /// The outcome that is reported to the server's concurrency limit.
    limit_outcome: RequestOutcome,
    /// The backoff that the server requested in `Retry-After`.
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

/// The driver of one attempt, for which a slot at the server is taken.
pub(super) struct FetchDriver {
    /// The request and the attempt that it belongs to.
    pub(super) request: FetchRequest,
    /// The server, which all its drivers and the client share.
    pub(super) server: Arc<Mutex<FeatureServer>>,
    /// The context of all drivers.
    pub(super) context: DriverContext,
}

impl FetchDriver {
    /// Starts the driver on its own coroutine. Reports the attempt as not sent if that fails.
    pub(super) fn start(self) {
        self.start_with(|driver| spawn(LARGE_STACK_WORDS, move || driver.run()).map(drop));
    }

    /// Starts the driver with `spawn`. If that fails, the attempt is reported as not sent, and its
    /// slot goes to the next attempt in the queue.
    fn start_with(self, spawn: impl Fn(FetchDriver) -> io::Result<()>) {
        let FetchDriver {
            request,
            server,
            context,
        } = self;
        let mut startable = VecDeque::from([request]);
        while let Some(request) = startable.pop_front() {
            let key = request.key;
            let driver = FetchDriver {
                request,
                server: server.clone(),
                context: context.clone(),
            };
            if spawn(driver).is_ok() {
                continue;
            }
            let mut server = lock(&server);
            server.in_flight -= 1;
            startable.extend(server.take_startable(context.clock.now()));
            let _ = context.inbox.send(Input::AttemptEnded {
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
            None => self.request.fetch.on_connection_failed(),
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
            FetchDriver {
                request,
                server: self.server.clone(),
                context: self.context.clone(),
            }
            .start();
        }
    }

    /// Releases the attempt's slot and reports the result to the server's concurrency limit.
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
        if let Some(backoff) = result.retry_after {
            server.limiter.back_off(now, backoff);
        }
        self.context
            .capacity
            .report(self.request.replica, server.throughput());
    }

    /// Returns the result of a fetch, for its attempt and for the server's concurrency limit.
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
        // The address identifies the server from which later pages are requested, and is the host
        // against which the links of this page are resolved.
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

    /// Takes an idle connection that is still open. Drops those that are not, since a request on a
    /// connection that the server has closed would be lost.
    fn idle_connection(&self) -> Option<TcpStream> {
        let mut server = lock(&self.server);
        while let Some(connection) = server.idle.pop() {
            let idle_for = self.context.clock.now().since(connection.idle_since);
            if idle_for < self.context.idle_timeout && is_open(&connection.stream) {
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

    /// Exchanges request and response over this connection until the fetch has ended.
    fn drive(&mut self, stream: &TcpStream) -> Progress {
        // Without this option requests are only delayed, so an error is ignored.
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
                IoOutcome::ConnectionFailed => return self.request.fetch.on_connection_failed(),
            }
        }
    }

    fn write_pending(&mut self, stream: &std::net::TcpStream) -> Progress {
        while !self.request.fetch.output().is_empty() {
            // Checked until the first byte is written, since a draining server gets no new
            // requests.
            if self.request.fetch.is_unstarted() && !lock(&self.server).ready {
                return Progress::Failed(self.cancelled_outcome());
            }
            match try_write(stream, self.request.fetch.output()) {
                IoOutcome::Transferred(bytes) => self.record_written(bytes),
                IoOutcome::WouldBlock => break,
                IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => {
                    return self.request.fetch.on_connection_failed()
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

/// Returns the backoff that an overloaded server requested. Returns `None` if the header is missing
/// or does not give the backoff in seconds.
fn retry_after(response: &FetchedResponse) -> Option<Micros> {
    let seconds = response.headers.get("Retry-After")?.trim().parse().ok()?;
    Some(Micros::from_secs(seconds))
}

/// Returns whether an idle connection is open: neither bytes nor the end of the stream were
/// received.
fn is_open(stream: &TcpStream) -> bool {
    matches!(try_read(stream.inner(), &mut [0]), IoOutcome::WouldBlock)
}

#[cfg(test)]
mod tests;
