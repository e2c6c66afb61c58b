//! The full fleet in virtual time: 300 instances of the policy side by side, each with a query
//! every two seconds.

#[path = "../common/mod.rs"]
mod common;
mod draining;
mod recovery;
mod slow_start;
mod support;
