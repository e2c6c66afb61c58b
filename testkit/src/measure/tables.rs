//! Measurements of single answers, latencies, memory and throughput, as tables in Markdown.

use super::test_bed::{ServerWork, TestBed};
use super::{write_header, Plan, Version};
use crate::client::Client;
use crate::error::RunError;
use crate::load::{ClosedLoop, LoadResult};
use crate::process::FeatureFrontProcess;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

/// Number of bytes per KiB, and of KiB per MiB.
const KIB: u64 = 1024;
/// Target of a page at the feature front.
const PAGE_TARGET: &str = "/collections/devices/items?limit=100";
/// Target of a page of the same size at a server.
const SERVER_PAGE_TARGET: &str = "/collections/north/items?limit=100";
const LARGE_PAGE_TARGET: &str = "/collections/devices/items?limit=5000";
/// Target of the query that opens the connections before the measurement.
const WARM_UP_TARGET: &str = "/collections/devices/items/d00001";
/// Numbers of concurrent clients in the measurement of latencies.
const CLIENT_COUNTS: [usize; 3] = [1, 8, 32];
/// Number of concurrent clients in the measurement of memory.
const MEMORY_CLIENTS: usize = 100;
/// Number of concurrent clients in the measurement of throughput.
const THROUGHPUT_CLIENTS: usize = 8;
/// Maximum number of pages of a traversal of `next` links.
const MAX_TRAVERSED_PAGES: usize = 200;
/// Maximum duration of a traversal of `next` links, and timeout of each of its pages.
const TRAVERSAL_TIMEOUT: Duration = Duration::from_secs(60);

/// Name of the peak resident memory in `/proc/PID/status`.
const PEAK_MEMORY: &str = "VmHWM";
/// Name of the resident memory in `/proc/PID/status`.
const RESIDENT_MEMORY: &str = "VmRSS";

/// Query that is measured individually.
struct SingleQuery {
    description: &'static str,
    target: &'static str,
}

const SINGLE_QUERIES: [SingleQuery; 6] = [
    SingleQuery {
        description: "limit=2",
        target: "/collections/devices/items?limit=2",
    },
    SingleQuery {
        description: "limit=100",
        target: PAGE_TARGET,
    },
    SingleQuery {
        description: "limit=5000",
        target: LARGE_PAGE_TARGET,
    },
    SingleQuery {
        description: "a box, limit=100",
        target: "/collections/devices/items?limit=100&bbox=-120.1,37.9,-119.9,38.1",
    },
    SingleQuery {
        description: "an area, limit=100",
        target: "/collections/devices/items?limit=100&filter=S_INTERSECTS(\
                 geometry,POLYGON((-121%2037,-120%2037,-121%2038,-121%2037)))",
    },
    SingleQuery {
        description: "sortby=-volts, limit=100",
        target: "/collections/devices/items?limit=100&sortby=-volts",
    },
];

/// Columns of the table of single answers.
const ANSWER_COLUMNS: [&str; 8] = [
    "program",
    "query",
    "status",
    "features",
    "requests to servers",
    "KiB read",
    "KiB memory growth",
    "ms",
];

/// Columns of the table of latencies.
const LATENCY_COLUMNS: [&str; 8] = [
    "program",
    "clients",
    "answers a second",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "rejected",
    "failed",
];

/// Columns of the table of memory.
const MEMORY_COLUMNS: [&str; 6] = [
    "program",
    "answers",
    "rejected",
    "failed",
    "MiB resident at start",
    "MiB peak",
];

/// Columns of the table of throughput.
const THROUGHPUT_COLUMNS: [&str; 3] = ["program", "answers a second", "share"];

/// Row of the table of single answers.
struct AnswerRow<'a> {
    version: &'a str,
    query: String,
    status: u16,
    features: usize,
    work: ServerWork,
    /// Growth of the peak memory; for a traversal, the peak memory.
    memory_kib: u64,
    /// Elapsed time in milliseconds, formatted.
    elapsed: String,
}

impl AnswerRow<'_> {
    fn write(&self, text: &mut String) {
        let AnswerRow {
            version,
            query,
            status,
            features,
            work,
            memory_kib,
            elapsed,
        } = self;
        let requests = work.requests;
        let read_kib = work.body_bytes / KIB;
        let _ = writeln!(
            text,
            "| {version} | {query} | {status} | {features} | {requests} | {read_kib} \
             | {memory_kib} | {elapsed} |"
        );
    }
}

/// Measures single answers, and traversals of all pages by their `next` links.
pub(super) fn measure_answers(
    plan: &Plan,
    bed: &TestBed,
    text: &mut String,
) -> Result<(), RunError> {
    write_header(text, &ANSWER_COLUMNS);
    for version in &plan.versions {
        for query in &SINGLE_QUERIES {
            measure_single_query(version, query, bed, text)?;
        }
        let process = bed.start_version(&version.program)?;
        for limit in [500, 5_000] {
            let traversal = Traversal {
                version,
                process: &process,
                bed,
                limit,
            };
            traversal.measure()?.write(text);
        }
    }
    text.push_str(
        "\nFor `all pages by next` the memory is the program's peak resident memory.\n\n",
    );
    Ok(())
}

