//! The judgement of answers by what was asked for.

use crate::clients::{FEATURES_PER_SHARD, SHARDS};
use crate::history::Content;
use serde_json::Value;

/// Judges an answer of the platform's front: each piece is of a shard that was asked for, once, and
/// has its value; the answer is whole if and only if it has all, and has half of them at least.
pub fn judge_pieces(shards: &[u32], json: &Value) -> Content {
    let pieces = json["pieces"].as_array().cloned().unwrap_or_default();
    let mut tablets: Vec<u64> = Vec::new();
    for piece in &pieces {
        let tablet = piece["tablet"].as_u64().unwrap_or(u64::MAX);
        if piece["cell"] != format!("cell{tablet}") || tablets.contains(&tablet) {
            return Content::Wrong(format!("a wrong piece: {json}"));
        }
        tablets.push(tablet);
    }
    let asked = shards.len();
    let unasked = tablets
        .iter()
        .any(|tablet| !shards.contains(&(*tablet as u32)));
    match json["full"].as_bool() {
        Some(full)
            if !unasked && full == (tablets.len() == asked) && 2 * tablets.len() >= asked =>
        {
            if full {
                Content::Whole
            } else {
                Content::Partial
            }
        }
        _ => Content::Wrong(format!("{asked} shards asked for: {json}")),
    }
}

/// Judges an answer of the feature front: it holds the features in order, those of a shard whole or,
/// in the last shard before a `next` link, from its first on; none of a shard that it calls missing.
pub fn judge_features(json: &Value) -> Content {
    let ids: Vec<&str> = json["features"]
        .as_array()
        .map(|features| features.iter().filter_map(|f| f["id"].as_str()).collect())
        .unwrap_or_default();
    let missing: Vec<&str> = json["missing"]
        .as_array()
        .map(|names| names.iter().filter_map(Value::as_str).collect())
        .unwrap_or_default();
    let continues = json["links"]
        .as_array()
        .is_some_and(|links| links.iter().any(|link| link["rel"] == "next"));
    let mut expected = Vec::new();
    for (shard, name) in SHARDS.iter().enumerate() {
        if !missing.contains(name) {
            let from = shard * FEATURES_PER_SHARD;
            expected.extend((from..from + FEATURES_PER_SHARD).map(|id| format!("d{id}")));
        }
    }
    let right = if continues {
        !ids.is_empty()
            && expected
                .iter()
                .map(String::as_str)
                .take(ids.len())
                .eq(ids.clone())
    } else {
        expected.iter().map(String::as_str).eq(ids.clone())
    };
    match (right, missing.is_empty()) {
        (false, _) => Content::Wrong(format!("missing {missing:?}, next {continues}: {ids:?}")),
        (true, true) => Content::Whole,
        (true, false) => Content::Partial,
    }
}
