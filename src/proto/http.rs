//! HTTP/1.1: the server's side of a connection, and a reader of responses for the client's side.

use super::body::Body;
use super::buffer::Buffer;
use std::fmt::Write as _;

/// Most bytes of a head; real ones are a few hundred.
pub const MAX_HEAD: usize = 16 * 1024;
/// Most bytes of a request's body: the platform's limit.
pub const MAX_BODY: usize = 64 * 1024;
/// Most headers of a head.
const MAX_HEADERS: usize = 64;
/// What comes behind a request that is under way is read and dropped up to here once too much of it came.
const MAX_DROPPED: usize = 1024 * 1024;
/// Most bytes of a chunk's size line or of one trailer.
const MAX_LINE: usize = 1024;

/// What is wrong with what came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP, or contradicting itself.
    Malformed,
    /// The head is too long.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
    /// A transfer coding other than chunked.
    UnknownCoding,
    /// It ended in the middle.
    Truncated,
    /// It did not come in time.
    TooSlow,
}

impl HttpError {
    /// The fitting status.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed | HttpError::Truncated => 400,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::UnknownCoding => 501,
            HttpError::TooSlow => 408,
        }
    }
}

/// The headers of a head, in order.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    fn from_parsed(headers: &[httparse::Header<'_>]) -> Result<Self, HttpError> {
        let text = |v: &[u8]| std::str::from_utf8(v).map(|v| v.trim().to_owned());
        let one = |h: &httparse::Header<'_>| Ok((h.name.to_owned(), text(h.value)?));
        headers
            .iter()
            .map(one)
            .collect::<Result<_, std::str::Utf8Error>>()
            .map(Headers)
            .map_err(|_| HttpError::Malformed)
    }

    fn lists(&self, name: &str, word: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// How long the body is, if the head says. Two answers to that are an attack or a defect, never a choice.
    fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let mut coding = self.all("transfer-encoding");
        let mut lengths = self.all("content-length");
        match (coding.next(), lengths.next()) {
            (Some(_), Some(_)) => Err(HttpError::Malformed),
            (Some(c), None) if c.eq_ignore_ascii_case("chunked") && coding.next().is_none() => {
                Ok(Some(Framing::Chunked(Chunk::Size)))
            }
            (Some(_), None) => Err(HttpError::UnknownCoding),
            (None, Some(first)) => {
                if lengths.any(|l| l != first) || !first.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(HttpError::Malformed);
                }
                first.parse().map(|n| Some(Framing::Length(n))).map_err(|_| HttpError::Malformed)
            }
            (None, None) => Ok(None),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(u64),
    Chunked(Chunk),
    ToEnd,
}

impl Framing {
    /// Moves what is there from `buffer` to `body`; true once the body has ended.
    fn read(&mut self, buffer: &mut Buffer, body: &mut Vec<u8>, most: usize) -> Result<bool, HttpError> {
        loop {
            let data = buffer.data();
            match self {
                Framing::Length(left) | Framing::Chunked(Chunk::Data(left)) => {
                    let n = data.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    if body.len() as u64 + *left > most as u64 {
                        return Err(HttpError::BodyTooLarge);
                    }
                    body.extend_from_slice(&data[..n]);
                    *left -= n as u64;
                    let whole = *left == 0;
                    buffer.consume(n);
                    match self {
                        _ if !whole => return Ok(false),
                        Framing::Length(_) => return Ok(true),
                        _ => *self = Framing::Chunked(Chunk::DataEnd),
                    }
                }
                Framing::ToEnd => {
                    if body.len() + data.len() > most {
                        return Err(HttpError::BodyTooLarge);
                    }
                    body.extend_from_slice(data);
                    let n = data.len();
                    buffer.consume(n);
                    return Ok(false);
                }
                Framing::Chunked(Chunk::Size) => match httparse::parse_chunk_size(data) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        buffer.consume(used);
                        *self = Framing::Chunked(if size == 0 { Chunk::Trailers } else { Chunk::Data(size) });
                    }
                    Ok(httparse::Status::Partial) if data.len() < MAX_LINE => return Ok(false),
                    _ => return Err(HttpError::Malformed),
                },
                Framing::Chunked(Chunk::DataEnd) => {
                    if data.len() < 2 {
                        return Ok(false);
                    }
                    if &data[..2] != b"\r\n" {
                        return Err(HttpError::Malformed);
                    }
                    buffer.consume(2);
                    *self = Framing::Chunked(Chunk::Size);
                }
                Framing::Chunked(Chunk::Trailers) => {
                    let Some(end) = data.windows(2).position(|w| w == b"\r\n") else {
                        return if data.len() < MAX_LINE { Ok(false) } else { Err(HttpError::Malformed) };
                    };
                    buffer.consume(end + 2);
                    if end == 0 {
                        return Ok(true);
                    }
                }
            }
        }
    }
}

