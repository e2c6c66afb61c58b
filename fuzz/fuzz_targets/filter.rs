//! Checks that arbitrary text is parsed to a CQL2 filter or an error, and that a filter printed as
//! text or JSON is parsed to the same filter.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::front::ogc::cql2::{parse_json, parse_text, to_json};

fuzz_target!(|text: &str| {
    for filter in [parse_text(text), parse_json(text)].into_iter().flatten() {
        let json = to_json(&filter).to_string();
        assert_eq!(parse_json(&json).as_ref(), Ok(&filter), "{json}");
    }
    if let Ok(filter) = parse_text(text) {
        let printed = filter.to_string();
        assert_eq!(parse_text(&printed).as_ref(), Ok(&filter), "{printed}");
    }
});
