//! Tests of client connections: evictions, the times of requests, and empty lines.

use super::*;
use crate::front::Reaction;
use crate::proto::http::{HttpRequest, Response};
use may::sync::mpsc::channel;
use std::io::{Read, Write};
use std::net::TcpStream;

/// A front that answers each request with status 404 and records when it was sent.
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
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let listener =
        Arc::new(PolledSocket::new(listener).expect("the runtime can poll the listener"));
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

/// Returns for each connection whether it is closing.
fn closing_flags(connections: &[Arc<Connection>]) -> Vec<bool> {
    connections
        .iter()
        .map(|c| c.lock().abort_requested || c.lock().http.is_draining())
        .collect()
}

#[test]
fn the_longest_idle_connections_that_exceed_the_idle_limit_are_evicted() {
    // Idle clients that sent one query must not use up all connections.
    let limits = ClientLimits {
        connections: 100,
        idle: 2,
        bytes: 1,
        payload_bytes: usize::MAX,
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
        closing_flags(&connections),
        [true, false, false, false, false]
    );
}

#[test]
fn connections_without_a_query_are_evicted_before_those_with_one() {
    // Clients that only request /up must not displace regular clients, which are idle for a longer
    // time.
    let limits = ClientLimits {
        connections: 3,
        idle: 3,
        bytes: 1,
        payload_bytes: usize::MAX,
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
        assert_eq!(closing_flags(&connections), expected);
    }
    assert!(
        !clients.evict_one(),
        "a connection that was just accepted is not evicted"
    );
}

#[test]
fn a_first_request_in_the_socket_is_answered_after_the_eviction_of_its_connection() {
    // Closing a connection with unread input would send a reset instead of the response.
    let limits = ClientLimits {
        connections: 1,
        idle: 1,
        bytes: 1,
        payload_bytes: usize::MAX,
    };
    let (clients, connections) = clients(limits, vec![without_request(1)]);
    let (mut client, stream) = connect(&clients);
    send_request(&mut client, &stream);
    stream
        .set_nonblocking(true)
        .expect("the socket can be non-blocking");
    assert!(clients.evict_one());
    assert!(
        !clients.drive(&connections[0], &stream),
        "the connection closes"
    );
    drop(stream);
    let mut head = [0; 12];
    client
        .read_exact(&mut head)
        .expect("the response is received");
    assert_eq!(&head, b"HTTP/1.1 404");
}

/// Connects a client and returns both ends of its connection.
fn connect(clients: &ClientConnections) -> (TcpStream, TcpStream) {
    let address = clients
        .listener
        .socket()
        .local_addr()
        .expect("the listener is bound");
    let client = TcpStream::connect(address).expect("the connection is established");
    let stream = loop {
        match clients.listener.socket().accept() {
            Ok((stream, _)) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    (client, stream)
}

/// Sends a request and waits until it has arrived at the other end.
fn send_request(client: &mut TcpStream, stream: &TcpStream) {
    let request = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    client.write_all(request).expect("the request is sent");
    stream.peek(&mut [0]).expect("the request arrives");
}

/// Guards against responses after the client's timeout: a request may be in the socket for some
/// time before the first read of a new connection, so its time counts from the accept.
#[test]
fn the_time_of_a_request_counts_from_the_accept_if_the_first_read_returns_it() {
    let limits = ClientLimits {
        connections: 2,
        idle: 2,
        bytes: 1,
        payload_bytes: usize::MAX,
    };
    let front = NotFoundFront::default();
    let states = vec![without_request(1), without_request(1)];
    let (clients, connections) = clients_of(front.clone(), limits, states);
    let accepted_at = connections[0].lock().accepted_at;
    let (mut client, stream) = connect(&clients);
    send_request(&mut client, &stream);
    stream
        .set_nonblocking(true)
        .expect("the socket can be non-blocking");
    assert!(clients.drive(&connections[0], &stream));
    assert_eq!(*sync::lock(&front.sent_at), [accepted_at]);

    // The second client sends its request after the first read.
    let (mut client, stream) = connect(&clients);
    let server_end = stream.try_clone().expect("the socket is duplicated");
    stream
        .set_nonblocking(true)
        .expect("the socket can be non-blocking");
    assert!(clients.drive(&connections[1], &stream));
    let first_read_by = clients.clock.now();
    client
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the request is sent");
    while server_end.peek(&mut [0]).is_err() {}
    assert!(clients.drive(&connections[1], &stream));
    assert!(sync::lock(&front.sent_at)[1] >= first_read_by);
}

/// Guards against a client that keeps an idle connection open forever by sending empty lines, which
/// are ignored before a request.
#[test]
fn empty_lines_do_not_keep_an_idle_connection_open() {
    let limits = ClientLimits {
        connections: 1,
        idle: 1,
        bytes: 1,
        payload_bytes: usize::MAX,
    };
    let (clients, connections) = clients(limits, vec![without_query(10)]);
    let idle_since = connections[0].lock().last_activity_at;
    let (mut client, stream) = connect(&clients);
    client
        .write_all(b"\r\n\r\n")
        .expect("the empty lines are sent");
    stream.peek(&mut [0]).expect("the empty lines arrive");
    stream
        .set_nonblocking(true)
        .expect("the socket can be non-blocking");
    assert!(clients.drive(&connections[0], &stream));
    assert_eq!(connections[0].lock().last_activity_at, idle_since);
    client.write_all(b"GET").expect("the first bytes are sent");
    while connections[0].lock().last_activity_at == idle_since {
        assert!(
            clients.drive(&connections[0], &stream),
            "the connection stays open"
        );
    }
}

/// Guards against a request that lies unread in silence since its connection is not polled.
#[test]
fn input_that_no_event_announced_is_found_by_the_second_check() {
    let limits = ClientLimits {
        connections: 1,
        idle: 1,
        bytes: 1,
        payload_bytes: usize::MAX,
    };
    let (clients, connections) = clients(limits, vec![without_query(10)]);
    let (mut client, stream) = connect(&clients);
    stream
        .set_nonblocking(true)
        .expect("the socket can be non-blocking");
    let duplicate = stream.try_clone().expect("the socket is duplicated");
    connections[0].lock().socket = Some(Arc::new(duplicate));
    assert!(!connections[0].lock().has_missed_input());
    client
        .write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("the request is sent");
    while stream.peek(&mut [0]).is_err() {}
    assert!(!connections[0].lock().has_missed_input());
    assert!(connections[0].lock().has_missed_input());

    assert!(clients.drive(&connections[0], &stream));
    assert!(!connections[0].lock().has_missed_input());
    assert!(!connections[0].lock().has_missed_input());
}
