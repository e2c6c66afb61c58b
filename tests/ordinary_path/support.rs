//! Classes of these tests.

use crate::common::*;
use quinceflow::*;

pub fn partial(follow_up_parts: u32) -> Class {
    Class {
        min_share: 0.5,
        follow_up_parts,
        ..class(Effect::Idempotent)
    }
}
