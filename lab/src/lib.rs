//! Stand-ins, load and checks for quinceflow. The program links none of it; this links the program's filters.
#![forbid(unsafe_code)]

pub mod client;
pub mod conform;
pub mod demo;
pub mod edge;
pub mod features;
pub mod load;
pub mod measure;
pub mod storm;
pub mod twist;
