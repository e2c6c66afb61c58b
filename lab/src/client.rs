//! A plain HTTP/1.1 client that blocks: one connection, one request at a time.

use flate2::read::GzDecoder;
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection to a server.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
    rest: Vec<u8>,
    /// How long an answer is waited for.
    pub timeout: Duration,
}

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its headers, by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Its body, unpacked.
    pub body: Vec<u8>,
    /// Bytes of the body as it came.
    pub carried: usize,
}

impl Response {
    /// Its body as JSON; null if it is none.
    pub fn json(&self) -> Json {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Its body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header's value, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The ids of its features.
    pub fn ids(&self) -> Vec<String> {
        let json = self.json();
        let id = |f: &Json| match &f["id"] {
            Json::String(id) => id.clone(),
            id => id.to_string(),
        };
        json["features"].as_array().map(|l| l.iter().map(id).collect()).unwrap_or_default()
    }

    /// Where its link of this relation leads: path and query.
    pub fn link(&self, rel: &str) -> Option<String> {
        let json = self.json();
        let links = json["links"].as_array()?;
        let href = links.iter().find(|l| l["rel"] == rel)?["href"].as_str()?;
        Some(target(href))
    }
}

/// The path and query of a URL; a path stays as it is.
pub fn target(href: &str) -> String {
    match href.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/".to_owned(), |at| rest[at..].to_owned()),
        None => href.to_owned(),
    }
}

impl Client {
    /// A client of this server; it connects when it asks.
    pub fn new(address: SocketAddr) -> Self {
        Client { address, stream: None, rest: Vec::new(), timeout: Duration::from_secs(30) }
    }

    /// GET.
    pub fn get(&mut self, target: &str) -> Result<Response> {
        self.ask("GET", target, &[], &[])
    }

    /// GET with further headers.
    pub fn get_with(&mut self, target: &str, headers: &[(&str, &str)]) -> Result<Response> {
        self.ask("GET", target, headers, &[])
    }

    /// Any request. A kept connection that has ended is opened anew, once.
    pub fn ask(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Response> {
        let kept = self.stream.is_some();
        match self.once(method, target, headers, body) {
            Err(e)
                if kept
                    && matches!(
                        e.kind(),
                        ErrorKind::BrokenPipe | ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof
                    ) =>
            {
                self.stream = None;
                self.once(method, target, headers, body)
            }
            result => result,
        }
        .inspect_err(|_| self.stream = None)
    }

    fn once(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Response> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, self.timeout)?;
            stream.set_nodelay(true)?;
            self.rest.clear();
            self.stream = Some(stream);
        }
        let Some(stream) = &mut self.stream else { return Err(ErrorKind::NotConnected.into()) };
        stream.set_read_timeout(Some(self.timeout))?;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {}\r\n", self.address);
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        stream.write_all(&[head.as_bytes(), body].concat())?;
        let (answer, close) = read(stream, &mut self.rest, method == "HEAD")?;
        if close {
            self.stream = None;
        }
        Ok(answer)
    }
}

fn bad(why: &str) -> Error {
    Error::new(ErrorKind::InvalidData, why.to_owned())
}

fn more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Result<()> {
    let mut room = [0; 16 * 1024];
    match stream.read(&mut room)? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        n => {
            rest.extend_from_slice(&room[..n]);
            Ok(())
        }
    }
}

/// Reads one response; true: the connection ends with it.
fn read(stream: &mut TcpStream, rest: &mut Vec<u8>, head_only: bool) -> Result<(Response, bool)> {
    let (status, headers, used) = loop {
        let mut room = [httparse::EMPTY_HEADER; 64];
        let mut parsed = httparse::Response::new(&mut room);
        match parsed.parse(rest).map_err(|e| bad(&e.to_string()))? {
            httparse::Status::Complete(used) => {
                let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_owned();
                let of = |h: &httparse::Header<'_>| (h.name.to_ascii_lowercase(), text(h.value));
                let headers: BTreeMap<_, _> = parsed.headers.iter().map(of).collect();
                break (parsed.code.unwrap_or(0), headers, used);
            }
            httparse::Status::Partial => more(stream, rest)?,
        }
    };
    rest.drain(..used);
    let header = |name: &str| headers.get(name).map(String::as_str);
    let mut close = header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
    let mut body = Vec::new();
    if head_only || matches!(status, 204 | 304) {
    } else if header("transfer-encoding").is_some() {
        loop {
            let line = loop {
                match rest.windows(2).position(|w| w == b"\r\n") {
                    Some(at) => break at,
                    None => more(stream, rest)?,
                }
            };
            let text = String::from_utf8_lossy(&rest[..line]).trim().to_owned();
            let size = usize::from_str_radix(&text, 16).map_err(|_| bad("a chunk's size"))?;
            while rest.len() < line + 2 + size + 2 {
                more(stream, rest)?;
            }
            body.extend_from_slice(&rest[line + 2..line + 2 + size]);
            rest.drain(..line + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = header("content-length") {
        let length: usize = length.parse().map_err(|_| bad("a length"))?;
        while rest.len() < length {
            more(stream, rest)?;
        }
        body.extend(rest.drain(..length));
    } else {
        while more(stream, rest).is_ok() {}
        body.append(rest);
        close = true;
    }
    let carried = body.len();
    if header("content-encoding") == Some("gzip") {
        let mut whole = Vec::new();
        GzDecoder::new(body.as_slice()).read_to_end(&mut whole)?;
        body = whole;
    }
    Ok((Response { status, headers, body, carried }, close))
}
