//! Checks that an arbitrary body from a feature server is parsed to a page or rejected, that the
//! features of a page are objects within its body, and that its next link is a path on the same
//! server.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::front::ogc::page_request::parse_page;

fuzz_target!(|bytes: &[u8]| {
    if let Some(page) = parse_page(
        bytes.to_vec(),
        "127.0.0.1:9",
        "/collections/a/items?limit=2",
        None,
    ) {
        assert!(page
            .features
            .iter()
            .all(|feature| page.body[feature.clone()].starts_with(b"{")));
        assert!(page.next_target.is_none_or(|next| next.starts_with('/')));
    }
});
