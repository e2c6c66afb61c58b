//! The service of one client connection: its requests are read, passed to the front, submitted to
//! the coordinator, and answered.

use super::connection::{AwaitedResponse, Connection, ConnectionState, TurnBudget};
use super::ClientConnections;
use crate::coordinator::{Answer, Input, Request, Token, COUNTERS};
use crate::front::{Reaction, Render};
use crate::net::IoOutcome;
use crate::proto::http::{HttpError, HttpRequest};
use crate::sync;
use std::net::TcpStream;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;

impl ClientConnections {
    /// Reads and handles requests and writes responses until the socket would block. Returns
    /// whether the connection stays open.
    pub(super) fn drive(&self, connection: &Arc<Connection>, socket: &TcpStream) -> bool {
        let mut state = connection.lock();
        state.unread_at_last_check = false;
        // A first request that is in the socket when its connection is evicted is still served:
        // otherwise its client would receive a reset instead of a response.
        let may_exchange = !state.abort_requested || !state.received_request;
        let mut open = may_exchange && self.exchange(connection, &mut state, socket);
        if open && state.abort_requested {
            open = state.http.awaits_response();
            state.abort_requested = false;
            state.http.close_when_idle();
        }
        if open {
            self.send_submission(&mut state);
        }
        self.count_memory(&mut state, open);
        open
    }

    /// Updates the total memory of all connections with the current memory of this one.
    pub(super) fn count_memory(&self, state: &mut ConnectionState, open: bool) {
        let bytes = if open { state.http.memory() } else { 0 };
        self.buffered_bytes.fetch_add(bytes, Relaxed);
        self.buffered_bytes
            .fetch_sub(std::mem::replace(&mut state.buffered_bytes, bytes), Relaxed);
    }

    /// Handles requests and writes responses until the socket would block. Returns whether the
    /// connection stays open.
    fn exchange(
        &self,
        connection: &Arc<Connection>,
        state: &mut ConnectionState,
        socket: &TcpStream,
    ) -> bool {
        let mut budget = TurnBudget::new();
        state.has_more_input = false;
        // Handles input that was received while an earlier request was in progress.
        self.handle_requests(connection, state, &mut budget);
        if !self.read_requests(connection, state, socket, &mut budget)
            || !state.write_output(socket, &self.clock)
        {
            return false;
        }
        // The output that stopped the reading may have been written now.
        state.has_more_input &= state.http.accepts_input() || state.http.has_excess();
        if state.http.is_idle() {
            state.request_started_at = None;
        }
        if !state.http.is_finished() {
            return true;
        }
        state.begin_linger(socket, &self.clock) && state.discard_input(socket)
    }

    /// Reads and handles requests for as long as there is input. Returns false if the client closed
    /// the connection while a request was in progress, since it no longer awaits the response.
    fn read_requests(
        &self,
        connection: &Arc<Connection>,
        state: &mut ConnectionState,
        socket: &TcpStream,
        budget: &mut TurnBudget,
    ) -> bool {
        let mut discarded_bytes = 0;
        while !state.is_lingering() && state.prepare_read(&mut discarded_bytes) {
            if budget.is_spent() {
                break;
            }
            match state.read_input(socket, &self.clock) {
                IoOutcome::Transferred(bytes) => {
                    // Input behind a request in progress has a limit of its own.
                    if !state.http.awaits_response() {
                        budget.count_read(bytes);
                    }
                    self.handle_requests(connection, state, budget);
                    state.ignore_empty_lines();
                }
                IoOutcome::WouldBlock => return true,
                IoOutcome::EndOfStream | IoOutcome::ConnectionFailed
                    if state.http.awaits_response() =>
                {
                    return false
                }
                IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => {
                    state.http.on_end_of_stream();
                    self.handle_requests(connection, state, budget);
                    state.has_more_input = budget.is_spent();
                    return true;
                }
            }
        }
        state.has_more_input = true;
        true
    }

    /// Handles the complete requests in the input, as far as the budget allows.
    fn handle_requests(
        &self,
        connection: &Arc<Connection>,
        state: &mut ConnectionState,
        budget: &mut TurnBudget,
    ) {
        while !budget.is_spent() {
            let Some(polled) = state.http.next_request() else {
                return;
            };
            budget.count_request();
            match polled {
                Ok(request) => self.handle_request(request, connection, state),
                Err(error) => self.reject_malformed(error, state),
            }
        }
    }

