//! The class of several of these tests.

use crate::common::*;
use quinceflow::*;

/// Returns a class that needs half of its parts, with this number of follow-up parts.
pub fn partial_class(follow_up_parts: u32) -> Class {
    Class {
        min_share: 0.5,
        follow_up_parts,
        ..class(Effect::Idempotent)
    }
}
