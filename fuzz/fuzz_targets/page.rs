//! Any body of a server is a page or none; a page's features lie in it, and its link stays at home.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::front::ogc::page_request::parse_page;

fuzz_target!(|bytes: &[u8]| {
    if let Some(page) = parse_page(bytes.to_vec(), "127.0.0.1:9", "/collections/a/items?limit=2", None) {
        assert!(page.features.iter().all(|f| page.body[f.clone()].starts_with(b"{")));
        assert!(page.next_target.is_none_or(|n| n.starts_with('/')));
    }
});
