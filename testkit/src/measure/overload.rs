//! Measurement of an open-loop load beyond the capacity of the servers.

use super::test_bed::{TestBed, SETTINGS};
use super::{write_header, Plan, Version, THIS_VERSION};
use crate::error::RunError;
use crate::feature_server::Capacity;
use crate::load::{LoadResult, OpenLoop};
use crate::process::{Configuration, FeatureFrontProcess};
use std::fmt::Write as _;
use std::time::Duration;

/// Settings of a class with a short deadline.
const SHORT_DEADLINE_CLASS: &str = "
[[class]]
name = \"map\"
aim_ms = 1000
deadline_ms = 1500
";

/// Named settings of the concurrency limits.
struct Limits {
    name: &'static str,
    settings: &'static str,
}

const THIS_VERSION_LIMITS: &[Limits] = &[
    Limits {
        name: "adaptive",
        settings: "[limits]\nmode = \"adaptive\"\n",
    },
    Limits {
        name: "fixed",
        settings: "[limits]\nmode = \"fixed\"\nadmission = false\n",
    },
];
/// Default limits of an earlier version, which may not support the setting.
const EARLIER_VERSION_LIMITS: &[Limits] = &[Limits {
    name: "",
    settings: "",
}];

/// Number of requests that a server processes concurrently.
const SERVER_SLOTS: usize = 4;
/// Service time of a page at a server.
const PAGE_TIME: Duration = Duration::from_millis(20);
/// Capacity of one server in pages per second: `SERVER_SLOTS / PAGE_TIME`.
const PAGES_PER_SECOND: f64 = 200.0;
/// Mean number of pages per query: two for a small answer, and twenty for one query in ten.
const PAGES_PER_QUERY: f64 = 3.8;
/// Timeout of a query, from the time at which it is due.
const OVERLOAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Loads as multiples of the capacity of the servers.
const LOAD_FACTORS: [f64; 3] = [0.5, 2.0, 4.0];
/// One in this many queries requests a large answer.
const QUERIES_PER_LARGE_ANSWER: u64 = 10;
/// `limit` of a query that requests a large answer.
const LARGE_LIMIT: usize = 5_000;
/// `limit` of all other queries.
const SMALL_LIMIT: usize = 10;

/// Columns of the overload table.
const OVERLOAD_COLUMNS: [&str; 8] = [
    "program and limits",
    "load factor",
    "queries",
    "in time",
    "share",
    "rejected",
    "late or failed",
    "p99 ms",
];

/// Measures the queries answered in time below and beyond the capacity of the servers, with
/// adaptive and with fixed limits.
pub(super) fn measure_overload(
    plan: &Plan,
    bed: &TestBed,
    text: &mut String,
) -> Result<(), RunError> {
    let capacity = Capacity {
        slots: SERVER_SLOTS,
        base: PAGE_TIME,
        per_feature: Duration::ZERO,
    };
    bed.servers
        .iter()
        .for_each(|server| server.set_capacity(Some(capacity)));
    write_introduction(text, total_pages_per_second(bed));
    write_header(text, &OVERLOAD_COLUMNS);
    for factor in LOAD_FACTORS {
        for version in &plan.versions {
            for limits in limits_of(version) {
                let case = OverloadCase {
                    version,
                    limits,
                    factor,
                };
                let load = case.run(plan, bed)?;
                case.write_row(text, &load);
            }
        }
    }
    bed.servers
        .iter()
        .for_each(|server| server.set_capacity(None));
    text.push('\n');
    Ok(())
}

fn write_introduction(text: &mut String, pages_per_second: f64) {
    let _ = writeln!(
        text,
        "Servers with 4 slots and 20 ms of work a page (together {pages_per_second:.0} pages a second); \
         clients request pages of 10 features (2 pages of servers, as both shards are queried) at \
         a constant rate with a timeout of 1 s; one query in ten requests 5,000 features. In time: \
         queries answered within 1 s of their arrival.\n"
    );
}

fn limits_of(version: &Version) -> &'static [Limits] {
    if version.name == THIS_VERSION {
        THIS_VERSION_LIMITS
    } else {
        EARLIER_VERSION_LIMITS
    }
}

/// Load on a version with named limits.
struct OverloadCase<'a> {
    version: &'a Version,
    limits: &'a Limits,
    /// Load as a multiple of the capacity of the servers.
    factor: f64,
}

impl OverloadCase<'_> {
    fn run(&self, plan: &Plan, bed: &TestBed) -> Result<LoadResult, RunError> {
        let rows = bed.inventory();
        let tables = format!("{SHORT_DEADLINE_CLASS}{}", self.limits.settings);
        let configuration = Configuration {
            settings: SETTINGS,
            inventory_rows: &rows,
            tables: &tables,
        };
        let process = FeatureFrontProcess::start(&self.version.program, &configuration)?;
        let open_loop = OpenLoop {
            address: process.address,
            rate: total_pages_per_second(bed) * self.factor / PAGES_PER_QUERY,
            duration: plan.load_duration,
            timeout: OVERLOAD_TIMEOUT,
        };
        let load = open_loop.run(|number| {
            let limit = if number % QUERIES_PER_LARGE_ANSWER == 0 {
                LARGE_LIMIT
            } else {
                SMALL_LIMIT
            };
            format!("/collections/devices/items?limit={limit}")
        });
        Ok(load?)
    }

    fn write_row(&self, text: &mut String, load: &LoadResult) {
        let total = load.total();
        let _ = writeln!(
            text,
            "| {} {} | {} | {total} | {} | {:.2} | {} | {} | {:.0} |",
            self.version.name,
            self.limits.name,
            self.factor,
            load.served,
            load.served as f64 / total.max(1) as f64,
            load.rejected,
            load.failed,
            load.quantile_ms(0.99)
        );
    }
}

fn total_pages_per_second(bed: &TestBed) -> f64 {
    PAGES_PER_SECOND * bed.servers.len() as f64
}
