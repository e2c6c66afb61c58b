//! Checks that arbitrary text is never accepted as a cursor, because a cursor is authenticated with
//! a key that the fuzzer does not have.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::front::ogc::cursor::{CursorError, CursorKey};

fuzz_target!(|text: &str| {
    let key = CursorKey::new(b"the key of this run");
    assert_eq!(key.open(text, 1, 1, 1), Err(CursorError::NotAuthentic));
});
