//! Comparative measurements of the feature front: several versions of the program are measured in
//! one run with the same stand-in servers.

mod overload;
mod tables;
mod test_bed;

use crate::error::RunError;
use overload::measure_overload;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;
use tables::{measure_answers, measure_latencies, measure_memory, measure_throughput};
use test_bed::TestBed;

/// Name of the current version in the tables.
pub const THIS_VERSION: &str = "this version";

/// Version of the program.
pub struct Version {
    /// Name in the tables.
    pub name: String,
    /// Path of the executable.
    pub program: PathBuf,
}

/// Plan of a measurement.
pub struct Plan {
    /// Versions in the order of the table rows.
    pub versions: Vec<Version>,
    /// Duration of each load.
    pub load_duration: Duration,
    /// Number of features of each of the two shards.
    pub features_per_shard: usize,
}

/// Runs all measurements and returns them as tables in Markdown.
///
/// # Errors
/// Returns an error if a server or a version can't be started, or if a single query gets no
/// response.
pub fn run(plan: &Plan) -> Result<String, RunError> {
    let bed = TestBed::start(plan.features_per_shard)?;
    let mut text = String::new();
    let _ = writeln!(
        text,
        "Two shards of {} features, each on two stand-ins; servers' pages of 500 at most.\n",
        plan.features_per_shard
    );
    measure_answers(plan, &bed, &mut text)?;
    measure_latencies(plan, &bed, &mut text)?;
    measure_memory(plan, &bed, &mut text)?;
    measure_throughput(plan, &bed, &mut text)?;
    measure_overload(plan, &bed, &mut text)?;
    Ok(text)
}

/// Writes the header of a Markdown table.
fn write_header(text: &mut String, columns: &[&str]) {
    let separators = vec!["---"; columns.len()];
    let _ = writeln!(
        text,
        "| {} |\n| {} |",
        columns.join(" | "),
        separators.join(" | ")
    );
}
