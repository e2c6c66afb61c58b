//! Client and admin connections that receive random bytes in portions of random lengths. The seeds
//! are fixed, so that each run has the same result.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quinceflow::proto::admin::{AdminCommand, AdminConnection};
use quinceflow::proto::http::{Response, ServerConnection};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    }
}

/// Returns the bytes of requests with these bodies; a body whose flag is set is in chunks of 7
/// bytes.
fn request_bytes(bodies: &[(Vec<u8>, bool)]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (body, chunked) in bodies {
        if !chunked {
            let length = body.len();
            bytes.extend(
                format!("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n")
                    .bytes(),
            );
            bytes.extend_from_slice(body);
            continue;
        }
        bytes.extend_from_slice(
            b"POST /api HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        for chunk in body.chunks(7) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
    bytes
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_admin_command_is_parsed_from_its_first_line_whatever_portions_arrive(
        line in prop_oneof![Just("HEALTH".to_owned()), Just("DUMP".to_owned()), "[ -~]{0,300}"],
        end in prop_oneof![Just("\n"), Just("\r\n"), Just("")],
        portion_lengths in vec(1usize..90, 1..20),
    ) {
        let bytes = format!("{line}{end}");
        let mut connection = AdminConnection::default();
        let mut rest = bytes.as_bytes();
        let mut portion_lengths = portion_lengths.into_iter().cycle();
        let mut command = connection.command(false);
        while command.is_none() && !rest.is_empty() {
            let (portion, remaining) = rest.split_at(portion_lengths.next().unwrap_or(1).min(rest.len()));
            connection.input.extend(portion);
            rest = remaining;
            command = connection.command(false);
        }
        prop_assert!(command.is_some() || end.is_empty(), "a complete line is a command");
        let expected = match line.trim() {
            "HEALTH" => Some(AdminCommand::Health),
            "DUMP" => Some(AdminCommand::Dump),
            _ => Some(AdminCommand::Unknown),
        };
        prop_assert_eq!(command.or(connection.command(true)), expected.filter(|_| !bytes.is_empty()));
    }

    #[test]
    fn requests_are_parsed_completely_and_one_at_a_time_whatever_portions_arrive(
        bodies in vec((vec(any::<u8>(), 0..200), any::<bool>()), 1..5),
        portion_lengths in vec(1usize..120, 1..60),
        write_lengths in vec(1usize..150, 1..60),
    ) {
        let bytes = request_bytes(&bodies);
        let mut connection = ServerConnection::default();
        let mut received = Vec::new();
        let mut output = Vec::new();
        let mut portion_lengths = portion_lengths.into_iter().cycle();
        let mut write_lengths = write_lengths.into_iter().cycle();
        let mut rest = &bytes[..];
        loop {
            let n = portion_lengths.next().unwrap_or(1).min(rest.len());
            connection.input().extend(&rest[..n]);
            rest = &rest[n..];
            if let Some(request) = connection.next_request() {
                received.push(request.expect("the request is well formed").body);
                prop_assert!(connection.next_request().is_none(), "the next request is not parsed before the response");
                prop_assert!(connection.awaits_response() && !connection.is_idle() && !connection.is_finished());
                connection.respond(Response::new(200, "text/plain", received.len().to_string()), received.len() == bodies.len());
            }
            let n = write_lengths.next().unwrap_or(1).min(connection.output().len());
            output.extend_from_slice(&connection.output()[..n]);
            connection.advance_output(n);
            if connection.is_finished() {
                break;
            }
        }
        let sent: Vec<_> = bodies.into_iter().map(|(body, _)| body).collect();
        prop_assert_eq!(&received, &sent);
        let output = String::from_utf8(output).expect("the output is text");
        prop_assert_eq!(output.matches("HTTP/1.1 200 OK").count(), sent.len());
        prop_assert_eq!(output.matches("Connection: close").count(), 1);
    }

    #[test]
    fn arbitrary_input_causes_no_panic_and_no_unbounded_buffer(chunks in vec(vec(any::<u8>(), 0..400), 0..20), text in "[ -~\r\n]{0,600}") {
        let mut connection = ServerConnection::default();
        for chunk in chunks.iter().map(Vec::as_slice).chain([text.as_bytes()]) {
            connection.input().extend(chunk);
            if let Some(Err(error)) = connection.next_request() {
                prop_assert!((400..=501).contains(&error.status()));
                connection.respond(Response::new(error.status(), "", ""), true);
                connection.advance_output(connection.output().len());
                prop_assert!(connection.is_finished());
            }
        }
        connection.on_end_of_stream();
        let _ = connection.next_request();
        prop_assert!(connection.awaits_response() || connection.input().capacity() < 128 * 1024);
    }
}

#[test]
fn bytes_after_a_request_are_read_and_do_not_prevent_its_response() {
    // The connection keeps reading from a client that sends more than 80 KB after its request,
    // since only a read shows that the client has disconnected.
    let mut connection = ServerConnection::default();
    connection
        .input()
        .extend(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(matches!(connection.next_request(), Some(Ok(_))) && connection.awaits_response());
    let mut max_memory = 0;
    for _ in 0..12 {
        assert!(
            connection.accepts_input() || connection.discard_excess() > 0,
            "the excess bytes are discarded, and reading continues"
        );
        connection.input().extend(&[b'x'; 20_000]);
        max_memory = max_memory.max(connection.memory());
    }
    assert!(max_memory < 400_000, "{max_memory} bytes");
    connection.respond(Response::new(200, "", "ok"), false);
    assert!(
        connection
            .output()
            .starts_with(b"HTTP/1.1 200 OK\r\nConnection: close\r\n"),
        "the bytes after the request are not parsed"
    );
    assert!(connection.next_request().is_none());
    connection.advance_output(connection.output().len());
    assert!(
        connection.is_finished() && connection.needs_lingering_close(),
        "a close with unread bytes would send a reset"
    );
    for _ in 0..200 {
        connection.input().extend(&[b'x'; 20_000]);
        assert_eq!(
            connection.discard_excess(),
            0,
            "nothing is discarded after the response"
        );
        connection.input().consume(20_000);
    }
}

/// Returns the status of the error that a request gets, if any. Asserts that the error is not
/// reported again for the same bytes.
fn error_status(text: &str) -> Option<u16> {
    let mut connection = ServerConnection::default();
    connection.input().extend(text.as_bytes());
    let first = connection.next_request();
    connection.on_end_of_stream();
    let error = first
        .or_else(|| connection.next_request())
        .and_then(Result::err)?;
    assert!(connection.next_request().is_none());
    connection.respond(Response::new(error.status(), "", ""), true);
    assert!(connection.next_request().is_none());
    Some(error.status())
}

/// Requests whose heads or bodies are malformed, too long, or in an unknown coding, and the status
/// of their error.
const MALFORMED_REQUESTS: [(&str, u16); 9] = [
    ("\0\0\0", 400),
    (
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        400,
    ),
    (
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        400,
    ),
    (
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\n",
        400,
    ),
    (
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n",
        413,
    ),
    (
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
        413,
    ),
    (
        "GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n",
        501,
    ),
    (
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabc",
        400,
    ),
    ("GET / HT", 400),
];

#[test]
fn malformed_requests_get_the_status_of_their_error() {
    for (text, status) in MALFORMED_REQUESTS {
        assert_eq!(error_status(text), Some(status), "{text:?}");
    }
    assert_eq!(error_status(""), None);

    let long_header = format!(
        "GET / HTTP/1.1\r\nHost: x\r\nX: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    assert_eq!(error_status(&long_header), Some(431));
    let many_headers = format!(
        "GET / HTTP/1.1\r\nHost: x\r\n{}\r\n",
        "X: y\r\n".repeat(100)
    );
    assert_eq!(error_status(&many_headers), Some(431));
    let unterminated_chunk = format!(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n{}",
        "x".repeat(300)
    );
    assert_eq!(error_status(&unterminated_chunk), Some(400));
}

#[test]
fn a_request_received_before_the_close_of_an_idle_connection_is_answered() {
    // The request arrives at the same time as the decision to close the idle connection.
    let mut connection = ServerConnection::default();
    connection.close_when_idle();
    connection
        .input()
        .extend(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(matches!(connection.next_request(), Some(Ok(_))));
    assert!(!connection.is_finished());
    connection.respond(Response::new(200, "", ""), false);
    assert!(String::from_utf8_lossy(connection.output()).contains("Connection: close"));
}
