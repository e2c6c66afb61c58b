//! Tests of the eviction of client connections.

use super::*;
use crate::front::Reaction;
use crate::proto::http::{HttpRequest, Response};
use may::sync::mpsc::channel;
use std::io::{Read, Write};
use std::net::TcpStream;

/// A front that knows no resource and records the times at which its requests were sent.
#[derive(Clone, Default)]
struct NotFoundFront {
    sent_at: Arc<Mutex<Vec<Micros>>>,
}

impl Front for NotFoundFront {
    fn handle(&self, _: HttpRequest, _: Token, sent: Micros, _: bool) -> Reaction {
        sync::lock(&self.sent_at).push(sent);
        Reaction::Respond(Response::new(404, "", ""))
    }
    fn malformed_response(&self, error: HttpError) -> Response {
        Response::new(error.status(), "", "")
    }
}

/// Creates client connections in these states, without sockets.
fn clients(
    limits: ClientLimits,
    states: Vec<ConnectionState>,
) -> (Arc<ClientConnections>, Vec<Arc<Connection>>) {
    clients_of(NotFoundFront::default(), limits, states)
}

/// Creates client connections of a front in these states, without sockets.
fn clients_of(
    front: NotFoundFront,
    limits: ClientLimits,
    states: Vec<ConnectionState>,
) -> (Arc<ClientConnections>, Vec<Arc<Connection>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listener = Arc::new(CoIo::new(listener).expect("a socket of the runtime"));
    let clients = ClientConnections::new(
        Box::new(front),
        listener,
        limits,
        channel().0,
        Clock::start(),
        Arc::default(),
    );
    let connections: Vec<_> = states
        .into_iter()
        .map(|state| Arc::new(Connection::new(state)))
        .collect();
    sync::lock(&clients.connections)
        .extend((0..).map(ConnectionId).zip(connections.iter().cloned()));
    (clients, connections)
}

/// Creates an idle connection without requests that was accepted, and last active, `age_s` seconds
/// ago.
fn without_request(age_s: u64) -> ConnectionState {
    let accepted_at = Clock::start().now() - Micros::from_secs(age_s);
    ConnectionState {
        accepted_at,
        last_activity_at: accepted_at,
        last_write_at: accepted_at,
        ..ConnectionState::default()
    }
}

/// Creates an idle connection whose requests were answered by the front alone.
fn without_query(age_s: u64) -> ConnectionState {
    ConnectionState {
        received_request: true,
        ..without_request(age_s)
    }
}

/// Creates an idle connection between two queries.
fn between_queries(age_s: u64) -> ConnectionState {
    ConnectionState {
        submitted_query: true,
        ..without_query(age_s)
    }
}

fn are_closing(connections: &[Arc<Connection>]) -> Vec<bool> {
    connections
        .iter()
        .map(|c| c.lock().abort_requested || c.lock().http.is_draining())
        .collect()
}

