use super::*;

#[test]
fn a_response_without_a_length_ends_with_its_connection_and_not_with_a_reset() {
    for (reset, head) in
        [(false, ""), (true, ""), (false, "Content-Length: 9\r\n"), (true, "Content-Length: 9\r\n")]
    {
        let mut fetch = Fetch::new(b"GET / HTTP/1.1\r\n\r\n".to_vec(), 100);
        fetch.record_written(18);
        fetch.reader.input.feed(format!("HTTP/1.1 200 OK\r\n{head}\r\n{{}}").as_bytes());
        assert!(matches!(fetch.advance(), Progress::Pending));
        let whole =
            matches!(if reset { fetch.on_broken() } else { fetch.on_end_of_stream() }, Progress::Complete(_));
        assert_eq!(whole, !reset && head.is_empty());
    }
}
