//! Stand-ins for feature servers, and their correct and faulty responses.

use super::http::{accept_on_thread, lines_of, read_request_line};
use super::threads::OwnedThreadGroup;
use std::io::{Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a feature server does when it receives a request.
pub enum ServerResponse {
    /// Sends status 200 with this body.
    Json(String),
    /// Sends status 200 with this body in one write. The parts of other responses are written one by
    /// one, and wait for the acknowledgement of the first.
    JsonInOneWrite(String),
    /// Sends this status without a body.
    Status(u16),
    /// Sends status 200 with this body after this delay.
    Delayed(Duration, String),
    /// Sends no response and keeps the connection open.
    Hang,
    /// Sends status 200 with this body without a length, and closes the connection to end the body.
    CloseDelimited(String),
    /// Sends status 200 with the first half of this body and closes the connection.
    Truncated(String),
    /// Sends status 200 with this body and a `Content-Length` that is too small, and keeps the
    /// connection open.
    ShortLength(String),
}

/// The number of bytes by which a `Content-Length` is too small.
const MISSING_LENGTH: usize = 1;

/// Returns the response to each target.
type Behaviour = Box<dyn FnMut(&str) -> ServerResponse + Send>;

/// A feature server whose responses are determined by a function of the request's target.
pub struct FeatureServer {
    /// The address at which the server listens.
    pub address: SocketAddr,
    /// The targets of all requests, in order.
    targets: Arc<Mutex<Vec<String>>>,
    threads: OwnedThreadGroup,
}

impl FeatureServer {
    /// Starts a server; `behaviour` returns the response to each target.
    pub fn start(behaviour: impl FnMut(&str) -> ServerResponse + Send + 'static) -> FeatureServer {
        let targets: Arc<Mutex<Vec<String>>> = Arc::default();
        let shared = targets.clone();
        let behaviour: Arc<Mutex<Behaviour>> = Arc::new(Mutex::new(Box::new(behaviour)));
        let threads = OwnedThreadGroup::default();
        let thread_group = threads.0.clone();
        let address = accept_on_thread(&threads.0, move |stream| {
            let targets = shared.clone();
            let behaviour = behaviour.clone();
            thread_group.spawn(move || serve(stream, &targets, &behaviour));
        });
        FeatureServer {
            address,
            targets,
            threads,
        }
    }

    /// Starts a healthy server that has the features with these ids.
    pub fn healthy(ids: Range<usize>, page_size: usize) -> FeatureServer {
        FeatureServer::start(move |target| healthy_response(target, ids.clone(), page_size))
    }

    /// Returns the targets of all requests, in order.
    pub fn requests(&self) -> Vec<String> {
        self.targets
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }

    /// Returns the number of requests whose target matches.
    pub fn count_requests(&self, matches: impl Fn(&str) -> bool) -> usize {
        self.targets
            .lock()
            .expect("the mutex is not poisoned")
            .iter()
            .filter(|target| matches(target))
            .count()
    }
}

/// Responds to the requests on a connection until it ends.
fn serve(mut stream: TcpStream, targets: &Mutex<Vec<String>>, behaviour: &Mutex<Behaviour>) {
    let mut lines = lines_of(&stream);
    while let Some(request_line) = read_request_line(&mut lines) {
        let target = request_line
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        targets
            .lock()
            .expect("the mutex is not poisoned")
            .push(target.clone());
        let response = (behaviour.lock().expect("the mutex is not poisoned"))(&target);
        let closes_connection = matches!(
            response,
            ServerResponse::CloseDelimited(_) | ServerResponse::Truncated(_)
        );
        if write_response(&mut stream, response).is_err() || closes_connection {
            return;
        }
    }
}

fn write_response(stream: &mut TcpStream, response: ServerResponse) -> Result<()> {
    match response {
        ServerResponse::Delayed(delay, body) => {
            std::thread::sleep(delay);
            write_response(stream, ServerResponse::Json(body))
        }
        ServerResponse::Json(body) => write_with_length(stream, &body, body.len()),
        ServerResponse::JsonInOneWrite(body) => {
            let length = body.len();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            stream.write_all(response.as_bytes())
        }
        ServerResponse::ShortLength(body) => {
            write_with_length(stream, &body, body.len() - MISSING_LENGTH)
        }
        ServerResponse::Status(status) => {
            write!(stream, "HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
        }
        ServerResponse::Hang => Ok(()),
        ServerResponse::CloseDelimited(body) => {
            write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}")
        }
        ServerResponse::Truncated(body) => {
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )?;
            stream.write_all(&body.as_bytes()[..body.len() / 2])
        }
    }
}

/// Writes a successful response with this `Content-Length`.
fn write_with_length(stream: &mut TcpStream, body: &str, length: usize) -> Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns the value, which is a number, of a parameter in the query of a target.
pub fn query_parameter(target: &str, name: &str) -> Option<usize> {
    let query = target.split_once('?')?.1;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|pair| pair.0 == name)?
        .1
        .parse()
        .ok()
}

/// Returns the GeoJSON text of a feature.
fn feature(id: usize) -> String {
    format!(
        r#"{{"type":"Feature","id":"d{id}","geometry":{{"type":"Point","coordinates":[{id},1]}},"properties":{{}}}}"#
    )
}

/// Returns the response of a healthy server that has the features with these ids: a page of
/// features with a `next` link if others follow, or the feature that the path names.
pub fn healthy_response(target: &str, ids: Range<usize>, page_size: usize) -> ServerResponse {
    let path = target.split('?').next().unwrap_or_default();
    if let Some((_, id)) = path.split_once("/items/") {
        let id = id.trim_start_matches('d').parse().unwrap_or(usize::MAX);
        return if ids.contains(&id) {
            ServerResponse::Json(feature(id))
        } else {
            ServerResponse::Status(404)
        };
    }
    let from = ids.start + query_parameter(target, "offset").unwrap_or(0);
    let to = (from + page_size).min(ids.end);
    let features: Vec<String> = (from..to).map(feature).collect();
    let next = if to < ids.end {
        format!(
            r#"{{"rel":"next","href":"{path}?offset={}"}}"#,
            to - ids.start
        )
    } else {
        String::new()
    };
    let features = features.join(",");
    ServerResponse::Json(format!(
        r#"{{"type":"FeatureCollection","features":[{features}],"links":[{next}]}}"#
    ))
}

/// Returns the line of the inventory for a server in service that has these collections.
pub fn inventory_row(name: &str, server: &FeatureServer, collections: &str) -> String {
    inventory_row_in_state(name, server, collections, "")
}

/// Returns the line of the inventory for a server in this state. An empty state means in service.
pub fn inventory_row_in_state(
    name: &str,
    server: &FeatureServer,
    collections: &str,
    state: &str,
) -> String {
    format!("{name},{},{collections},{state}\n", server.address)
}
