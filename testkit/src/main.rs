//! Command line of the test kit: parses arguments, runs one subcommand and prints its result.
#![forbid(unsafe_code)]

use clap::builder::PossibleValue;
use clap::{Args, Parser, Subcommand, ValueEnum};
use quinceflow_testkit::conformance::{CheckResult, OpenError, Outcome, Suite};
use quinceflow_testkit::demo::Demo;
use quinceflow_testkit::error::RunError;
use quinceflow_testkit::fault_scenario::{self, PlantedFault, Report, ScenarioOptions};
use quinceflow_testkit::measure::{self, Plan, Version, THIS_VERSION};
use quinceflow_testkit::process::{find_program, ProcessError};
use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 40;
/// Exit status of a command that could not be completed.
const EXIT_ERROR: u8 = 2;

/// Stand-ins, load and checks for quinceflow; everything stays on loopback
#[derive(Parser)]
#[command(name = "quinceflow-testkit", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start stand-in feature servers and the front over them, and print queries to try
    Demo(DemoArguments),
    /// Send queries for minutes under a mix of faults and check every rule; exit 1 if one was
    /// broken
    #[command(alias = "storm")]
    FaultScenario(ScenarioArguments),
    /// Measure the front for feature queries, and an earlier version if one is named; prints
    /// Markdown
    Measure(MeasureArguments),
    /// Check a service against the standards; exit 1 on any failure
    #[command(alias = "conform")]
    Conformance(ConformanceArguments),
}

#[derive(Args)]
struct ProgramArgument {
    /// Path of the program; by default the one beside this executable
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

#[derive(Args)]
struct DemoArguments {
    /// Send the queries, check the answers, print a table and end
    #[arg(long)]
    once: bool,
    #[command(flatten)]
    program: ProgramArgument,
}

#[derive(Args)]
struct ScenarioArguments {
    /// Duration of the scenario in seconds
    #[arg(long, default_value_t = 120)]
    seconds: u64,
    /// Plant a fault that the scenario must detect
    #[arg(long)]
    plant: Option<PlantArgument>,
    /// Seed of the random faults and queries
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    program: ProgramArgument,
}

#[derive(Args)]
struct MeasureArguments {
    /// Path of an earlier version of the program
    #[arg(long, alias = "beside", value_name = "FILE")]
    baseline: Option<PathBuf>,
    /// Name of the earlier version in the tables
    #[arg(long, alias = "name", value_name = "NAME", default_value = "earlier")]
    baseline_name: String,
    /// Duration of each load in seconds
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of features of each of the two shards
    #[arg(long, alias = "each", value_name = "COUNT", default_value_t = 20_000)]
    features_per_shard: usize,
    #[command(flatten)]
    program: ProgramArgument,
}

#[derive(Args)]
struct ConformanceArguments {
    /// URL of the landing page, such as http://127.0.0.1:8080/
    url: String,
    /// File to which the outcomes are written as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Planted fault as a command-line argument.
#[derive(Clone, Copy)]
struct PlantArgument(PlantedFault);

impl ValueEnum for PlantArgument {
    fn value_variants<'a>() -> &'a [Self] {
        &[
            PlantArgument(PlantedFault::DuplicateRequests),
            PlantArgument(PlantedFault::ExcessFeatures),
        ]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(match self.0 {
            PlantedFault::DuplicateRequests => {
                PossibleValue::new("duplicate-requests").alias("twice")
            }
            PlantedFault::ExcessFeatures => PossibleValue::new("excess-features").alias("limit"),
        })
    }
}

/// Reason why a command could not be completed.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Url(#[from] url::ParseError),
    #[error("the URL has no host")]
    NoHost,
    #[error("the URL has no port")]
    NoPort,
    #[error("the host has no address")]
    NoAddress,
    #[error(transparent)]
    Resolve(io::Error),
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("{}: {source}", .file.display())]
    Write { file: PathBuf, source: io::Error },
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quinceflow-testkit: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs a command and returns whether all of its checks passed.
fn run(command: Command) -> Result<bool, CommandError> {
    match command {
        Command::Demo(arguments) => run_demo(arguments),
        Command::FaultScenario(arguments) => run_scenario(arguments),
        Command::Measure(arguments) => run_measure(arguments),
        Command::Conformance(arguments) => run_conformance(&arguments),
    }
}

impl ProgramArgument {
    fn path(self) -> Result<PathBuf, ProcessError> {
        self.program.map_or_else(find_program, Ok)
    }
}

fn run_demo(arguments: DemoArguments) -> Result<bool, CommandError> {
    let demo = Demo::start(&arguments.program.path()?)?;
    if arguments.once {
        return Ok(demo.check_once()?);
    }
    demo.wait_for_signal()?;
    Ok(true)
}

fn run_scenario(arguments: ScenarioArguments) -> Result<bool, CommandError> {
    let options = ScenarioOptions {
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        planted: arguments.plant.map(|plant| plant.0),
    };
    let report = fault_scenario::run(&arguments.program.path()?, &options)?;
    print_report(&report);
    Ok(report.violations.is_empty())
}

fn print_report(report: &Report) {
    for (group, count) in &report.answers {
        println!("{:<6} {:<18} {count:>8}", group.class, group.kind);
    }
    println!(
        "requests at servers {}, non-idempotent parts {}, drains {}, slowest answer {} ms",
        report.server_requests,
        report.non_idempotent_parts,
        report.drains,
        report.max_latency.as_millis()
    );
    println!("{}", report.counters);
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("VIOLATION {violation}");
    }
    println!("{} violations", report.violations.len());
}