#[test]
fn the_longest_idle_connections_are_evicted_beyond_the_idle_limit() {
    // Idle clients that sent one query must not use up the connections of all clients.
    let limits = ClientLimits {
        connections: 100,
        idle: 2,
        bytes: 1,
    };
    let mut busy = between_queries(50);
    busy.http
        .input()
        .extend(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(matches!(busy.http.next_request(), Some(Ok(_))));
    let states = vec![
        between_queries(9),
        busy,
        between_queries(3),
        between_queries(7),
        without_query(99),
    ];
    let (clients, connections) = clients(limits, states);
    clients.evict_excess_idle();
    assert_eq!(
        are_closing(&connections),
        [true, false, false, false, false]
    );
}

#[test]
fn connections_without_a_query_are_evicted_before_those_with_one() {
    // Clients that only request /up must not displace regular clients, which are idle for longer.
    let limits = ClientLimits {
        connections: 3,
        idle: 3,
        bytes: 1,
    };
    let states = vec![
        between_queries(50),
        without_query(5),
        without_request(4),
        without_request(0),
    ];
    let (clients, connections) = clients(limits, states);
    for expected in [
        [false, true, false, false],
        [false, true, true, false],
        [true, true, true, false],
    ] {
        assert!(clients.evict_one());
        assert_eq!(are_closing(&connections), expected);
    }
    assert!(!clients.evict_one(), "the last one was accepted just now");
}

#[test]
fn an_evicted_new_connection_is_answered_if_its_request_is_in_the_socket() {
    // A connection that is closed with unread input sends a reset in place of the response.
    let limits = ClientLimits {
        connections: 1,
        idle: 1,
        bytes: 1,
    };
    let (clients, connections) = clients(limits, vec![without_request(1)]);
    let (mut client, stream) = connect(&clients);
    send_request(&mut client, &stream);
    let stream = CoIo::new(stream).expect("a socket of the runtime");
    assert!(clients.evict_one());
    assert!(!clients.drive(&connections[0], &stream), "it closes");
    drop(stream);
    let mut head = [0; 12];
    client.read_exact(&mut head).expect("a response");
    assert_eq!(&head, b"HTTP/1.1 404");
}

/// Connects a client and returns both ends of its connection.
fn connect(clients: &ClientConnections) -> (TcpStream, TcpStream) {
    let address = clients.listener.inner().local_addr().expect("bound");
    let client = TcpStream::connect(address).expect("it listens");
    let stream = loop {
        match clients.listener.inner().accept() {
            Ok((stream, _)) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    (client, stream)
}

/// Sends a request and waits until it has arrived at the other end.
fn send_request(client: &mut TcpStream, stream: &TcpStream) {
    let request = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    client.write_all(request).expect("sent");
    stream.peek(&mut [0]).expect("the request has arrived");
}

/// Guards against responses after the client's time: a request that waits in the socket until its
/// new connection is first read counts from the accept.
#[test]
fn a_request_that_is_there_at_the_first_read_was_sent_at_the_accept() {
    let limits = ClientLimits {
        connections: 2,
        idle: 2,
        bytes: 1,
    };
    let front = NotFoundFront::default();
    let states = vec![without_request(1), without_request(1)];
    let (clients, connections) = clients_of(front.clone(), limits, states);
    let accepted_at = connections[0].lock().accepted_at;
    let (mut client, stream) = connect(&clients);
    send_request(&mut client, &stream);
    let stream = CoIo::new(stream).expect("a socket of the runtime");
    assert!(clients.drive(&connections[0], &stream));
    assert_eq!(*sync::lock(&front.sent_at), [accepted_at]);

    // The second client sends its request after the first read.
    let (mut client, stream) = connect(&clients);
    let other_end = stream.try_clone().expect("a handle");
    let stream = CoIo::new(stream).expect("a socket of the runtime");
    assert!(clients.drive(&connections[1], &stream));
    let waited_until = clients.clock.now();
    client
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("sent");
    while other_end.peek(&mut [0]).is_err() {}
    assert!(clients.drive(&connections[1], &stream));
    assert!(sync::lock(&front.sent_at)[1] >= waited_until);
}

/// Guards against a connection that empty lines, which are ignored before a request, keep open for
/// ever.
#[test]
fn empty_lines_do_not_keep_an_idle_connection() {
    let limits = ClientLimits {
        connections: 1,
        idle: 1,
        bytes: 1,
    };
    let (clients, connections) = clients(limits, vec![without_query(10)]);
    let idle_since = connections[0].lock().last_activity_at;
    let (mut client, stream) = connect(&clients);
    client.write_all(b"\r\n\r\n").expect("sent");
    stream.peek(&mut [0]).expect("it has arrived");
    let stream = CoIo::new(stream).expect("a socket of the runtime");
    assert!(clients.drive(&connections[0], &stream));
    assert_eq!(connections[0].lock().last_activity_at, idle_since);
    client.write_all(b"GET").expect("sent");
    while connections[0].lock().last_activity_at == idle_since {
        assert!(clients.drive(&connections[0], &stream), "a request begins");
    }
}