/// A request that came whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
}

/// A response to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// What its body is; empty for none.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Body,
}

impl Response {
    /// A response with a body.
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Body>) -> Self {
        Response { status, content_type, headers: Vec::new(), body: body.into() }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        304 => "Not Modified",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        410 => "Gone",
        408 => "Request Timeout",
        415 => "Unsupported Media Type",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal ServerConnection Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

#[derive(Debug)]
enum State {
    Head,
    Body(HttpRequest, Framing),
    /// A request was handed out; what comes after it waits.
    Busy,
    /// Nothing more is read.
    Closed,
}

/// The server's side of one connection.
#[derive(Debug)]
pub struct ServerConnection {
    input: Buffer,
    state: State,
    output: Body,
    /// Most bytes of a request's body.
    most_body: usize,
    /// The client asked for the connection to close after this answer, or it must.
    close: bool,
    /// The connection ends once nothing of a request is here.
    wind_up: bool,
    /// This request's answer goes without a body.
    head_only: bool,
    ended: bool,
    /// What came behind a request under way and was dropped.
    dropped: usize,
}

impl Default for ServerConnection {
    fn default() -> Self {
        ServerConnection {
            input: Buffer::default(),
            state: State::Head,
            output: Body::default(),
            most_body: MAX_BODY,
            close: false,
            wind_up: false,
            head_only: false,
            ended: false,
            dropped: 0,
        }
    }
}

impl ServerConnection {
    /// Requests may have a body of so many bytes.
    pub fn set_max_body(&mut self, bytes: usize) {
        self.most_body = bytes;
    }

    /// Where reads go; bounded, since nothing is read while a request that came is unanswered and enough is here.
    pub fn input(&mut self) -> &mut Buffer {
        &mut self.input
    }

    /// Is there room to read more? A client that pipelines without end, or takes no answers, must wait.
    pub fn wants_input(&self) -> bool {
        self.input.data().len() < MAX_HEAD + MAX_BODY
            && self.output.len() < MAX_BODY
            && !matches!(self.state, State::Closed)
    }

    /// Memory held for what came and what is to be written.
    pub fn memory(&self) -> usize {
        let body = if let State::Body(request, _) = &self.state { request.body.capacity() } else { 0 };
        self.input.capacity() + body + self.output.memory()
    }

    /// Something of a request is here that is not handed out yet.
    pub fn has_partial_request(&self) -> bool {
        matches!(self.state, State::Body(..)) || !self.input.data().is_empty()
    }

    /// The rest of a request is not waited for any more: this is its answer.
    pub fn respond_and_close(&mut self, response: Response) {
        self.respond(response, true);
    }

    /// The client may still be sending what nobody reads, or has sent it since the last read: closing on that would be a
    /// reset, which can eat the answer. One between requests has its last answer: it sends nothing before.
    pub fn must_linger(&self) -> bool {
        !self.ended && (matches!(self.state, State::Closed) || !self.input.data().is_empty())
    }

    /// More came behind the request under way than is kept: true if it was dropped, and the connection ends with the answer.
    /// Reading goes on, for only so is it seen that the client has left: its parts went out for nobody else.
    pub fn discard_excess(&mut self) -> bool {
        let left = self.input.data().len();
        let over = self.awaits_response() && left >= MAX_HEAD + MAX_BODY && self.dropped < MAX_DROPPED;
        if over {
            self.dropped += left;
            self.input.consume(left);
            self.close = true;
        }
        over
    }

    /// It is to end as soon as no request is under way.
    pub fn is_draining(&self) -> bool {
        self.wind_up
    }

    /// The client will send nothing more.
    pub fn end_of_input(&mut self) {
        self.ended = true;
    }

    /// The next request that came whole, or what is wrong; after an error nothing more is read.
    pub fn next_request(&mut self) -> Option<Result<HttpRequest, HttpError>> {
        // After an error nothing more is said: told again and again, a request cut off would fill the memory.
        if matches!(self.state, State::Closed) {
            return None;
        }
        if let Err(e) = self.advance() {
            self.state = State::Closed;
            self.close = true;
            return Some(Err(e));
        }
        match std::mem::replace(&mut self.state, State::Busy) {
            State::Body(request, Framing::Length(0)) => {
                self.head_only = request.method == "HEAD";
                Some(Ok(request))
            }
            state => {
                self.state = state;
                // Cut off in the middle of a request.
                let cut =
                    self.ended && (matches!(self.state, State::Body(..)) || !self.input.data().is_empty());
                if self.ended && !matches!(self.state, State::Busy) {
                    self.state = State::Closed;
                    self.close = true;
                }
                (cut && matches!(self.state, State::Closed)).then_some(Err(HttpError::Truncated))
            }
        }
    }

    fn advance(&mut self) -> Result<(), HttpError> {
        if matches!(self.state, State::Head) {
            if let Some((request, framing)) = self.head()? {
                self.state = State::Body(request, framing);
            }
        }
        if let State::Body(request, framing) = &mut self.state {
            if framing.read(&mut self.input, &mut request.body, self.most_body)? {
                *framing = Framing::Length(0);
            }
        }
        Ok(())
    }

    fn head(&mut self) -> Result<Option<(HttpRequest, Framing)>, HttpError> {
        // Empty lines before a request are to be passed over.
        while self.input.data().starts_with(b"\r\n") {
            self.input.consume(2);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let data = self.input.data();
        let used = match parsed.parse(data) {
            Ok(httparse::Status::Complete(used)) if used <= MAX_HEAD => used,
            Ok(httparse::Status::Partial) if data.len() < MAX_HEAD => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
            Err(_) => return Err(HttpError::Malformed),
        };
        let headers = Headers::from_parsed(parsed.headers)?;
        let framing = headers.framing()?.unwrap_or(Framing::Length(0));
        if matches!(framing, Framing::Length(n) if n > self.most_body as u64) {
            return Err(HttpError::BodyTooLarge);
        }
        let old = parsed.version == Some(0);
        self.close |=
            headers.lists("connection", "close") || (old && !headers.lists("connection", "keep-alive"));
        let request = HttpRequest {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            headers,
            body: Vec::new(),
        };
        self.input.consume(used);
        if request.headers.lists("expect", "100-continue") {
            self.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        Ok(Some((request, framing)))
    }

    /// Answers the request that was handed out (or the error); with `close` the connection ends after it.
    pub fn respond(&mut self, response: Response, close: bool) {
        self.close |= close;
        let mut head = String::with_capacity(160);
        let _ = write!(head, "HTTP/1.1 {} {}\r\n", response.status, reason(response.status));
        if !response.content_type.is_empty() {
            let _ = write!(head, "Content-Type: {}\r\n", response.content_type);
        }
        for (name, value) in &response.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if self.close {
            head.push_str("Connection: close\r\n");
        }
        let _ = write!(head, "Content-Length: {}\r\n\r\n", response.body.len());
        self.output.push(head.as_bytes());
        if !std::mem::take(&mut self.head_only) {
            self.output.append(response.body);
        }
        self.state = if self.close { State::Closed } else { State::Head };
    }

    /// Bytes to write.
    pub fn output(&self) -> &[u8] {
        self.output.front()
    }

    /// So many of them were written.
    pub fn advance_output(&mut self, n: usize) {
        self.output.advance(n);
    }

    /// A request was handed out and awaits its answer.
    pub fn awaits_response(&self) -> bool {
        matches!(self.state, State::Busy)
    }

    /// Between requests: nothing of a next one is here, nothing is to be written.
    pub fn is_idle(&self) -> bool {
        matches!(self.state, State::Head) && self.input.data().is_empty() && self.output().is_empty()
    }

    /// All is said: the connection can be closed.
    pub fn is_finished(&self) -> bool {
        (matches!(self.state, State::Closed) && self.output().is_empty()) || (self.wind_up && self.is_idle())
    }

    /// Close it as soon as no request is under way. One that is here but not read yet is still taken: the client
    /// would count it as lost, or pay for asking again.
    pub fn close_when_idle(&mut self) {
        self.close = true;
        self.wind_up = true;
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// The connection can be used again after it.
    pub reusable: bool,
}

/// Reads one response; bodies may be taken while they still come.
#[derive(Debug)]
pub struct ResponseReader {
    /// Where reads go.
    pub input: Buffer,
    head: Option<(ResponseHead, Framing)>,
    done: bool,
    most_body: usize,
    /// What came of the body and was not taken yet.
    pub body: Vec<u8>,
}

impl ResponseReader {
    /// A reader that keeps at most so much of a body at a time.
    pub fn new(most_body: usize) -> Self {
        ResponseReader { input: Buffer::default(), head: None, done: false, most_body, body: Vec::new() }
    }

    /// Reads on; true once the response has ended.
    pub fn advance(&mut self) -> Result<bool, HttpError> {
        if self.head.is_none() && !self.read_head()? {
            return Ok(false);
        }
        if let (Some((_, framing)), false) = (&mut self.head, self.done) {
            self.done = framing.read(&mut self.input, &mut self.body, self.most_body)?;
        }
        Ok(self.done)
    }

    fn read_head(&mut self) -> Result<bool, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            let data = self.input.data();
            let used = match parsed.parse(data) {
                Ok(httparse::Status::Complete(used)) => used,
                Ok(httparse::Status::Partial) if data.len() < MAX_HEAD => return Ok(false),
                Ok(_) => return Err(HttpError::HeadTooLarge),
                Err(_) => return Err(HttpError::Malformed),
            };
            let status = parsed.code.unwrap_or(0);
            let headers = Headers::from_parsed(parsed.headers)?;
            let old = parsed.version == Some(0);
            self.input.consume(used);
            if (100..200).contains(&status) {
                continue;
            }
            let framing = match status {
                204 | 304 => Framing::Length(0),
                _ => headers.framing()?.unwrap_or(Framing::ToEnd),
            };
            let reusable = !old && framing != Framing::ToEnd && !headers.lists("connection", "close");
            self.head = Some((ResponseHead { status, headers, reusable }, framing));
            return Ok(true);
        }
    }

    /// The head, once it is here.
    pub fn head(&self) -> Option<&ResponseHead> {
        self.head.as_ref().map(|h| &h.0)
    }

    /// The connection ended: true if that ends the response as it should.
    pub fn end_of_input(&mut self) -> bool {
        let to_end = self.head.as_ref().is_some_and(|h| h.1 == Framing::ToEnd);
        self.done |= to_end;
        self.done
    }
}
