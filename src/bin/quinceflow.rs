//! The program of the coordinator.
//!
//! The environment variable `NODE_CONFIG` names the configuration file of the platform front, and
//! the argument `--edge FILE` that of the front for feature queries. At least one of them must be
//! given.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use quinceflow::front::ogc::check;
use quinceflow::front::ogc::config::EdgeConfig;
use quinceflow::log::{self, LogFormat};
use quinceflow::net::{config::Config, server};
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of `check` if it finds faults.
const EXIT_FAULTS: u8 = 2;

/// A query coordinator: serves the platform's protocol as NODE_CONFIG sets it up, and feature
/// queries as an edge file does
#[derive(Parser)]
#[command(name = "quinceflow", version, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// Serve feature queries as this file sets them up
    #[arg(long, value_name = "FILE")]
    edge: Option<PathBuf>,
    /// How the log on standard error is written
    #[arg(long, value_enum, default_value_t, value_name = "FORM")]
    log: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Read an edge file and its inventory and tell every fault with its line; exit 0 if there is
    /// none, else 2
    Check {
        /// The edge file
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(Command::Check { file }) = arguments.command {
        return print_report(&check::check_edge_file(&file));
    }
    log::init(arguments.log);
    match serve(arguments.edge) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "exiting with an error");
            ExitCode::FAILURE
        }
    }
}

/// Prints the report of a check. Returns the exit code, which is 0 if there are no faults and
/// [`EXIT_FAULTS`] otherwise.
fn print_report(report: &check::Report) -> ExitCode {
    for fault in &report.faults {
        println!("{fault}");
    }
    match report.faults.len() {
        0 => println!("{}", report.summary),
        1 => println!("1 fault"),
        count => println!("{count} faults"),
    }
    if report.faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAULTS)
    }
}

/// Runs the coordinator until a requested shutdown is complete. `edge` is the path of the edge file,
/// if there is one.
fn serve(edge: Option<PathBuf>) -> Result<(), Box<dyn Error>> {
    let edge = edge.map(|file| EdgeConfig::load(&file)).transpose()?;
    let platform = match std::env::var_os("NODE_CONFIG") {
        None if edge.is_some() => None,
        _ => Some(Config::from_env()?),
    };
    Ok(server::run(platform, edge)?)
}
