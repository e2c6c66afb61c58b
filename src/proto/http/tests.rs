//! Tests of the server side of a connection, and of the reader of responses.

use super::*;

/// Returns the result of parsing these bytes on a server connection.
fn parse_request(bytes: &str) -> Option<Result<HttpRequest, HttpError>> {
    let mut server = ServerConnection::default();
    server.input().extend(bytes.as_bytes());
    server.next_request()
}

/// Returns the text that a server connection writes as the response to a request.
fn encode_response(request: &str, response: Response) -> String {
    let mut server = ServerConnection::default();
    server.input().extend(request.as_bytes());
    let request = server.next_request().expect("the request is complete");
    request.expect("the request is well formed");
    server.respond(response, false);
    let mut bytes = Vec::new();
    while !server.output().is_empty() {
        bytes.extend_from_slice(server.output());
        let count = server.output().len();
        server.advance_output(count);
    }
    String::from_utf8(bytes).expect("the response is text")
}

/// Guards against a `Content-Length` of 0 in a 304 response: the field must be the length of the body
/// that a 200 response would have (RFC 9110, section 8.6).
#[test]
fn response_with_status_304_has_no_content_length() {
    let text = encode_response(
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        Response::new(304, "", ""),
    );
    assert!(text.starts_with("HTTP/1.1 304 Not Modified\r\n"), "{text}");
    assert!(!text.contains("Content-Length"), "{text}");
    let text = encode_response(
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        Response::new(200, "", ""),
    );
    assert!(text.contains("Content-Length: 0\r\n"), "{text}");
}

/// Guards against the placeholder for an unlisted status in place of its reason phrase (RFC 9110,
/// section 15).
#[test]
fn status_line_has_the_reason_phrase_of_its_status() {
    for (status, phrase) in [(409, "Conflict"), (412, "Precondition Failed")] {
        let response = Response::new(status, "", "");
        let text = encode_response("GET / HTTP/1.1\r\nHost: x\r\n\r\n", response);
        assert!(
            text.starts_with(&format!("HTTP/1.1 {status} {phrase}\r\n")),
            "{text}"
        );
    }
}

/// Guards against accepting a request with no `Host` field or with several (RFC 9112, section 3.2).
#[test]
fn request_must_have_exactly_one_host_header() {
    let status = |text| parse_request(text).map(|request| request.map_err(HttpError::status).err());
    assert_eq!(status("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Some(None));
    assert_eq!(status("GET / HTTP/1.1\r\nHost:\r\n\r\n"), Some(None));
    assert_eq!(status("GET / HTTP/1.0\r\n\r\n"), Some(None));
    assert_eq!(status("GET / HTTP/1.1\r\n\r\n"), Some(Some(400)));
    let twice = "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n";
    assert_eq!(status(twice), Some(Some(400)));
}

/// Guards against an interim response to an HTTP/1.0 client, which cannot parse it (RFC 9110,
/// section 10.1.1).
#[test]
fn http_1_0_client_gets_no_interim_response() {
    let output = |version: &str| {
        let mut server = ServerConnection::default();
        let head = format!(
            "POST / HTTP/{version}\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        );
        server.input().extend(head.as_bytes());
        assert!(server.next_request().is_none());
        String::from_utf8(server.output().to_vec()).expect("the output is text")
    };
    assert_eq!(output("1.1"), "HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(output("1.0"), "");
}

/// Returns the error of parsing a response with these header fields, if there is one.
fn response_error(fields: &str) -> Option<HttpError> {
    let mut reader = ResponseReader::new(MAX_BODY_BYTES);
    let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n");
    reader.input.extend(head.as_bytes());
    reader.advance().err()
}

/// Guards against accepting a head that exceeds a limit but arrives in one read.
#[test]
fn response_head_that_exceeds_a_limit_is_rejected() {
    assert_eq!(response_error("Vary: x\r\n"), None);
    let long = format!("Vary: {}\r\n", "x".repeat(MAX_HEAD_BYTES));
    assert_eq!(response_error(&long), Some(HttpError::HeadTooLarge));
    let many = "Vary: x\r\n".repeat(MAX_HEADERS);
    assert_eq!(response_error(&many), Some(HttpError::HeadTooLarge));
}
