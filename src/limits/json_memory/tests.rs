//! Tests of the estimate of parsed memory.

use super::*;
use serde_json::Value as Json;

/// Returns the memory of a tree of values, in bytes, without the spare capacity of its arrays.
fn tree_memory(json: &Json) -> usize {
    let children: usize = match json {
        Json::Array(items) => items.iter().map(tree_memory).sum(),
        Json::Object(members) => {
            let member = |(name, value): (&String, &Json)| {
                size_of::<String>() + name.len() + tree_memory(value)
            };
            members.iter().map(member).sum()
        }
        Json::String(text) => text.len(),
        _ => 0,
    };
    size_of::<Json>() + children
}

/// Guards against a text of few bytes whose tree of values exceeds the memory.
#[test]
fn the_estimate_is_not_below_the_memory_of_the_tree() {
    let texts = [
        "0".to_owned(),
        format!("[{}0]", "0,".repeat(5_000)),
        format!("[{}0]", "[1],".repeat(5_000)),
        format!("[{}0]", "[],".repeat(5_000)),
        format!("[{}0]", "{\"a\":1},".repeat(5_000)),
        format!("[\"{}\"]", "x".repeat(5_000)),
        format!("[{}0]", "\"\\\",[{\",".repeat(5_000)),
    ];
    for text in texts {
        let json: Json = serde_json::from_str(&text).expect("the text is JSON");
        let estimate = json_memory(text.as_bytes());
        let start = &text[..text.len().min(20)];
        assert!(estimate >= tree_memory(&json), "{start}: {estimate}");
    }
}

#[test]
fn structure_within_strings_does_not_count() {
    let text = format!("\"{}\"", "[{,\\\"".repeat(100));
    assert_eq!(
        json_memory(text.as_bytes()),
        text.len() * TEXT_COPIES + VALUE_BYTES
    );
}
