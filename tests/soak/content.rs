//! Classifies answers by comparing them with the query and with what they declare.

use crate::clients::{FEATURES_PER_SHARD, SHARDS};
use crate::history::Content;
use serde_json::Value;

/// Classifies an answer of the platform front. It must have at most one piece for each requested
/// shard, with the shard's value, no other pieces, and at least half of the requested shards. It
/// must be declared complete if and only if it has all of them.
pub fn classify_platform_answer(shards: &[u32], json: &Value) -> Content {
    let pieces = json["pieces"].as_array().cloned().unwrap_or_default();
    let mut tablets: Vec<u64> = Vec::new();
    for piece in &pieces {
        let tablet = piece["tablet"].as_u64().unwrap_or(u64::MAX);
        if piece["cell"] != format!("cell{tablet}") || tablets.contains(&tablet) {
            return Content::Wrong(format!("wrong piece: {json}"));
        }
        tablets.push(tablet);
    }
    let requested = shards.len();
    let has_other_shard = tablets
        .iter()
        .any(|tablet| !shards.contains(&(*tablet as u32)));
    match json["full"].as_bool() {
        Some(full)
            if !has_other_shard
                && full == (tablets.len() == requested)
                && 2 * tablets.len() >= requested =>
        {
            if full {
                Content::Complete
            } else {
                Content::Partial
            }
        }
        _ => Content::Wrong(format!(
            "answer does not match the {requested} requested shards: {json}"
        )),
    }
}

/// Classifies an answer of the feature front. It must have all features, in order, of the shards
/// that it does not declare missing, and no others. If it has a `next` link, it may end before the
/// last of these features, but must not be empty.
pub fn classify_feature_answer(json: &Value) -> Content {
    let ids: Vec<&str> = json["features"]
        .as_array()
        .map(|features| features.iter().filter_map(|f| f["id"].as_str()).collect())
        .unwrap_or_default();
    let missing: Vec<&str> = json["missing"]
        .as_array()
        .map(|names| names.iter().filter_map(Value::as_str).collect())
        .unwrap_or_default();
    let has_next_link = json["links"]
        .as_array()
        .is_some_and(|links| links.iter().any(|link| link["rel"] == "next"));
    let mut expected = Vec::new();
    for (shard, name) in SHARDS.iter().enumerate() {
        if !missing.contains(name) {
            let from = shard * FEATURES_PER_SHARD;
            expected.extend((from..from + FEATURES_PER_SHARD).map(|id| format!("d{id}")));
        }
    }
    let is_correct = if has_next_link {
        !ids.is_empty()
            && expected
                .iter()
                .map(String::as_str)
                .take(ids.len())
                .eq(ids.clone())
    } else {
        expected.iter().map(String::as_str).eq(ids.clone())
    };
    match (is_correct, missing.is_empty()) {
        (false, _) => Content::Wrong(format!(
            "answer with the wrong features: missing {missing:?}, next {has_next_link}: {ids:?}"
        )),
        (true, true) => Content::Complete,
        (true, false) => Content::Partial,
    }
}
