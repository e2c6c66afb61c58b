//! The coordinator on real sockets.
//!
//! `NODE_CONFIG` names the platform's configuration; `--edge FILE` names the operator's file that sets up the front
//! for feature queries. Either is enough, and both may be given.
#![forbid(unsafe_code)]

use quinceflow::front::ogc::config::Edge;
use quinceflow::net::{config::Config, server};
use std::path::Path;
use std::process::ExitCode;

const USAGE: &str = "usage: quinceflow [--edge FILE]; the platform's part is set up by NODE_CONFIG";

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("quinceflow: {why}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let mut args = std::env::args_os().skip(1);
    let edge = match (args.next(), args.next(), args.next()) {
        (None, ..) => None,
        (Some(flag), Some(file), None) if flag == "--edge" => {
            Some(Edge::read_file(Path::new(&file)).map_err(|e| e.to_string())?)
        }
        _ => return Err(USAGE.to_owned()),
    };
    let platform = match std::env::var_os("NODE_CONFIG") {
        None if edge.is_some() => None,
        _ => Some(Config::from_env()?),
    };
    server::run(platform, edge)
}
