//! A guard against settings that lost a key.

/// Keys that the wire lets settings go without.
const OPTIONAL: [&str; 5] = ["aim-stretch", "warm-keys", "extra-floor", "extra-ratio", "look-back"];

/// The first key that `old` has and `new` lacks, at any depth: defaults would stand in for it unseen. The elements of a
/// list of objects are all of the form of its first.
pub fn find_missing_key(old: &serde_json::Value, new: &serde_json::Value) -> Option<String> {
    use serde_json::Value::{Array, Object};
    match (old, new) {
        (Object(old), Object(new)) => old.iter().find_map(|(key, value)| match new.get(key) {
            None => (!OPTIONAL.contains(&key.as_str())).then(|| key.clone()),
            Some(new) => find_missing_key(value, new).map(|inner| format!("{key}.{inner}")),
        }),
        (Array(old), Array(new)) => {
            old.first().and_then(|form| new.iter().find_map(|n| find_missing_key(form, n)))
        }
        (Object(old), _) => old.keys().next().cloned(),
        _ => None,
    }
}
