//! Tests of the client connections.

use super::*;
use crate::proto::http::{HttpRequest, Response};
use may::sync::mpsc::channel;

struct Nothing;

impl Front for Nothing {
    fn handle(&self, _: HttpRequest, _: Token, _: Micros, _: bool) -> Reaction {
        Reaction::Respond(Response::new(404, "", ""))
    }
    fn malformed_response(&self, error: HttpError) -> Response {
        Response::new(error.status(), "", "")
    }
}

/// Connections without sockets, each as old as it says.
fn clients(
    bounds: ClientLimits,
    conns: Vec<ConnectionState>,
) -> (Arc<ClientConnections>, Vec<Arc<Connection>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listener = Arc::new(CoIo::new(listener).expect("waited on"));
    let clients = ClientConnections::new(Box::new(Nothing), listener, bounds, channel().0, Clock::start());
    let conns: Vec<_> = conns.into_iter().map(|c| Arc::new(Connection { state: Mutex::new(c) })).collect();
    guard(&clients.connections).extend((0..).zip(conns.iter().cloned()));
    (clients, conns)
}

fn conn(age_s: u64, asked: bool, queried: bool) -> ConnectionState {
    let accepted = Clock::start().now() - Micros::from_secs(age_s);
    ConnectionState {
        accepted_at: accepted,
        last_activity_at: accepted,
        received_request: asked,
        submitted_query: queried,
        ..ConnectionState::default()
    }
}

fn ending(conns: &[Arc<Connection>]) -> Vec<bool> {
    conns.iter().map(|c| c.lock().abort_requested || c.lock().server.winding_up()).collect()
}

#[test]
fn the_longest_idle_end_so_that_new_clients_find_a_place() {
    // ClientConnections that asked once kept all the places that the platform grants to clients, for two minutes.
    let bounds = ClientLimits { connections: 100, idle: 2, bytes: 1 };
    let mut busy = conn(50, true, true);
    busy.server.input().feed(b"GET / HTTP/1.1\r\n\r\n");
    assert!(matches!(busy.server.poll(), Some(Ok(_))));
    let states =
        vec![conn(9, true, true), busy, conn(3, true, true), conn(7, true, true), conn(99, true, false)];
    let (clients, conns) = clients(bounds, states);
    clients.evict_excess_idle();
    assert_eq!(ending(&conns), [true, false, false, false, false]);
}

#[test]
fn who_brought_no_query_gives_way_before_who_did() {
    // A crowd that asked for /up and stayed had the usual clients' connections closed, which were idle for longer.
    let bounds = ClientLimits { connections: 3, idle: 3, bytes: 1 };
    let states =
        vec![conn(50, true, true), conn(5, true, false), conn(4, false, false), conn(0, false, false)];
    let (clients, conns) = clients(bounds, states);
    for expected in [[false, true, false, false], [false, true, true, false], [true, true, true, false]] {
        assert!(clients.evict_one());
        assert_eq!(ending(&conns), expected);
    }
    assert!(!clients.evict_one(), "the last one has only just come");
}

#[test]
fn a_new_connection_that_gives_way_is_answered_if_its_request_is_here() {
    // It was closed unread, so the client had a reset for an answer.
    let (clients, conns) =
        clients(ClientLimits { connections: 1, idle: 1, bytes: 1 }, vec![conn(1, false, false)]);
    let mut client =
        TcpStream::connect(clients.listener.inner().local_addr().expect("bound")).expect("it listens");
    std::io::Write::write_all(&mut client, b"GET /up HTTP/1.1\r\n\r\n").expect("sent");
    let stream = loop {
        match clients.listener.inner().accept() {
            Ok((stream, _)) => break stream,
            Err(_) => std::thread::yield_now(),
        }
    };
    stream.peek(&mut [0]).expect("it is here");
    let stream = CoIo::new(stream).expect("waited on");
    assert!(clients.evict_one());
    assert!(!clients.drive(&conns[0], &stream), "it gives way");
    drop(stream);
    let mut head = [0; 12];
    std::io::Read::read_exact(&mut client, &mut head).expect("an answer");
    assert_eq!(&head, b"HTTP/1.1 404");
}

#[test]
fn bounds_follow_the_limits_however_small() {
    // Half of the descriptors or more went to clients, but with 256 nothing was left for a crowd beside the usual.
    let of = |sockets, mb: usize| ClientLimits::new(sockets, mb * 1024 * 1024);
    for (sockets, mb) in [(256, 32), (384, 48), (1024, 192)] {
        let bounds = of(sockets, mb);
        assert!(bounds.connections > sockets / 2 && bounds.connections + sockets / 4 < sockets);
        // The usual clients may hold a third of the descriptors: there is always room for new ones among them.
        assert!(bounds.idle > 0 && bounds.idle < sockets / 3 - sockets / 8);
        assert!(bounds.bytes >= 5 * 1024 * 1024 && bounds.bytes < mb * 1024 * 1024 / 2);
    }
    assert_eq!(of(40, 0), ClientLimits { connections: 24, idle: 6, bytes: 1024 * 1024 });
    assert_eq!(of(1, 32).shared(2).connections, 1);
    // Two processes of an upgrade keep the limits of one, and the old one's idle clients are not cut for it.
    let (whole, half) = (of(384, 48), of(384, 48).halved());
    assert!(half.connections * 2 <= whole.connections && half.bytes * 2 <= whole.bytes);
    assert_eq!(half.idle, whole.idle);
}
