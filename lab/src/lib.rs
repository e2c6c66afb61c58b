//! Stand-ins, load and checks for quinceflow. The program links none of it; this links the program's filters.
#![forbid(unsafe_code)]

pub mod client;
pub mod conformance;
pub mod demo;
pub mod fault_injection;
pub mod fault_scenario;
pub mod feature_server;
pub mod load;
pub mod measure;
pub mod process;
