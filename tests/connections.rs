//! Connections from clients and operators, against random bytes and cuts. Fixed seeds: the same
//! verdict each time.

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

/// Returns the text of requests with these bodies, each in chunks of 7 bytes if its flag is set.
fn requests_text(bodies: &[(Vec<u8>, bool)]) -> Vec<u8> {
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
    fn an_operators_call_is_known_by_its_first_line_however_it_is_cut(
        line in prop_oneof![Just("HEALTH".to_owned()), Just("DUMP".to_owned()), "[ -~]{0,300}"],
        end in prop_oneof![Just("\n"), Just("\r\n"), Just("")],
        cuts in vec(1usize..90, 1..20),
    ) {
        let bytes = format!("{line}{end}");
        let mut caller = AdminConnection::default();
        let mut rest = bytes.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        let mut call = caller.command(false);
        while call.is_none() && !rest.is_empty() {
            let (now, later) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            caller.input.extend(now);
            rest = later;
            call = caller.command(false);
        }
        prop_assert!(call.is_some() || end.is_empty(), "a whole line is a call");
        let known = match line.trim() {
            "HEALTH" => Some(AdminCommand::Health),
            "DUMP" => Some(AdminCommand::Dump),
            _ => Some(AdminCommand::Unknown),
        };
        prop_assert_eq!(call.or(caller.command(true)), known.filter(|_| !bytes.is_empty()));
    }

    #[test]
    fn requests_come_out_whole_one_at_a_time_however_they_are_cut(
        bodies in vec((vec(any::<u8>(), 0..200), any::<bool>()), 1..5),
        cuts in vec(1usize..120, 1..60),
        writes in vec(1usize..150, 1..60),
    ) {
        let bytes = requests_text(&bodies);
        let mut server = ServerConnection::default();
        let mut got = Vec::new();
        let mut out = Vec::new();
        let mut cuts = cuts.into_iter().cycle();
        let mut writes = writes.into_iter().cycle();
        let mut rest = &bytes[..];
        loop {
            let n = cuts.next().unwrap_or(1).min(rest.len());
            server.input().extend(&rest[..n]);
            rest = &rest[n..];
            if let Some(request) = server.next_request() {
                got.push(request.expect("well formed").body);
                prop_assert!(server.next_request().is_none(), "the next one waits for the answer");
                prop_assert!(server.awaits_response() && !server.is_idle() && !server.is_finished());
                server.respond(Response::new(200, "text/plain", got.len().to_string()), got.len() == bodies.len());
            }
            let n = writes.next().unwrap_or(1).min(server.output().len());
            out.extend_from_slice(&server.output()[..n]);
            server.advance_output(n);
            if server.is_finished() {
                break;
            }
        }
        let sent: Vec<_> = bodies.into_iter().map(|(body, _)| body).collect();
        prop_assert_eq!(&got, &sent);
        let out = String::from_utf8(out).expect("text");
        prop_assert_eq!(out.matches("HTTP/1.1 200 OK").count(), sent.len());
        prop_assert_eq!(out.matches("Connection: close").count(), 1);
    }

    #[test]
    fn no_bytes_make_a_connection_panic_or_grow_without_end(chunks in vec(vec(any::<u8>(), 0..400), 0..20), text in "[ -~\r\n]{0,600}") {
        let mut server = ServerConnection::default();
        for chunk in chunks.iter().map(Vec::as_slice).chain([text.as_bytes()]) {
            server.input().extend(chunk);
            if let Some(Err(error)) = server.next_request() {
                prop_assert!((400..=501).contains(&error.status()));
                server.respond(Response::new(error.status(), "", ""), true);
                server.advance_output(server.output().len());
                prop_assert!(server.is_finished());
            }
        }
        server.on_end_of_stream();
        let _ = server.next_request();
        prop_assert!(server.awaits_response() || server.input().capacity() < 128 * 1024);
    }
}

#[test]
fn what_comes_behind_a_request_never_stops_the_reading_of_it_and_costs_it_no_answer() {
    // A client that sends more than 80 KB behind its request is read on, so that its close is seen.
    let mut server = ServerConnection::default();
    server
        .input()
        .extend(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(matches!(server.next_request(), Some(Ok(_))) && server.awaits_response());
    let mut kept = 0;
    for _ in 0..12 {
        assert!(
            server.accepts_input() || server.discard_excess() > 0,
            "what is here is dropped, and reading goes on"
        );
        server.input().extend(&[b'x'; 20_000]);
        kept = kept.max(server.memory());
    }
    assert!(kept < 400_000, "{kept} bytes");
    server.respond(Response::new(200, "", "ok"), false);
    assert!(
        server
            .output()
            .starts_with(b"HTTP/1.1 200 OK\r\nConnection: close\r\n"),
        "the rest is not looked at"
    );
    assert!(server.next_request().is_none());
    server.advance_output(server.output().len());
    assert!(
        server.is_finished() && server.needs_lingering_close(),
        "a close on unread bytes is a reset"
    );
    for _ in 0..200 {
        server.input().extend(&[b'x'; 20_000]);
        assert_eq!(server.discard_excess(), 0, "nobody is waited for any more");
        server.input().consume(20_000);
    }
}

/// Returns the status of the error that a request gets, if any. An error is reported once, and not
/// again for the same bytes.
fn error_status(text: &str) -> Option<u16> {
    let mut server = ServerConnection::default();
    server.input().extend(text.as_bytes());
    let first = server.next_request();
    server.on_end_of_stream();
    let error = first
        .or_else(|| server.next_request())
        .and_then(Result::err)?;
    assert!(server.next_request().is_none());
    server.respond(Response::new(error.status(), "", ""), true);
    assert!(server.next_request().is_none());
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
fn what_is_malformed_gets_a_fitting_status() {
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
    let unended_chunk = format!(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n{}",
        "x".repeat(300)
    );
    assert_eq!(error_status(&unended_chunk), Some(400));
}

#[test]
fn an_idle_connection_told_to_close_still_takes_the_request_that_is_here() {
    // The request and the decision to close cross: the request is read and answered.
    let mut server = ServerConnection::default();
    server.close_when_idle();
    server
        .input()
        .extend(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(matches!(server.next_request(), Some(Ok(_))));
    assert!(!server.is_finished());
    server.respond(Response::new(200, "", ""), false);
    assert!(String::from_utf8_lossy(server.output()).contains("Connection: close"));
}
