//! Stand-ins, load and checks for quinceflow.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use quinceflow_testkit::conformance::{Checked, Outcome, Suite};
use quinceflow_testkit::demo::{self, Demo};
use quinceflow_testkit::{fault_scenario, measure, process};
use std::net::ToSocketAddrs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Stand-ins, load and checks for quinceflow; everything stays on loopback
#[derive(Parser)]
#[command(name = "quinceflow-testkit", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start stand-in feature servers and the edge over them, and print what to try
    Demo {
        /// Ask some queries, check the answers, print a table and end
        #[arg(long)]
        once: bool,
        /// The program; by default the one beside this
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Ask for minutes under a mix of faults and count every rule; exit 1 if one was broken
    Storm {
        /// How long
        #[arg(long, default_value_t = 120)]
        seconds: u64,
        /// Plant a fault that must be found: twice or limit
        #[arg(long, value_parser = fault_scenario::PLANTED)]
        plant: Option<String>,
        /// Where the faults and queries begin
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program; by default the one beside this
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Measure the front for feature queries, beside an earlier version if one is named; prints Markdown
    Measure {
        /// The program of an earlier version
        #[arg(long, value_name = "FILE")]
        beside: Option<PathBuf>,
        /// What the earlier version is called
        #[arg(long, default_value = "earlier")]
        name: String,
        /// How long each load lasts
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Features of each of the two shards
        #[arg(long, default_value_t = 20_000)]
        each: usize,
        /// The program; by default the one beside this
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
    },
    /// Check a service against the standards; exit 1 on any failure
    Conform {
        /// Its landing page, such as http://127.0.0.1:8080/
        url: String,
        /// Write the outcomes there as JSON
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("quinceflow-testkit: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Demo { once, program } => {
            let program = program.map_or_else(process::program, Ok).map_err(|e| e.to_string())?;
            let demo = Demo::start(&program).map_err(|e| e.to_string())?;
            if !once {
                return demo::run(&demo).map(|()| true).map_err(|e| e.to_string());
            }
            demo::once(&demo).map_err(|e| e.to_string())
        }
        Command::Storm { seconds, seed, plant, program } => {
            let program = program.map_or_else(process::program, Ok).map_err(|e| e.to_string())?;
            let report = fault_scenario::run(&program, Duration::from_secs(seconds), seed, plant.as_deref())
                .map_err(|e| e.to_string())?;
            for ((class, kind), count) in &report.answers {
                println!("{class:<6} {kind:<12} {count:>8}");
            }
            println!(
                "requests at servers {}, parts that must not run twice {}, drains {}, slowest answer {} ms",
                report.requests,
                report.unsafe_parts,
                report.drains,
                report.slowest.as_millis()
            );
            println!("{}", report.counters);
            for rule in report.broken.iter().take(40) {
                println!("BROKEN {rule}");
            }
            println!("{} rules broken", report.broken.len());
            Ok(report.broken.is_empty())
        }
        Command::Measure { beside, name, seconds, each, program } => {
            let program = program.map_or_else(process::program, Ok).map_err(|e| e.to_string())?;
            let earlier = beside.map(|file| (name, file));
            let programs = earlier.into_iter().chain([("this version".to_owned(), program)]).collect();
            let plan = measure::Plan { programs, seconds, each };
            print!("{}", measure::run(&plan).map_err(|e| e.to_string())?);
            Ok(true)
        }
        Command::Conform { url, json } => conform(&url, json),
    }
}

fn conform(url: &str, json: Option<PathBuf>) -> Result<bool, String> {
    let url = url::Url::parse(url).map_err(|e| e.to_string())?;
    let host = url.host_str().ok_or("the URL has no host")?.trim_matches(['[', ']']);
    let port = url.port_or_known_default().ok_or("the URL has no port")?;
    let address = (host, port).to_socket_addrs().map_err(|e| e.to_string())?.next().ok_or("no address")?;
    let mut suite = Suite::open(address, url.path())?;
    let made = suite.run();
    let count = |is: fn(&Outcome) -> bool| made.iter().filter(|c| is(&c.outcome)).count();
    for Checked { id, outcome } in &made {
        match outcome {
            Outcome::Pass => println!("pass            {id}"),
            Outcome::Fail(why) => println!("FAIL            {id}: {why}"),
            Outcome::NotApplicable(why) => println!("not applicable  {id}: {why}"),
        }
    }
    let failed = count(|o| matches!(o, Outcome::Fail(_)));
    let passed = count(|o| matches!(o, Outcome::Pass));
    println!("{passed} passed, {failed} failed, {} not applicable", made.len() - passed - failed);
    if let Some(file) = json {
        let text = serde_json::to_vec_pretty(&made).map_err(|e| e.to_string())?;
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(failed == 0)
}
