//! Fault-injecting proxy: alters requests to a correct service or its responses, to show that the
//! checks of the conformance suite detect faults.

mod alteration;
mod edits;
mod faults;

pub use faults::injected_faults;

use crate::client::{Client, ClientError, Header, Request, Response};
use crate::sync::lock;
use alteration::{Alteration, Scope};
use flate2::{write::GzEncoder, Compression};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// Response headers that the proxy sets itself, by their lower-case names.
const PROXY_HEADERS: [&str; 3] = ["content-length", "connection", "transfer-encoding"];

/// Request that the proxy received and forwards, possibly altered.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    method: String,
    /// Path and query.
    target: String,
    headers: Vec<OwnedHeader>,
    body: Vec<u8>,
}

#[derive(Debug, Clone)]
struct OwnedHeader {
    name: String,
    value: String,
}

impl ForwardedRequest {
    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    fn target_contains(&self, text: &str) -> bool {
        self.target.contains(text)
    }

    fn accepts_encoding(&self) -> bool {
        self.headers
            .iter()
            .any(|header| header.name.eq_ignore_ascii_case("accept-encoding"))
    }
}

/// Fault that can be injected.
pub struct InjectedFault {
    /// Identifier of the check that must detect the fault.
    pub detected_by: &'static str,
    /// Description of the incorrect behaviour.
    pub description: &'static str,
    scope: Scope,
    alteration: Alteration,
}

impl InjectedFault {
    fn alter_request(&self, request: &mut ForwardedRequest) {
        if self.scope.includes(request) {
            self.alteration.alter_request(request);
        }
    }

    fn alter_response(&self, request: &ForwardedRequest, response: &mut Response) {
        if self.scope.includes(request) {
            self.alteration.alter_response(response);
        }
    }
}

/// Running proxy, which injects at most one fault at a time.
pub struct FaultInjector {
    /// Listening address.
    pub address: SocketAddr,
    active_fault: Arc<ActiveFault>,
}

/// Fault that is injected at present, if any.
type ActiveFault = Mutex<Option<&'static InjectedFault>>;

/// Reason why a connection of the proxy failed.
#[derive(Debug, Error)]
enum ForwardError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Client(#[from] ClientError),
}

impl FaultInjector {
    /// Starts a proxy for the service at this address on a free loopback port, without a fault.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub fn start(service: SocketAddr) -> io::Result<FaultInjector> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let active_fault: Arc<ActiveFault> = Arc::default();
        let shared_fault = active_fault.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let active_fault = shared_fault.clone();
                std::thread::spawn(move || forward_connection(stream, service, &active_fault));
            }
        });
        Ok(FaultInjector {
            address,
            active_fault,
        })
    }

    /// Sets the fault to inject; `None` restores correct behaviour.
    pub fn inject(&self, fault: Option<&'static InjectedFault>) {
        *lock(&self.active_fault) = fault;
    }
}

/// Forwards the requests of a connection until it is closed.
fn forward_connection(
    mut stream: TcpStream,
    service: SocketAddr,
    active_fault: &ActiveFault,
) -> Result<(), ForwardError> {
    stream.set_nodelay(true)?;
    let proxy_address = stream.local_addr()?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut client = Client::new(service);
    while let Some(mut request) = read_request(&mut reader)? {
        let fault = *lock(active_fault);
        if let Some(fault) = fault {
            fault.alter_request(&mut request);
        }
        let mut response = forward(&mut client, &request)?;
        // Makes the links point to the proxy, so that the client's next requests are altered too.
        let text = response
            .text()
            .replace(&service.to_string(), &proxy_address.to_string());
        response.body = text.into_bytes();
        if let Some(fault) = fault {
            fault.alter_response(&request, &mut response);
        }
        write_response(&mut stream, &request, &response)?;
    }
    Ok(())
}

/// Reads the next request; returns `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<ForwardedRequest>> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line)? == 0 {
        return Ok(None);
    }
    let mut words = request_line.split_whitespace().map(str::to_owned);
    let method = words.next().unwrap_or_default();
    let target = words.next().unwrap_or_default();
    let mut headers = Vec::new();
    let mut body_length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => body_length = value.parse().unwrap_or(0),
            // The client sets these headers itself.
            "host" | "connection" => {}
            _ => headers.push(OwnedHeader {
                name: name.to_owned(),
                value: value.to_owned(),
            }),
        }
    }
    let mut body = Vec::new();
    reader.take(body_length).read_to_end(&mut body)?;
    Ok(Some(ForwardedRequest {
        method,
        target,
        headers,
        body,
    }))
}

fn forward(client: &mut Client, request: &ForwardedRequest) -> Result<Response, ClientError> {
    let headers: Vec<Header<'_>> = request
        .headers
        .iter()
        .map(|header| Header::new(&header.name, &header.value))
        .collect();
    client.send(&Request {
        body: &request.body,
        ..Request::new(&request.method, &request.target, &headers)
    })
}

fn write_response(
    stream: &mut TcpStream,
    request: &ForwardedRequest,
    response: &Response,
) -> io::Result<()> {
    let is_compressed = request.accepts_encoding() && response.header("content-encoding") == "gzip";
    let body = if is_compressed {
        compress(&response.body)?
    } else {
        response.body.clone()
    };
    let mut bytes = format!("HTTP/1.1 {} X\r\n", response.status);
    let forwarded_headers = response
        .headers
        .iter()
        .filter(|header| !PROXY_HEADERS.contains(&header.name));
    for Header { name, value } in forwarded_headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    if request.method != "HEAD" {
        bytes.extend_from_slice(&body);
    }
    stream.write_all(&bytes)
}

fn compress(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    encoder.finish()
}
