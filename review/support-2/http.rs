//! A client of HTTP/1.1 for one request on a new connection, and the parts of messages that the
//! stand-in servers read.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response.
#[derive(Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Reply {
    /// Returns the value of the first field with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Sends `GET target` with more header lines, each of which ends in CRLF.
pub fn get(
    address: SocketAddr,
    target: &str,
    headers: &str,
    wait: Duration,
) -> Result<Reply, String> {
    exchange(
        address,
        format!("GET {target} HTTP/1.1\r\nHost: {address}\r\n{headers}\r\n").as_bytes(),
        wait,
    )
}

/// Sends `POST target` with a JSON body.
pub fn post(
    address: SocketAddr,
    target: &str,
    headers: &str,
    body: &str,
    wait: Duration,
) -> Result<Reply, String> {
    let length = body.len();
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         {headers}Content-Length: {length}\r\n\r\n"
    );
    exchange(address, format!("{head}{body}").as_bytes(), wait)
}

/// Sends a request on a new connection and reads the response. Fails if it is not complete after
/// `wait`.
pub fn exchange(address: SocketAddr, request: &[u8], wait: Duration) -> Result<Reply, String> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait).map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request).map_err(|e| e.to_string())?;
    read_reply(&mut BufReader::new(stream), until)
}

/// Reads a response that has a length. Fails if it is not complete at the time `until`.
pub fn read_reply(reader: &mut BufReader<TcpStream>, until: Instant) -> Result<Reply, String> {
    let set_wait = |stream: &TcpStream| {
        let left = until.saturating_duration_since(Instant::now());
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .map_err(|e| e.to_string())
    };
    set_wait(reader.get_ref())?;
    let first = read_line(reader)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or_else(|| format!("no status line: {first:?}"))?;
    let mut headers = Vec::new();
    loop {
        set_wait(reader.get_ref())?;
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let reply = Reply {
        status,
        headers,
        body: String::new(),
    };
    let length: usize = reply
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    let mut filled = 0;
    while filled < length {
        set_wait(reader.get_ref())?;
        match reader.read(&mut body[filled..]) {
            Ok(0) => return Err("the connection ended in the body".to_owned()),
            Ok(count) => filled += count,
            Err(error) => return Err(error.to_string()),
        }
        if Instant::now() > until {
            return Err("timed out".to_owned());
        }
    }
    Ok(Reply {
        body: String::from_utf8_lossy(&body).into_owned(),
        ..reply
    })
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Result<String, String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => Err("the connection ended without a response".to_owned()),
        Ok(_) => Ok(line.trim_end().to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Reads the head of a request and returns its target; `None` at the end of the connection.
pub fn read_target(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || line.trim_end().is_empty() {
            break;
        }
    }
    first.split(' ').nth(1).map(str::to_owned)
}

/// Returns the value of a parameter in a target's query, with `%2C` and `+` decoded.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.replace("%2C", ",").replace('+', " "))
}
