//! Some minutes of feature queries while their servers have faults, outside CI:
//! `MINUTES=4 cargo test --release --test ogc_run -- --ignored --nocapture`. Results:
//! docs/recorded-run.md.

mod faults;
mod run;
mod servers;
#[path = "../standin/mod.rs"]
mod standin;
mod traversal;
