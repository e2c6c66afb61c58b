//! Tests of responses without a `Content-Length`.

use super::*;

#[test]
fn response_without_length_is_completed_by_an_orderly_close_but_not_by_a_reset() {
    const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
    for (reset, length_header) in [
        (false, ""),
        (true, ""),
        (false, "Content-Length: 9\r\n"),
        (true, "Content-Length: 9\r\n"),
    ] {
        let mut fetch = Fetch::new(REQUEST.to_vec(), 100);
        fetch.record_written(REQUEST.len());
        fetch
            .reader
            .input
            .extend(format!("HTTP/1.1 200 OK\r\n{length_header}\r\n{{}}").as_bytes());
        assert!(fetch.advance().is_pending());
        let progress = if reset {
            fetch.on_connection_failed()
        } else {
            fetch.on_end_of_stream()
        };
        let complete = matches!(progress, Progress::Complete(_));
        assert_eq!(complete, !reset && length_header.is_empty());
    }
}
