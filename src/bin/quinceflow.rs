//! The coordinator on real sockets.
#![forbid(unsafe_code)]

use quinceflow::net::{config::Config, server};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Config::from_env().and_then(server::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("quinceflow: {why}");
            ExitCode::FAILURE
        }
    }
}
