//! Fault scenario: runs feature queries under injected faults and checks the answers and the
//! requests that the servers receive.
//!
//! Each query carries a unique id, the last digits of a bounding box that contains every feature.
//! The program forwards the box to the servers, so their logs show which query a request belongs
//! to.

mod client;
mod fleet;
mod observer;
mod query;
mod report;

pub use report::{AnswerGroup, AnswerKind, AnswerViolation, Report, Violation};

use crate::error::RunError;
use crate::fault_injection::{injected_faults, FaultInjector};
use crate::feature_server::ALL_FAULTS;
use crate::process::{Configuration, FeatureFrontProcess, CLASSES};
use crate::sync::into_inner;
use client::{ScenarioClient, SharedState};
use fleet::Fleet;
use observer::{observe, Drain};
use query::QueryLog;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;
/// Duration of each fault and each drain.
const FAULT_DURATION: Duration = Duration::from_millis(1_500);
/// Time between the end of a fault or drain and the start of the next one.
const PAUSE: Duration = Duration::from_millis(500);
/// Weight of a drain in the random choice of the next event; each fault has the weight 1.
const DRAIN_CHOICES: usize = 2;
/// Number of query ids reserved for each seed, so that runs with different seeds share no id.
const QUERY_IDS_PER_SEED: u64 = 1_000_000;
/// Settings of the program.
const SETTINGS: &str = "retry_after_ms = 300\nlearned_age_s = 5";
/// Identifier of the conformance check that detects a page with more features than its limit.
const LIMIT_CHECK: &str = "/conf/core/fc-limit-response";

/// Fault that is planted to prove that the observer detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlantedFault {
    /// The servers log each request twice.
    DuplicateRequests,
    /// Each answer has one feature more than it should, and so can exceed its limit.
    ExcessFeatures,
}

/// Options of a scenario.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioOptions {
    /// Duration of the fault injection.
    pub duration: Duration,
    /// Seed of the random faults and queries. The clock determines when faults start, so two runs
    /// with the same seed differ.
    pub seed: u64,
    /// Planted fault, if any.
    pub planted: Option<PlantedFault>,
}

/// Runs a scenario and returns its report.
///
/// # Errors
/// Returns an error if a server or the program can't be started, or if the program exits early.
pub fn run(program: &Path, options: &ScenarioOptions) -> Result<Report, RunError> {
    let fleet = Fleet::start()?;
    let rows = fleet.inventory(None);
    let configuration = Configuration {
        settings: SETTINGS,
        inventory_rows: &rows,
        tables: CLASSES,
    };
    let process = FeatureFrontProcess::start(program, &configuration)?;
    let injector = FaultInjector::start(process.address)?;
    let address = match options.planted {
        Some(PlantedFault::ExcessFeatures) => {
            injector.inject(injected_faults().find(|fault| fault.detected_by == LIMIT_CHECK));
            injector.address
        }
        Some(PlantedFault::DuplicateRequests) => {
            fleet
                .servers
                .iter()
                .for_each(|server| server.set_log_twice(true));
            process.address
        }
        None => process.address,
    };
    let report = Mutex::new(Report::default());
    let queries = QueryLog::default();
    let drains = run_clients(address, options, &queries, &report, || {
        inject_faults(&fleet, &process, options)
    })?;
    let mut report = into_inner(report);
    observe(&fleet, &drains, &queries, &mut report);
    report.record_counters(process.counters()?);
    Ok(report)
}

/// Runs the clients until `inject` returns, and returns the result of `inject`.
fn run_clients<T>(
    address: SocketAddr,
    options: &ScenarioOptions,
    queries: &QueryLog,
    report: &Mutex<Report>,
    inject: impl FnOnce() -> T,
) -> T {
    let stopped = AtomicBool::new(false);
    let next_query_id = AtomicU64::new(options.seed * QUERY_IDS_PER_SEED + 1);
    let shared = SharedState {
        next_query_id: &next_query_id,
        queries,
        report,
    };
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let seed = options.seed ^ ((number as u64) << 32);
            let mut client = ScenarioClient::new(address, seed, shared);
            let stopped = &stopped;
            scope.spawn(move || {
                while !stopped.load(Relaxed) {
                    client.run_query();
                }
            });
        }
        let result = inject();
        stopped.store(true, Relaxed);
        result
    })
}

/// Injects random faults and drains one after another for the duration of the scenario. Returns
/// the drains.
fn inject_faults(
    fleet: &Fleet,
    process: &FeatureFrontProcess,
    options: &ScenarioOptions,
) -> Result<Vec<Drain>, RunError> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut drains = Vec::new();
    let started_at = Instant::now();
    while started_at.elapsed() < options.duration {
        let machine = rng.usize(..fleet.machines.len());
        let choice = rng.usize(..ALL_FAULTS.len() + DRAIN_CHOICES);
        match ALL_FAULTS.get(choice) {
            Some(_) => {
                fleet.machines[machine].set_fault(Some(choice));
                std::thread::sleep(FAULT_DURATION);
                fleet.machines[machine].set_fault(None);
            }
            None => drains.push(drain(fleet, process, rng.usize(..fleet.servers.len()))?),
        }
        std::thread::sleep(PAUSE);
    }
    Ok(drains)
}

/// Drains a server for [`FAULT_DURATION`]: reloads the inventory with the server draining, and
/// later in service.
fn drain(fleet: &Fleet, process: &FeatureFrontProcess, server: usize) -> Result<Drain, RunError> {
    process.reload_inventory(&fleet.inventory(Some(server)))?;
    let started_at = Instant::now();
    std::thread::sleep(FAULT_DURATION);
    let ended_at = Instant::now();
    process.reload_inventory(&fleet.inventory(None))?;
    Ok(Drain {
        server,
        started_at,
        ended_at,
    })
}
