//! Clients of the process under test.

use super::process::Process;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The default timeout of a query, which a client sends in a header, in seconds.
const QUERY_TIMEOUT_SECONDS: f64 = 30.0;
/// The time after which a client that cannot write any more bytes disconnects.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// The statement of each query.
const STATEMENT: &str = "c41e77d0";

/// The name of a query's class.
#[derive(Debug, Clone, Copy)]
pub struct Class<'a>(pub &'a str);

/// The numbers of a query's shards. The query has one part for each shard.
#[derive(Debug, Clone, Copy)]
pub struct Shards<'a>(pub &'a [u32]);

/// A request with a query, as clients of the platform front send it.
pub struct QueryRequest<'a> {
    id: &'a str,
    class: Class<'a>,
    shards: Shards<'a>,
    timeout_seconds: f64,
    closes_connection: bool,
}

impl<'a> QueryRequest<'a> {
    /// Returns a request with this trace id, class and shards that keeps its connection open.
    pub fn new(id: &'a str, class: Class<'a>, shards: Shards<'a>) -> QueryRequest<'a> {
        let timeout_seconds = QUERY_TIMEOUT_SECONDS;
        QueryRequest {
            id,
            class,
            shards,
            timeout_seconds,
            closes_connection: false,
        }
    }

    /// Sets how long the client waits for the answer, in seconds.
    pub fn timeout_seconds(self, timeout_seconds: f64) -> QueryRequest<'a> {
        QueryRequest {
            timeout_seconds,
            ..self
        }
    }

    /// Asks for the connection to be closed after the response.
    pub fn close_connection(self) -> QueryRequest<'a> {
        QueryRequest {
            closes_connection: true,
            ..self
        }
    }

    /// Returns the text of the HTTP request.
    pub fn to_http(&self) -> String {
        let fraction = 1.0 / self.shards.0.len() as f64;
        let tablet = |shard| json!({"tablet": shard, "fraction": fraction});
        let tablets: Vec<Value> = self.shards.0.iter().map(tablet).collect();
        let body = json!({"tablets": tablets, "statement": STATEMENT}).to_string();
        let connection = if self.closes_connection {
            "Connection: close\r\n"
        } else {
            ""
        };
        format!(
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {}\r\nX-Qos: {}\r\n\
             X-Expires-In: {}\r\n{connection}Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.class.0,
            self.timeout_seconds,
            body.len()
        )
    }
}

/// Sends a query on a new connection and returns the response.
pub fn query(process: &Process, id: &str, class: Class, shards: Shards) -> Response {
    send_query(process, QueryRequest::new(id, class, shards))
}

/// Sends a request on a new connection, which is closed after the response, and returns the
/// response.
pub fn send_query(process: &Process, request: QueryRequest) -> Response {
    process.send_request(&request.close_connection().to_http())
}

/// Sends a request on a new connection and returns the connection without reading the response.
pub fn send_request(process: &Process, request: &str) -> TcpStream {
    let mut client = TcpStream::connect(process.address).expect("the process accepts connections");
    client
        .write_all(request.as_bytes())
        .expect("the request is sent");
    client
}

/// Reads a connection until the process closes it, and returns the text. Fails at a reset.
pub fn read_until_close(mut client: TcpStream) -> String {
    let mut text = String::new();
    client
        .read_to_string(&mut text)
        .expect("the process closes the connection without a reset");
    text
}

/// The parts of a response that matter to a client on a persistent connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Whether the response announces the close of the connection.
    pub closes_connection: bool,
}

/// Reads the next response on a persistent connection. Returns `None` if the connection ends before
/// the response is complete or the response is malformed.
pub fn read_response(client: &mut BufReader<TcpStream>) -> Option<ResponseHead> {
    let head: Vec<_> = client
        .by_ref()
        .lines()
        .map_while(Result::ok)
        .take_while(|line| !line.is_empty())
        .collect();
    let status = head.first()?.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .iter()
        .find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok())?;
    client.read_exact(&mut vec![0; length]).ok()?;
    Some(ResponseHead {
        status,
        closes_connection: head.iter().any(|line| line == "Connection: close"),
    })
}

/// A response that was read to the end of its connection.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The values of the header fields by field name in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body as text.
    pub body: String,
}

impl Response {
    /// Parses the complete text that was received on a connection.
    pub fn parse(text: &str) -> Response {
        let (head, body) = text
            .split_once("\r\n\r\n")
            .expect("the response has a complete head");
        let mut lines = head.lines();
        let status = lines
            .next()
            .and_then(|line| line.split(' ').nth(1))
            .and_then(|status| status.parse().ok())
            .expect("the response has a status code");
        let header = |line: &str| {
            line.split_once(": ")
                .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        };
        Response {
            status,
            headers: lines.filter_map(header).collect(),
            body: body.to_owned(),
        }
    }

    /// Parses the body, which must be JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body)
            .unwrap_or_else(|error| panic!("body is not JSON: {error}: {self:?}"))
    }

    /// Returns the ids of the features in the body, in order.
    pub fn ids(&self) -> Vec<String> {
        let json = self.json();
        let features = json["features"]
            .as_array()
            .unwrap_or_else(|| panic!("response has no features: {self:?}"));
        features
            .iter()
            .map(|feature| {
                feature["id"]
                    .as_str()
                    .expect("the feature has an id")
                    .to_owned()
            })
            .collect()
    }

    /// Returns the target, without scheme and host, of the link in the body that has this relation.
    pub fn link(&self, relation: &str) -> Option<String> {
        let json = self.json();
        let link = json["links"]
            .as_array()?
            .iter()
            .find(|link| link["rel"] == relation)?;
        let href = link["href"].as_str()?;
        Some(format!("/{}", href.splitn(4, '/').nth(3)?))
    }
}

/// Sends bytes that belong to no request until `bytes` of them are sent or the process stops
/// reading, and disconnects.
pub fn send_trailing_bytes_and_disconnect(mut client: TcpStream, bytes: usize) {
    client
        .set_write_timeout(Some(WRITE_TIMEOUT))
        .expect("the write timeout is set");
    let chunk = [b'x'; 64 * 1024];
    let mut sent = 0;
    while sent < bytes {
        match client.write(&chunk) {
            Ok(written) => sent += written,
            Err(_) => break,
        }
    }
    drop(client);
}
