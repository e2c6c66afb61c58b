//! Measurements of the front for feature queries: this version and others in one run, over the same stand-ins.

mod overload;
mod tables;
mod test_bed;

use crate::error::RunError;
use overload::measure_overload;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Duration;
use tables::{measure_answers, measure_loads, measure_memory, measure_share};
use test_bed::TestBed;

/// The name of the program that is not an earlier version.
pub const THIS_VERSION: &str = "this version";

/// A version of the program.
pub struct Version {
    /// What the tables call it.
    pub name: String,
    /// Its file.
    pub program: PathBuf,
}

/// What is measured.
pub struct Plan {
    /// The versions, in the order of the tables' rows.
    pub versions: Vec<Version>,
    /// How long each load lasts.
    pub load_duration: Duration,
    /// Features of each of the two shards.
    pub features_per_shard: usize,
}

/// Makes all measurements and returns them as tables in Markdown.
///
/// # Errors
/// If a stand-in or a version can't be started, or a query that is measured by itself gets no response.
pub fn run(plan: &Plan) -> Result<String, RunError> {
    let bed = TestBed::start(plan.features_per_shard)?;
    let mut text = String::new();
    let _ = writeln!(
        text,
        "Two shards of {} features, each on two stand-ins; servers' pages of 500 at most.\n",
        plan.features_per_shard
    );
    measure_answers(plan, &bed, &mut text)?;
    measure_loads(plan, &bed, &mut text)?;
    measure_memory(plan, &bed, &mut text)?;
    measure_share(plan, &bed, &mut text)?;
    measure_overload(plan, &bed, &mut text)?;
    Ok(text)
}
