//! An arbitrary query string and an arbitrary search body are parameters or an error, and parameters are within their bounds.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::front::ogc::cql2::Queryables;
use quinceflow::front::ogc::params::{form_urlencoded, format, read, read_search, search_body, Known};

fuzz_target!(|text: &str| {
    let queryables = Queryables::unknown();
    let known = Known { default_limit: 10, most_limit: 100, queryables: &queryables };
    if let Ok(params) = read(&form_urlencoded(text), &known) {
        assert!((1..=100).contains(&params.limit));
        assert!(params.bbox.iter().flatten().all(|number| number.is_finite()));
    }
    if let Ok(body) = search_body(text.as_bytes()) {
        let _ = read_search(&body, |_| Some(Queryables::unknown()), (10, 100));
    }
    let _ = format(None, Some(text));
});
