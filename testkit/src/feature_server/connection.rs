//! Connections of a feature server: reads requests, routes them and writes responses with the
//! faults that the script chooses.

use super::dataset::queryables;
use super::document::Document;
use super::items::ItemsRequest;
use super::{Capabilities, Fault, RegisteredRequest, ServerState};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// Delay of a response with [`Fault::Slow`].
const SLOW_DELAY: Duration = Duration::from_millis(60);
/// Interval between the bytes of a body with [`Fault::TrickledBody`].
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of bytes of such a body that are sent before the connection is closed.
const TRICKLED_BYTES: usize = 100;
const RETRY_AFTER_HEADER: &str = "Retry-After: 1\r\n";

/// State of a connection after a response.
#[derive(PartialEq, Eq)]
enum Connection {
    Open,
    Closed,
}

impl ServerState {
    /// Serves the requests of a connection until it is closed.
    pub(super) fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(target) = read_target(&mut reader)? {
            let request = self.register_request(&target);
            if self.respond(&mut stream, &target, request)? == Connection::Closed {
                let _ = stream.shutdown(Shutdown::Both);
                return Ok(());
            }
        }
        Ok(())
    }

    fn respond(
        &self,
        stream: &mut TcpStream,
        target: &str,
        request: RegisteredRequest,
    ) -> io::Result<Connection> {
        match request.fault {
            Fault::Hang => return Ok(Connection::Open),
            Fault::Disconnect => return Ok(Connection::Closed),
            Fault::InternalError => return write_status(stream, 500, ""),
            Fault::ServiceUnavailable => return write_status(stream, 503, RETRY_AFTER_HEADER),
            Fault::TooManyRequests => return write_status(stream, 429, RETRY_AFTER_HEADER),
            Fault::Slow => std::thread::sleep(SLOW_DELAY),
            _ => {}
        }
        let document = match request.fault {
            Fault::HtmlPage => Document::html("<html><body>busy</body></html>"),
            _ => self.document(target, request),
        };
        self.body_bytes
            .fetch_add(document.body.len() as u64, Relaxed);
        write_document(stream, &document, request.fault)
    }

    fn document(&self, target: &str, request: RegisteredRequest) -> Document {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let segments: Vec<&str> = path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect();
        match segments[..] {
            ["conformance"] => Document::json(&self.capabilities.conformance()),
            ["collections", _, "queryables"] if self.capabilities != Capabilities::Core => {
                Document::schema(&queryables())
            }
            ["collections", _, "items"] => self.items(&ItemsRequest::new(path, query), request),
            ["collections", _, "items", id] => self.item(id),
            _ => Document::not_found(),
        }
    }

    fn item(&self, id: &str) -> Document {
        let Some(text) = self.dataset.find(id) else {
            return Document::not_found();
        };
        self.slots.simulate_work(1);
        Document::geo_json(text.to_owned())
    }
}

/// Reads a request and returns its target, or `None` at the end of the connection.
fn read_target(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line)? == 0 {
        return Ok(None);
    }
    let mut body_length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line == "\r\n" {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            body_length = value.trim().parse().unwrap_or(0);
        }
    }
    reader.take(body_length).read_to_end(&mut Vec::new())?;
    Ok(Some(
        request_line
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .to_owned(),
    ))
}

fn write_status(stream: &mut TcpStream, status: u16, headers: &str) -> io::Result<Connection> {
    let response = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: 0\r\n\r\n");
    stream.write_all(response.as_bytes())?;
    Ok(Connection::Open)
}

fn write_document(
    stream: &mut TcpStream,
    document: &Document,
    fault: Fault,
) -> io::Result<Connection> {
    let head = document.head();
    let body = &document.body;
    if fault == Fault::CloseDelimited {
        stream.write_all(format!("{head}Connection: close\r\n\r\n{body}").as_bytes())?;
        return Ok(Connection::Closed);
    }
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    match fault {
        Fault::TruncatedBody => {
            stream.write_all(format!("{head}{}", &body[..body.len() / 2]).as_bytes())?;
            Ok(Connection::Closed)
        }
        Fault::TrickledBody => {
            stream.write_all(head.as_bytes())?;
            for byte in body.as_bytes().iter().take(TRICKLED_BYTES) {
                stream.write_all(&[*byte])?;
                std::thread::sleep(TRICKLE_INTERVAL);
            }
            Ok(Connection::Closed)
        }
        _ => {
            stream.write_all(format!("{head}{body}").as_bytes())?;
            Ok(Connection::Open)
        }
    }
}
