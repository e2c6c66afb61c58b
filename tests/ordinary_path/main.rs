//! The policy on the ordinary path: when queries are admitted and answered, which parts are sent or
//! omitted, and how admission follows the measured quality.

mod admission;
mod answers;
#[path = "../common/mod.rs"]
mod common;
mod dispatch;
mod support;
