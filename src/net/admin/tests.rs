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
fn an_address_in_use_is_an_error_that_names_it() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let in_use = listener.local_addr().expect("bound");
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
fn a_sixteenth_of_the_descriptors_is_reserved_within_bounds() {
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

/// The number of classes whose metrics no pair of socket buffers holds.
const MANY_CLASSES: usize = 60_000;

/// Starts an endpoint on a free port.
fn start_endpoint(endpoint: AdminEndpoint) -> SocketAddr {
    try_start(([127, 0, 0, 1], 0).into(), endpoint).expect("a port")
}

/// Guards against a dump that is cut off without its `END`.
#[test]
fn a_dump_larger_than_the_socket_buffers_arrives_whole() {
    let endpoint = AdminEndpoint {
        max_callers: 4,
        ..endpoint()
    };
    for class in 0..MANY_CLASSES {
        endpoint
            .metrics
            .class(&format!("a-class-with-a-long-name-{class:06}"));
    }
    let mut caller = TcpStream::connect(start_endpoint(endpoint)).expect("it listens");
    caller.write_all(b"DUMP\n").expect("sent");
    caller.shutdown(Shutdown::Write).expect("ended");
    // The caller reads late, so that the buffers are full.
    std::thread::sleep(Duration::from_millis(200));
    let mut text = String::new();
    caller.read_to_string(&mut text).expect("a reply");
    assert!(
        text.starts_with("YES\n") && text.ends_with("\nEND\n"),
        "{} bytes",
        text.len()
    );
    assert_eq!(text.matches(".ok=0\n").count(), MANY_CLASSES);
}

/// Guards against failures to accept that `accept_errors` does not count.
#[test]
fn a_failure_to_accept_counts_as_an_accept_error() {
    let before = COUNTERS.accept_errors.get();
    assert!(accept_result(Err(ErrorKind::OutOfMemory.into())).is_none());
    assert_eq!(COUNTERS.accept_errors.get() - before, 1);
    assert!(accept_result(Err(ErrorKind::WouldBlock.into())).is_none());
    assert_eq!(COUNTERS.accept_errors.get() - before, 1);
}
