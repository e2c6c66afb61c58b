//! A guard for replaced settings: keys of the old settings must be in the new ones too.
//!
//! An absent key is no error when settings are read: it has a default. When an operator replaces
//! the file of a running program, though, a missing key is more likely a mistake or a truncated
//! file than a request for the default, so such a file is rejected.

use serde_json::Value;

/// The keys that a replaced file may omit at any depth: in the wire protocol their absence switches
/// a feature off.
const OPTIONAL_KEYS: [&str; 5] = [
    "aim-stretch",
    "warm-keys",
    "extra-floor",
    "extra-ratio",
    "look-back",
];

/// Finds the first key that `old` has and `new` lacks, at any depth, as a path with dots
/// (`limits.max-attempts`).
///
/// The first element of an array in `old` is the model for all elements of the array in `new`.
/// Where `old` has an object and `new` a value of another type, the object's first key that is not
/// optional is missing.
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
            let model = old.first()?;
            new.iter()
                .find_map(|element| find_missing_key(model, element))
        }
        (Value::Object(old), _) => old.keys().find(|key| !is_optional(key)).cloned(),
        _ => None,
    }
}

fn is_optional(key: &str) -> bool {
    OPTIONAL_KEYS.contains(&key)
}
