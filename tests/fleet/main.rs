//! The full fleet in virtual time: 300 policy instances at the same nodes, each with a query every
//! two seconds.

#[path = "../common/mod.rs"]
mod common;
mod draining;
mod recovery;
mod slow_start;
mod support;
