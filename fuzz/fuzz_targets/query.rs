//! Checks that arbitrary query strings and search bodies are parsed to parameters or errors, and
//! that parameters are within their limits.
#![no_main]
use libfuzzer_sys::fuzz_target;
use quinceflow::front::ogc::cql2::Queryables;
use quinceflow::front::ogc::params::{
    decode_query, negotiate_format, parse_items_query, parse_search, parse_search_body, LimitRules,
    ParameterRules,
};

fuzz_target!(|text: &str| {
    let queryables = Queryables::unknown();
    let limits = LimitRules {
        default_limit: 10,
        max_limit: 100,
    };
    let rules = ParameterRules {
        limits,
        queryables: &queryables,
    };
    if let Ok(params) = parse_items_query(&decode_query(text), &rules) {
        assert!((1..=100).contains(&params.limit));
        assert!(params
            .bbox
            .iter()
            .flatten()
            .all(|number| number.is_finite()));
    }
    if let Ok(body) = parse_search_body(text.as_bytes()) {
        let _ = parse_search(&body, |_| Some(Queryables::unknown()), limits);
    }
    let _ = negotiate_format(None, Some(text));
});
