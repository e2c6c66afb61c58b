//! Tests of plain text.

use super::*;

#[test]
fn plain_text_ends_at_a_control_character_or_an_invalid_byte() {
    let cases: [(&[u8], usize); 8] = [
        (b"", 0),
        (b"bfd0fa", 6),
        (b"ab\0\0", 2),
        (b"ab\x7f", 2),
        (b"P\xa7nS", 1),
        (b"a\nb\xff", 1),
        ("a\u{e9}".as_bytes(), 3),
        // The last byte of the character has not been received.
        (b"a\xc3", 2),
    ];
    for (bytes, length) in cases {
        assert_eq!(plain_text_length(bytes), length, "{bytes:?}");
        let complete = std::str::from_utf8(bytes).is_ok();
        assert_eq!(is_plain_text(bytes), complete && length == bytes.len());
    }
}
