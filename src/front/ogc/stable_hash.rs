//! Hashes that do not differ between processes or releases.

use serde::Deserialize;
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

/// Returns a hash of these inputs: the first eight bytes of the SHA-256 of all inputs, each
/// preceded by its length.
#[must_use]
pub fn stable_hash(inputs: &[&[u8]]) -> u64 {
    let mut state = Sha256::new();
    for input in inputs {
        state.update((input.len() as u64).to_be_bytes());
        state.update(input);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&state.finalize()[..8]);
    u64::from_be_bytes(first)
}

/// Returns the hash of a feature's identifier, which is never 0, or 0 if the feature has none.
pub(super) fn feature_id_hash(feature: &[u8]) -> u64 {
    #[derive(Deserialize)]
    struct Identified<'a> {
        #[serde(borrow)]
        id: Option<&'a RawValue>,
    }
    let id = serde_json::from_slice::<Identified<'_>>(feature)
        .ok()
        .and_then(|feature| feature.id);
    id.map_or(0, |id| stable_hash(&[id.get().as_bytes()]) | 1)
}
