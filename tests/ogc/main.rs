//! The front for feature queries against stand-in feature servers: pages, faults, draining,
//! rejections.

mod faults;
mod operation;
mod pages;
mod resources;
#[path = "../standin/mod.rs"]
mod standin;
mod support;
