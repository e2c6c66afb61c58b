//! Tests of conditional requests and compression.

use super::*;
use std::io::Read;

fn options(head: &str) -> DeliveryOptions {
    let mut server = crate::proto::http::ServerConnection::default();
    server
        .input()
        .extend(format!("GET / HTTP/1.1\r\n{head}\r\n").as_bytes());
    DeliveryOptions::of(
        &server
            .next_request()
            .expect("complete")
            .expect("well formed"),
    )
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response
        .headers
        .iter()
        .find(|h| h.0 == name)
        .map(|h| h.1.as_str())
}

#[test]
fn current_versions_are_not_sent_and_large_bodies_are_compressed() {
    let text = "device ".repeat(500);
    let plain = options("").deliver(Response::new(200, "text/plain", text.as_str()));
    let tag = header(&plain, "ETag").expect("a tag").to_owned();
    assert_eq!(
        (plain.body.len(), header(&plain, "Content-Encoding")),
        (text.len(), None)
    );
    let compressed = options("Accept-Encoding: br, gzip;q=0.5\r\n").deliver(Response::new(
        200,
        "text/plain",
        text.as_str(),
    ));
    let mut decompressed = String::new();
    flate2::read::GzDecoder::new(compressed.body.to_vec().as_slice())
        .read_to_string(&mut decompressed)
        .expect("gzip");
    assert_eq!(
        (decompressed.as_str(), header(&compressed, "ETag")),
        (text.as_str(), Some(tag.as_str()))
    );
    for etag in [tag.clone(), format!("\"x\", {}", &tag[2..]), "*".to_owned()] {
        let known = options(&format!("If-None-Match: {etag}\r\n")).deliver(Response::new(
            200,
            "text/plain",
            text.as_str(),
        ));
        assert_eq!(
            (known.status, known.body.len(), header(&known, "ETag")),
            (304, 0, Some(tag.as_str()))
        );
    }
    let other = options("If-None-Match: \"x\"\r\nAccept-Encoding: gzip;q=0\r\n")
        .deliver(Response::new(200, "", text.as_str()));
    assert_eq!(
        (other.status, header(&other, "Content-Encoding")),
        (200, None)
    );
    let error = options("Accept-Encoding: gzip\r\n").deliver(Response::new(503, "", text.as_str()));
    assert_eq!(
        (error.body.len(), header(&error, "ETag")),
        (text.len(), None)
    );
}
