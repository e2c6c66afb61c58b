//! Test kit of quinceflow: stand-in servers, load, fault injection and conformance checks.
//!
//! This crate contains everything that exercises the program from outside. The program does not
//! link it; the stand-in servers of this crate use the program's filter evaluator.
#![forbid(unsafe_code)]

pub mod client;
pub mod conformance;
pub mod demo;
pub mod error;
pub mod fault_injection;
pub mod fault_scenario;
pub mod feature_server;
pub mod load;
pub mod measure;
pub mod process;
mod sync;
