//! Tests of conditional requests and compression.

use super::*;
use std::io::Read;

fn options(head: &str) -> DeliveryOptions {
    options_of("GET", head)
}

fn options_of(method: &str, head: &str) -> DeliveryOptions {
    let mut server = crate::proto::http::ServerConnection::default();
    server
        .input()
        .extend(format!("{method} / HTTP/1.1\r\nHost: x\r\n{head}\r\n").as_bytes());
    DeliveryOptions::from_request(
        &server
            .next_request()
            .expect("the request is complete")
            .expect("the request is valid"),
    )
}

/// Returns the response to a `GET` request with these header lines: a text of 3,500 bytes, unless
/// the options replace it.
fn delivered(header_lines: &str, status: u16) -> Response {
    options(header_lines).apply_to_response(Response::new(status, "text/plain", text().as_str()))
}

fn text() -> String {
    "device ".repeat(500)
}

fn decompress(body: &Body) -> String {
    let bytes = body.to_vec();
    let mut decompressed = String::new();
    flate2::read::GzDecoder::new(bytes.as_slice())
        .read_to_string(&mut decompressed)
        .expect("the body is gzip");
    decompressed
}

#[test]
fn unchanged_bodies_are_not_sent_and_large_bodies_are_compressed() {
    let plain = delivered("", 200);
    let tag = plain
        .header("ETag")
        .expect("the response has an entity tag");
    assert_eq!(plain.body.len(), text().len());
    assert_eq!(plain.header("Content-Encoding"), None);

    let compressed = delivered("Accept-Encoding: br, gzip;q=0.5\r\n", 200);
    assert_eq!(decompress(&compressed.body), text());
    assert_eq!(compressed.header("ETag"), Some(tag));

    for etag in [tag, &format!("\"x\", {}", &tag[2..]), "*"] {
        let not_modified = delivered(&format!("If-None-Match: {etag}\r\n"), 200);
        assert_eq!(not_modified.status, 304, "{etag}");
        assert_eq!(not_modified.body.len(), 0, "{etag}");
        assert_eq!(not_modified.header("ETag"), Some(tag));
    }

    let other = delivered("If-None-Match: \"x\"\r\nAccept-Encoding: gzip;q=0\r\n", 200);
    assert_eq!(other.status, 200);
    assert_eq!(other.header("Content-Encoding"), None);

    let error = delivered("Accept-Encoding: gzip\r\n", 503);
    assert_eq!(error.body.len(), text().len());
    assert_eq!(error.header("ETag"), None);
}

/// Guards against the use of gzip although the client excluded it: `*` matches only codings that
/// are not listed (RFC 9110, section 12.5.3).
#[test]
fn an_excluded_coding_is_not_used() {
    let excluded = [
        "gzip;q=0, *",
        "*, gzip;q=0",
        "x-gzip; q=0.0, *;q=1",
        "GZIP;Q=0, *",
        "*;q=0",
    ];
    for accepted in excluded {
        let response = delivered(&format!("Accept-Encoding: {accepted}\r\n"), 200);
        assert_eq!(response.header("Content-Encoding"), None, "{accepted}");
    }
    for accepted in ["*", "gzip, *;q=0", "x-gzip", "br;q=0, *;q=0.1", "GZIP"] {
        let response = delivered(&format!("Accept-Encoding: {accepted}\r\n"), 200);
        assert_eq!(
            response.header("Content-Encoding"),
            Some("gzip"),
            "{accepted}"
        );
    }
}

/// Guards against the status 304 for a method other than GET and HEAD: if the entity tag matches,
/// the status for other methods is 412 (RFC 9110, section 13.1.2).
#[test]
fn a_matching_entity_tag_results_in_304_for_get_and_head_only() {
    let response = || Response::new(200, "text/plain", text().as_str());
    let tag = delivered("", 200)
        .header("ETag")
        .expect("the response has an entity tag")
        .to_owned();
    let status = |method| {
        let options = options_of(method, &format!("If-None-Match: {tag}\r\n"));
        options.apply_to_response(response()).status
    };
    assert_eq!(["GET", "HEAD", "POST"].map(status), [304, 304, 412]);
    let other = options_of("POST", "If-None-Match: \"x\"\r\n");
    assert_eq!(other.apply_to_response(response()).status, 200);
}
