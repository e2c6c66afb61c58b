//! Tests of the queue of owned and shared bytes.

use super::*;

#[test]
fn segments_are_written_in_order_with_any_write_size() {
    let shared: SharedBytes = Arc::new(vec![b'h'; 5_000]);
    for step in [1, 7, 512, 100_000] {
        let mut body = Body::default();
        body.push(b"head ");
        let mut rest = Body::from("own ");
        rest.push_shared(shared.clone(), 10..2_010);
        rest.push(b"");
        rest.push(b" tail");
        rest.push_shared(shared.clone(), 0..3);
        rest.push_shared(shared.clone(), 4_999..9_999);
        body.append(rest);
        let expected = [b"head own ".as_slice(), &[b'h'; 2_000], b" tailhhh"].concat();
        assert_eq!(
            (body.len(), body.to_vec()),
            (expected.len(), expected.clone())
        );
        let mut written = Vec::new();
        while !body.is_empty() {
            let count = body.front().len().min(step);
            assert!(count > 0);
            written.extend_from_slice(&body.front()[..count]);
            body.advance(count);
            assert_eq!(body.segments().map(<[u8]>::len).sum::<usize>(), body.len());
        }
        assert_eq!(written, expected);
        assert!(body.front().is_empty() && body.memory() == 0);
    }
    assert_eq!(
        Arc::strong_count(&shared),
        1,
        "written bodies hold no references"
    );
}
