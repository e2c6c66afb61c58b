//! The policy on the ordinary path: when queries are answered and admitted, quality, the
//! controller, and parts that are omitted.

mod admission;
mod answers;
#[path = "../common/mod.rs"]
mod common;
mod dispatch;
mod support;
