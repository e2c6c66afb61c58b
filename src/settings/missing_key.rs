//! The check of replaced settings: they must have the keys of the settings that they replace.
//!
//! When settings are read, an absent key is not an error, since it has a default. When an operator
//! replaces the file of a running process, however, a missing key is more likely a mistake or a
//! truncated file than a request for the default, so such a file is rejected.

use serde_json::Value;

/// The keys that a replacing file may omit at any depth: in the wire protocol their absence
/// disables a feature.
const OPTIONAL_KEYS: [&str; 5] = [
    "aim-stretch",
    "warm-keys",
    "extra-floor",
    "extra-ratio",
    "look-back",
];

/// Returns the first key that `old` has and `new` lacks, at any depth, as a path with dots
/// (`limits.max-attempts`).
///
/// Every element of an array in `new` must have the keys of the first element of the array in
/// `old`. Where `old` has an object and `new` a value of another type, the object's first key that
/// is not optional is missing.
#[must_use]
pub fn find_missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old_value)| {
            let Some(new_value) = new.get(key) else {
                return (!is_optional(key)).then(|| key.clone());
            };
            find_missing_key(old_value, new_value).map(|path| format!("{key}.{path}"))
        }),
        (Value::Array(old), Value::Array(new)) => {
            let first = old.first()?;
            new.iter()
                .find_map(|element| find_missing_key(first, element))
        }
        (Value::Object(old), _) => old.keys().find(|key| !is_optional(key)).cloned(),
        _ => None,
    }
}

fn is_optional(key: &str) -> bool {
    OPTIONAL_KEYS.contains(&key)
}