/// Measures a query in a separate process, so that the peak memory is that of this answer.
fn measure_single_query(
    version: &Version,
    query: &SingleQuery,
    bed: &TestBed,
    text: &mut String,
) -> Result<(), RunError> {
    let process = bed.start_version(&version.program)?;
    let mut client = Client::new(process.address);
    client.get(WARM_UP_TARGET)?;
    let work_before = bed.work();
    let memory_before = memory_kib(&process, PEAK_MEMORY);
    let started = Instant::now();
    let response = client.get(query.target)?;
    let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
    let row = AnswerRow {
        version: &version.name,
        query: query.description.to_owned(),
        status: response.status,
        features: response.ids().len(),
        work: bed.work().since(work_before),
        memory_kib: memory_kib(&process, PEAK_MEMORY).saturating_sub(memory_before),
        elapsed: format!("{elapsed_ms:.1}"),
    };
    row.write(text);
    Ok(())
}

/// Traversal of `next` links to the last page.
struct Traversal<'a> {
    version: &'a Version,
    process: &'a FeatureFrontProcess,
    bed: &'a TestBed,
    /// `limit` of the first request.
    limit: usize,
}

impl<'a> Traversal<'a> {
    /// Follows the links and returns a row of the table.
    fn measure(&self) -> Result<AnswerRow<'a>, RunError> {
        let limit = self.limit;
        let mut client = Client::new(self.process.address);
        client.timeout = TRAVERSAL_TIMEOUT;
        let work_before = self.bed.work();
        let started = Instant::now();
        let mut next = Some(format!("/collections/devices/items?limit={limit}"));
        let mut features = 0;
        let mut pages = 0;
        while let Some(target) = next {
            let response = client.get(&target)?;
            features += response.ids().len();
            pages += 1;
            let is_within_limits =
                pages < MAX_TRAVERSED_PAGES && started.elapsed() < TRAVERSAL_TIMEOUT;
            next = response.link("next").filter(|_| is_within_limits);
        }
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        Ok(AnswerRow {
            version: &self.version.name,
            query: format!("all pages by next, limit={limit} ({pages} answers)"),
            status: 200,
            features,
            work: self.bed.work().since(work_before),
            memory_kib: memory_kib(self.process, PEAK_MEMORY),
            elapsed: format!("{elapsed_ms:.0}"),
        })
    }
}

fn memory_kib(process: &FeatureFrontProcess, name: &str) -> u64 {
    process.memory_kib(name).unwrap_or(0)
}

fn quantile_columns(load: &LoadResult) -> String {
    format!(
        "{:.1} | {:.1} | {:.1}",
        load.quantile_ms(0.5),
        load.quantile_ms(0.99),
        load.quantile_ms(0.999)
    )
}

/// Measures latencies at three closed-loop loads.
pub(super) fn measure_latencies(
    plan: &Plan,
    bed: &TestBed,
    text: &mut String,
) -> Result<(), RunError> {
    let seconds = plan.load_duration.as_secs();
    let _ = writeln!(
        text,
        "`limit=100` by several numbers of concurrent clients, {seconds} s each:\n"
    );
    write_header(text, &LATENCY_COLUMNS);
    for clients in CLIENT_COUNTS {
        for Version { name, program } in &plan.versions {
            let process = bed.start_version(program)?;
            let closed_loop = ClosedLoop {
                address: process.address,
                clients,
                duration: plan.load_duration,
            };
            let load = closed_loop.run(PAGE_TARGET);
            let _ = writeln!(
                text,
                "| {name} | {clients} | {:.0} | {} | {} | {} |",
                load.served_per_second(),
                quantile_columns(&load),
                load.rejected,
                load.failed
            );
        }
    }
    text.push('\n');
    Ok(())
}

/// Measures memory with [`MEMORY_CLIENTS`] clients that request large pages.
pub(super) fn measure_memory(
    plan: &Plan,
    bed: &TestBed,
    text: &mut String,
) -> Result<(), RunError> {
    let _ = writeln!(
        text,
        "{MEMORY_CLIENTS} clients at `limit=5000`, {} s:\n",
        plan.load_duration.as_secs()
    );
    write_header(text, &MEMORY_COLUMNS);
    for Version { name, program } in &plan.versions {
        let process = bed.start_version(program)?;
        let before_kib = memory_kib(&process, RESIDENT_MEMORY);
        let closed_loop = ClosedLoop {
            address: process.address,
            clients: MEMORY_CLIENTS,
            duration: plan.load_duration,
        };
        let load = closed_loop.run(LARGE_PAGE_TARGET);
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {} | {} |",
            load.served,
            load.rejected,
            load.failed,
            before_kib / KIB,
            memory_kib(&process, PEAK_MEMORY) / KIB
        );
    }
    text.push('\n');
    Ok(())
}

/// Measures throughput as a share of the throughput of one server that is queried directly.
pub(super) fn measure_throughput(
    plan: &Plan,
    bed: &TestBed,
    text: &mut String,
) -> Result<(), RunError> {
    let direct_loop = ClosedLoop {
        address: bed.servers[0].address,
        clients: THROUGHPUT_CLIENTS,
        duration: plan.load_duration,
    };
    let direct = direct_loop.run(SERVER_PAGE_TARGET);
    let _ = writeln!(
        text,
        "`limit=100` by {THROUGHPUT_CLIENTS} clients, compared with one stand-in server queried \
         directly ({:.0} answers a second):\n",
        direct.served_per_second()
    );
    write_header(text, &THROUGHPUT_COLUMNS);
    for Version { name, program } in &plan.versions {
        let process = bed.start_version(program)?;
        let load = ClosedLoop {
            address: process.address,
            ..direct_loop
        }
        .run(PAGE_TARGET);
        let share = load.served_per_second() / direct.served_per_second();
        let _ = writeln!(
            text,
            "| {name} | {:.0} | {share:.2} |",
            load.served_per_second()
        );
    }
    text.push('\n');
    Ok(())
}
