//! Tests of the admin endpoint.

use super::*;
use std::io::{Read, Write};

fn endpoint() -> AdminEndpoint {
    AdminEndpoint {
        metrics: Arc::new(Metrics::default()),
        health: Box::new(|| Ok(())),
        max_callers: 1,
    }
}

#[test]
fn an_address_in_use_is_an_error_that_contains_the_address() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let in_use = listener.local_addr().expect("the listener is bound");
    let error = start(in_use, endpoint()).expect_err("the address is in use");
    assert_eq!(
        (error.address, error.source.kind()),
        (in_use, ErrorKind::AddrInUse)
    );
    assert_eq!(
        error.to_string(),
        format!("cannot listen on {in_use}: {}", error.source)
    );
}

#[test]
fn a_sixteenth_of_the_descriptors_is_reserved_but_at_least_3_and_at_most_33() {
    assert_eq!(
        [1, 64, 256, 512, 10_000].map(reserved_descriptors),
        [3, 4, 16, 32, 33]
    );
}

#[test]
fn the_health_reply_gives_the_reason_of_a_failed_check() {
    assert_eq!(reply(AdminCommand::Health, &endpoint()), "YES\n");
    let failing = AdminEndpoint {
        health: Box::new(|| Err(Unhealthy::Draining)),
        ..endpoint()
    };
    assert_eq!(
        reply(AdminCommand::Health, &failing),
        "NO it is told to end\n"
    );
    assert_eq!(
        reply(AdminCommand::Unknown, &failing),
        "NO such call: HEALTH or DUMP\n"
    );
}

/// A number of classes whose metrics exceed the socket buffers of both ends.
const MANY_CLASSES: usize = 60_000;

/// Starts an endpoint on a free port.
fn start_endpoint(endpoint: AdminEndpoint) -> SocketAddr {
    try_start(([127, 0, 0, 1], 0).into(), endpoint).expect("a port is free")
}

/// Guards against a dump that is truncated before its `END`.
#[test]
fn a_dump_larger_than_the_socket_buffers_is_written_completely() {
    let endpoint = AdminEndpoint {
        max_callers: 4,
        ..endpoint()
    };
    for class in 0..MANY_CLASSES {
        endpoint
            .metrics
            .class(&format!("a-class-with-a-long-name-{class:06}"));
    }
    let mut caller = TcpStream::connect(start_endpoint(endpoint)).expect("the endpoint listens");
    caller.write_all(b"DUMP\n").expect("the command is sent");
    caller
        .shutdown(Shutdown::Write)
        .expect("the sending side is shut down");
    // The caller reads late, so that the socket buffers fill up.
    std::thread::sleep(Duration::from_millis(200));
    let mut text = String::new();
    caller
        .read_to_string(&mut text)
        .expect("the reply is received");
    assert!(
        text.starts_with("YES\n") && text.ends_with("\nEND\n"),
        "{} bytes",
        text.len()
    );
    assert_eq!(text.matches(".ok=0\n").count(), MANY_CLASSES);
}

/// Guards against failures to accept a connection that the counter `accept_errors` misses.
#[test]
fn a_failure_to_accept_is_counted_as_an_accept_error() {
    let before = COUNTERS.accept_errors.get();
    assert!(accept_result(Err(ErrorKind::OutOfMemory.into())).is_none());
    assert_eq!(COUNTERS.accept_errors.get() - before, 1);
    assert!(accept_result(Err(ErrorKind::WouldBlock.into())).is_none());
    assert_eq!(COUNTERS.accept_errors.get() - before, 1);
}