    fn reject_malformed(&self, error: HttpError, state: &mut ConnectionState) {
        COUNTERS.bad_requests.increment();
        state
            .http
            .respond(self.front.malformed_response(error), true);
    }

    fn handle_request(
        &self,
        request: HttpRequest,
        connection: &Arc<Connection>,
        state: &mut ConnectionState,
    ) {
        let close = self.lifecycle.service_phase().closes_after_response();
        state.received_request = true;
        let token = Token(self.next_id());
        let sent_at = state.request_sent_at();
        match self
            .front
            .handle(request, token, sent_at, self.lifecycle.is_ready())
        {
            Reaction::Respond(response) => {
                state.http.respond(response, close);
                state.restart_request_time();
            }
            Reaction::Submit(request, render) => {
                state.submitted_query = true;
                state.submission = Some(self.submit(request, token, render, connection, state));
            }
        }
    }

    /// Passes the request of this turn to the coordinator, unless the client has disconnected by now.
    fn send_submission(&self, state: &mut ConnectionState) {
        if let Some(submission) = state.submission.take() {
            let _ = self.inbox.send(submission);
        }
    }

    /// Records that a request awaits its answer, and returns the input that submits it.
    fn submit(
        &self,
        request: Request,
        token: Token,
        render: Render,
        connection: &Arc<Connection>,
        state: &mut ConnectionState,
    ) -> Input {
        let payload_memory = request.payload_memory();
        let held = self.payload_bytes.fetch_add(payload_memory, Relaxed);
        state.awaited = Some(AwaitedResponse {
            token,
            render,
            payload_memory,
        });
        sync::lock(&self.awaiting).insert(token, connection.clone());
        let has_memory = held + payload_memory <= self.limits().payload_bytes;
        if payload_memory == 0 || has_memory {
            Input::Submit(request)
        } else {
            // The payload is dropped here, since many requests may wait for the coordinator's turn.
            Input::RejectForMemory(Request {
                payload: Arc::default(),
                ..request
            })
        }
    }

    /// Takes the request that awaits the coordinator's answer, and releases its payload's memory.
    fn take_awaited(&self, state: &mut ConnectionState, token: Token) -> Option<AwaitedResponse> {
        let awaited = state.awaited.take_if(|awaited| awaited.token == token)?;
        self.payload_bytes
            .fetch_sub(awaited.payload_memory, Relaxed);
        Some(awaited)
    }

    /// Renders the answer to a request as a response, which the connection's coroutine writes, or
    /// submits the request that follows from the answer. Does nothing if the client has
    /// disconnected.
    pub fn deliver(&self, token: Token, answer: Answer) {
        let Some(connection) = sync::lock(&self.awaiting).remove(&token) else {
            return;
        };
        let mut state = connection.lock();
        let Some(awaited) = self.take_awaited(&mut state, token) else {
            return;
        };
        let response = match (awaited.render)(answer) {
            Reaction::Respond(response) => response,
            Reaction::Submit(request, render) => {
                let submission = self.submit(request, token, render, &connection, &mut state);
                let _ = self.inbox.send(submission);
                return;
            }
        };
        let close = self.lifecycle.service_phase().closes_after_response();
        state.http.respond(response, close);
        state.last_activity_at = self.clock.now();
        state.restart_request_time();
        state.wake();
    }

    /// Reports to the coordinator that the client has disconnected, if an answer is still awaited.
    pub(super) fn report_disconnect(&self, connection: &Connection) {
        let mut state = connection.lock();
        state.end_polling();
        let token = state.awaited.as_ref().map(|awaited| awaited.token);
        let awaited = token.and_then(|token| self.take_awaited(&mut state, token));
        let was_submitted = state.submission.take().is_none();
        if let Some(awaited) = awaited {
            sync::lock(&self.awaiting).remove(&awaited.token);
            if !was_submitted {
                COUNTERS.queries_not_submitted.increment();
                COUNTERS.queries_abandoned.increment();
                return;
            }
            let _ = self.inbox.send(Input::ClientDisconnected(awaited.token));
        }
    }
}
