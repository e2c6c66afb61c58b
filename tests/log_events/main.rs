//! Log events of the process: level, message and fields of one event of each kind that a test can
//! cause.

mod connections;
mod discovery;
mod feature_front;
#[path = "../standin/mod.rs"]
mod standin;
mod start;
mod support;
