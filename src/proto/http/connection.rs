//! The server side of a connection, which serves one request at a time.

use super::framing::Framing;
use super::request::{HttpRequest, RequestHead};
use super::response::Response;
use super::{HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::proto::body::Body;
use crate::proto::buffer::Buffer;

/// The maximum length of the input that follows a request in progress, in bytes.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

/// The state of the connection.
#[derive(Debug)]
enum State {
    /// Receiving the head of a request.
    Head,
    /// Receiving the body of a request.
    Body {
        request: HttpRequest,
        framing: Framing,
    },
    /// A request was returned to the owner. The next one is not parsed before the response.
    AwaitingResponse,
    /// No more requests are read.
    Closed,
}

/// The server side of one connection, without its socket. The owner fills [`input`](Self::input),
/// takes requests from [`next_request`](Self::next_request), responds to each by
/// [`respond`](Self::respond), and writes [`output`](Self::output) to the socket.
#[derive(Debug)]
pub struct ServerConnection {
    input: Buffer,
    state: State,
    output: Body,
    /// The maximum length of a request's body, in bytes.
    max_body: usize,
    /// Whether the connection closes after the next response.
    close_after_response: bool,
    /// Whether the connection closes as soon as no request is in progress.
    draining: bool,
    /// Whether the request in progress is a `HEAD` request, whose response has no body.
    omit_body: bool,
    /// Whether the client has closed its sending side.
    input_ended: bool,
}

impl Default for ServerConnection {
    fn default() -> Self {
        ServerConnection {
            input: Buffer::default(),
            state: State::Head,
            output: Body::default(),
            max_body: MAX_BODY_BYTES,
            close_after_response: false,
            draining: false,
            omit_body: false,
            input_ended: false,
        }
    }
}

impl ServerConnection {
    /// Sets the maximum length of a request's body, in bytes; the default is [`MAX_BODY_BYTES`].
    pub fn set_max_body(&mut self, bytes: usize) {
        self.max_body = bytes;
    }

    /// Returns the buffer for reads from the socket. The caller reads only while
    /// [`accepts_input`](Self::accepts_input).
    pub fn input(&mut self) -> &mut Buffer {
        &mut self.input
    }

    /// Returns whether the connection accepts more input. It does not while the client has sent too
    /// much after the request in progress, or does not read its responses.
    #[must_use]
    pub fn accepts_input(&self) -> bool {
        self.input.data().len() < MAX_PIPELINED_BYTES
            && self.output.len() < MAX_BODY_BYTES
            && !matches!(self.state, State::Closed)
    }

    /// Returns the memory held for input and output, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.unread_memory() + self.output.memory()
    }

    /// Returns the memory held for input that was not returned as a request, in bytes.
    #[must_use]
    pub fn unread_memory(&self) -> usize {
        let request = match &self.state {
            State::Body { request, .. } => request.memory(),
            _ => 0,
        };
        self.input.capacity() + request
    }

    /// Returns whether a request was received in part, or is complete but was not returned yet.
    #[must_use]
    pub fn has_partial_request(&self) -> bool {
        matches!(self.state, State::Body { .. }) || !self.input.data().is_empty()
    }

    /// Returns whether a request was returned by [`next_request`](Self::next_request) and has no
    /// response yet.
    #[must_use]
    pub fn awaits_response(&self) -> bool {
        matches!(self.state, State::AwaitingResponse)
    }

    /// Returns whether the connection is between requests: no part of the next request was received,
    /// and no output is left to write.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Head)
            && self.input.data().is_empty()
            && self.output().is_empty()
    }

    /// Returns whether the socket can be closed.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let last_response_written = matches!(self.state, State::Closed) && self.output().is_empty();
        last_response_written || (self.draining && self.is_idle())
    }

    /// Returns whether the socket needs a lingering close: the client may still be sending, and
    /// closing a socket with unread input sends a reset, after which the client may lose a response
    /// that it has not read yet. A connection between requests needs none, since its client has sent
    /// nothing since its last response.
    #[must_use]
    pub fn needs_lingering_close(&self) -> bool {
        !self.input_ended && (matches!(self.state, State::Closed) || !self.input.data().is_empty())
    }

    /// Returns whether [`close_when_idle`](Self::close_when_idle) was called.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Closes the connection as soon as no request is in progress. A request that was received in
    /// part is still served: otherwise its client would have to retry it, or count it as lost.
    pub fn close_when_idle(&mut self) {
        self.close_after_response = true;
        self.draining = true;
    }

    /// Records that the client has closed its sending side.
    pub fn on_end_of_stream(&mut self) {
        self.input_ended = true;
    }

    /// Discards the input that follows a request in progress if it exceeds the maximum. The
    /// connection then closes after the response. Returns the number of bytes discarded. Reading
    /// continues, since only a read shows that the client has disconnected and that the attempts of
    /// its request can be cancelled.
    pub fn discard_excess(&mut self) -> usize {
        if !self.has_excess() {
            return 0;
        }
        let unread = self.input.data().len();
        self.discard_input();
        unread
    }

    /// Returns whether the input that follows a request in progress exceeds the maximum.
    #[must_use]
    pub fn has_excess(&self) -> bool {
        self.awaits_response() && self.input.data().len() >= MAX_PIPELINED_BYTES
    }

    /// Discards all input that was not returned as a request, to free its memory. A connection whose
    /// request awaits its response closes after the response, any other one at once and without a
    /// response.
    pub fn discard_unread(&mut self) {
        self.discard_input();
        if !self.awaits_response() {
            self.stop_reading();
        }
    }

    fn discard_input(&mut self) {
        self.input = Buffer::default();
        self.close_after_response = true;
    }

    /// Returns the next complete request, or the error that ends the connection. Returns `None` if
    /// more input is needed, while a request is in progress, and after an error.
    pub fn next_request(&mut self) -> Option<Result<HttpRequest, HttpError>> {
        // The error is reported once, since a response to each call would fill the memory.
        if matches!(self.state, State::Closed) {
            return None;
        }
        match self.read_request() {
            Ok(Some(request)) => {
                self.omit_body = request.method == "HEAD";
                Some(Ok(request))
            }
            Ok(None) => self.check_end_of_stream().map(Err),
            Err(error) => {
                self.stop_reading();
                Some(Err(error))
            }
        }
    }

    /// Responds to the request or the error that [`next_request`](Self::next_request) returned. The
    /// connection closes after the response if `close` is set.
    pub fn respond(&mut self, response: Response, close: bool) {
        self.close_after_response |= close;
        self.output
            .push(response.encode_head(self.close_after_response).as_bytes());
        if !std::mem::take(&mut self.omit_body) {
            self.output.append(response.body);
        }
        self.state = if self.close_after_response {
            State::Closed
        } else {
            State::Head
        };
    }

    /// Responds without waiting for the rest of a request, and closes the connection.
    pub fn respond_and_close(&mut self, response: Response) {
        self.respond(response, true);
    }

    /// Returns the next contiguous bytes to write. They are empty only if no bytes are left.
    #[must_use]
    pub fn output(&self) -> &[u8] {
        self.output.front()
    }

    /// Drops the first `count` bytes of the output, which were written.
    pub fn advance_output(&mut self, count: usize) {
        self.output.advance(count);
    }

    /// Parses the input, and returns the request if it is complete.
    fn read_request(&mut self) -> Result<Option<HttpRequest>, HttpError> {
        if matches!(self.state, State::Head) {
            self.read_head()?;
        }
        let State::Body { request, framing } = &mut self.state else {
            return Ok(None);
        };
        if !framing.read(&mut self.input, &mut request.body, self.max_body)? {
            return Ok(None);
        }
        let request = std::mem::take(request);
        self.state = State::AwaitingResponse;
        Ok(Some(request))
    }

    fn read_head(&mut self) -> Result<(), HttpError> {
        // RFC 9112, section 2.2: empty lines before a request are ignored.
        while self.input.data().starts_with(b"\r\n") {
            self.input.consume(2);
        }
        let Some(head) = RequestHead::parse(self.input.data(), self.max_body)? else {
            return Ok(());
        };
        self.input.consume(head.length);
        self.close_after_response |= head.close_requested;
        if head.expects_continue {
            self.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.state = State::Body {
            request: head.request,
            framing: head.framing,
        };
        Ok(())
    }

    /// Stops reading if the client has closed its sending side and no request awaits its response.
    /// Returns an error if a request was truncated.
    fn check_end_of_stream(&mut self) -> Option<HttpError> {
        if !self.input_ended || self.awaits_response() {
            return None;
        }
        let truncated = self.has_partial_request();
        self.stop_reading();
        truncated.then_some(HttpError::Truncated)
    }

    fn stop_reading(&mut self) {
        self.state = State::Closed;
        self.close_after_response = true;
    }
}