fn run_measure(arguments: MeasureArguments) -> Result<bool, CommandError> {
    let this_version = Version {
        name: THIS_VERSION.to_owned(),
        program: arguments.program.path()?,
    };
    let name = arguments.baseline_name;
    let baseline = arguments.baseline.map(|program| Version { name, program });
    let plan = Plan {
        versions: baseline.into_iter().chain([this_version]).collect(),
        load_duration: Duration::from_secs(arguments.seconds),
        features_per_shard: arguments.features_per_shard,
    };
    print!("{}", measure::run(&plan)?);
    Ok(true)
}

fn run_conformance(arguments: &ConformanceArguments) -> Result<bool, CommandError> {
    let url = url::Url::parse(&arguments.url)?;
    let mut suite = Suite::open(resolve(&url)?, url.path())?;
    let results = suite.run();
    results.iter().for_each(print_result);
    let count =
        |matches: fn(&Outcome) -> bool| results.iter().filter(|r| matches(&r.outcome)).count();
    let failed = count(|outcome| matches!(outcome, Outcome::Fail(_)));
    let passed = count(|outcome| matches!(outcome, Outcome::Pass));
    println!(
        "{passed} passed, {failed} failed, {} not applicable",
        results.len() - passed - failed
    );
    if let Some(file) = &arguments.json {
        let text = serde_json::to_vec_pretty(&results)?;
        std::fs::write(file, text).map_err(|source| CommandError::Write {
            file: file.clone(),
            source,
        })?;
    }
    Ok(failed == 0)
}

fn print_result(CheckResult { id, outcome }: &CheckResult) {
    match outcome {
        Outcome::Pass => println!("pass            {id}"),
        Outcome::Fail(reason) => println!("FAIL            {id}: {reason}"),
        Outcome::NotApplicable(reason) => println!("not applicable  {id}: {reason}"),
    }
}

/// Resolves the host and port of a URL.
fn resolve(url: &url::Url) -> Result<SocketAddr, CommandError> {
    let host = url
        .host_str()
        .ok_or(CommandError::NoHost)?
        .trim_matches(['[', ']']);
    let port = url.port_or_known_default().ok_or(CommandError::NoPort)?;
    let mut addresses = (host, port)
        .to_socket_addrs()
        .map_err(CommandError::Resolve)?;
    addresses.next().ok_or(CommandError::NoAddress)
}
