//! The feature front with stand-in feature servers: pages, faults, draining and rejections.

mod faults;
mod operation;
mod pages;
mod rejections;
mod resources;
mod sorting;
#[path = "../standin/mod.rs"]
mod standin;
mod support;
mod unserved_shards;
