//! The figures of the front for feature queries: this version beside another in one run, over the same stand-ins.

use crate::client::Client;
use crate::feature_server::{devices, Capabilities, Capacity, FeatureServer};
use crate::load::{closed, Load};
use crate::process::EdgeProcess;
use std::fmt::Write as _;
use std::io::Result;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What is measured beside what.
pub struct Plan {
    /// Programs: a name and a file each.
    pub programs: Vec<(String, PathBuf)>,
    /// How long each load lasts.
    pub seconds: u64,
    /// Features of each of the two shards.
    pub each: usize,
}

const CLASSES: &str = "
[[class]]
name = \"map\"
aim_ms = 8000
deadline_ms = 10000
";
const TIGHT: &str = "
[[class]]
name = \"map\"
aim_ms = 1000
deadline_ms = 1500
";

/// The earlier version reads whole shards, which takes more than the default allows.
const ROOM: &str = "most_bytes = 33554432";

struct TestBed {
    servers: Vec<FeatureServer>,
}

impl TestBed {
    fn new(each: usize) -> Result<TestBed> {
        let of = |from: usize| FeatureServer::start(devices(from..from + each), Capabilities::All);
        Ok(TestBed { servers: vec![of(0)?, of(0)?, of(each)?, of(each)?] })
    }

    fn rows(&self) -> String {
        let held = ["devices/north", "devices/north", "devices/south", "devices/south"];
        self.servers.iter().zip(held).enumerate().map(|(n, (s, h))| s.row(&format!("s{n}"), h, "")).collect()
    }

    fn asked(&self) -> (u64, u64) {
        (
            self.servers.iter().map(FeatureServer::asked).sum(),
            self.servers.iter().map(FeatureServer::bytes).sum(),
        )
    }
}

/// Makes all measurements and gives them as tables in Markdown.
pub fn run(plan: &Plan) -> Result<String> {
    let bed = TestBed::new(plan.each)?;
    let mut text = String::new();
    let _ = writeln!(
        text,
        "Two shards of {} features, each on two stand-ins; servers' pages of 500 at most.\n",
        plan.each
    );
    answers(plan, &bed, &mut text)?;
    loads(plan, &bed, &mut text)?;
    memory(plan, &bed, &mut text)?;
    share(plan, &bed, &mut text)?;
    overload(plan, &bed, &mut text)?;
    Ok(text)
}

fn start(program: &Path, bed: &TestBed, settings: &str, classes: &str) -> Result<EdgeProcess> {
    EdgeProcess::start(program, settings, &bed.rows(), classes)
}

/// Requests, bytes and time of an answer, and of all answers over `next`.
fn answers(plan: &Plan, bed: &TestBed, text: &mut String) -> Result<()> {
    let _ = writeln!(text, "| program | query | status | features | requests to servers | KiB read | KiB more memory | ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, program) in &plan.programs {
        let queries = [
            ("limit=2", "/collections/devices/items?limit=2"),
            ("limit=100", "/collections/devices/items?limit=100"),
            ("limit=5000", "/collections/devices/items?limit=5000"),
            ("a box, limit=100", "/collections/devices/items?limit=100&bbox=-120.1,37.9,-119.9,38.1"),
            ("an area, limit=100", "/collections/devices/items?limit=100&filter=S_INTERSECTS(geometry,POLYGON((-121%2037,-120%2037,-121%2038,-121%2037)))"),
            ("sortby=-volts, limit=100", "/collections/devices/items?limit=100&sortby=-volts"),
        ];
        for (what, target) in queries {
            // A program of its own for each, so that its most memory is this answer's; the first answer warms it.
            let edge = start(program, bed, ROOM, CLASSES)?;
            let mut client = Client::new(edge.address);
            client.get("/collections/devices/items/d00001")?;
            let (before, resident) = (bed.asked(), edge.memory("VmHWM").unwrap_or(0));
            let began = std::time::Instant::now();
            let answer = client.get(target)?;
            let ms = began.elapsed().as_secs_f64() * 1e3;
            let after = bed.asked();
            let _ = writeln!(
                text,
                "| {name} | {what} | {} | {} | {} | {} | {} | {ms:.1} |",
                answer.status,
                answer.ids().len(),
                after.0 - before.0,
                (after.1 - before.1) / 1024,
                edge.memory("VmHWM").unwrap_or(0).saturating_sub(resident)
            );
        }
        let edge = start(program, bed, ROOM, CLASSES)?;
        let mut client = Client::new(edge.address);
        client.timeout = Duration::from_secs(60);
        for limit in [500, 5_000] {
            let (before, began) = (bed.asked(), std::time::Instant::now());
            let (mut at, mut count, mut answers) =
                (Some(format!("/collections/devices/items?limit={limit}")), 0, 0);
            while let Some(target) = at {
                let answer = client.get(&target)?;
                count += answer.ids().len();
                answers += 1;
                at = answer
                    .link("next")
                    .filter(|_| answers < 200 && began.elapsed() < Duration::from_secs(60));
            }
            let after = bed.asked();
            let _ = writeln!(
                text,
                "| {name} | all by next, limit={limit} ({answers} answers) | 200 | {count} | {} | {} | {} | {:.0} |",
                after.0 - before.0, (after.1 - before.1) / 1024, edge.memory("VmHWM").unwrap_or(0), began.elapsed().as_secs_f64() * 1e3
            );
        }
    }
    text.push_str("\nMemory of `all by next` is all that the program had resident at most.\n\n");
    Ok(())
}

fn quantiles(load: &Load) -> String {
    format!("{:.1} | {:.1} | {:.1}", load.ms(0.5), load.ms(0.99), load.ms(0.999))
}

/// Times at three loads.
fn loads(plan: &Plan, bed: &TestBed, text: &mut String) -> Result<()> {
    let _ = writeln!(text, "`limit=100` by so many clients at a time, {} s each:\n", plan.seconds);
    let _ = writeln!(text, "| program | clients | answers a second | p50 ms | p99 ms | p99.9 ms | refused | failed |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    for clients in [1, 8, 32] {
        for (name, program) in &plan.programs {
            let edge = start(program, bed, ROOM, CLASSES)?;
            let load = closed(edge.address, clients, Duration::from_secs(plan.seconds), |_, _| {
                "/collections/devices/items?limit=100".to_owned()
            });
            let _ = writeln!(
                text,
                "| {name} | {clients} | {:.0} | {} | {} | {} |",
                load.rate(),
                quantiles(&load),
                load.refused,
                load.failed
            );
        }
    }
    text.push('\n');
    Ok(())
}

/// Memory with a hundred clients at five thousand features each.
fn memory(plan: &Plan, bed: &TestBed, text: &mut String) -> Result<()> {
    let _ = writeln!(text, "100 clients at `limit=5000`, {} s:\n", plan.seconds);
    let _ = writeln!(text, "| program | answers | refused | failed | MiB resident before | MiB at most |\n| --- | --- | --- | --- | --- | --- |");
    for (name, program) in &plan.programs {
        let edge = start(program, bed, ROOM, CLASSES)?;
        let before = edge.memory("VmRSS").unwrap_or(0);
        let load = closed(edge.address, 100, Duration::from_secs(plan.seconds), |_, _| {
            "/collections/devices/items?limit=5000".to_owned()
        });
        let most = edge.memory("VmHWM").unwrap_or(0);
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} | {} | {} |",
            load.served,
            load.refused,
            load.failed,
            before / 1024,
            most / 1024
        );
    }
    text.push('\n');
    Ok(())
}

/// Throughput as a share of one stand-in asked directly.
fn share(plan: &Plan, bed: &TestBed, text: &mut String) -> Result<()> {
    let lasts = Duration::from_secs(plan.seconds);
    let direct =
        closed(bed.servers[0].address, 8, lasts, |_, _| "/collections/north/items?limit=100".to_owned());
    let _ = writeln!(
        text,
        "`limit=100` by 8 clients, beside one stand-in asked directly ({:.0} answers a second):\n",
        direct.rate()
    );
    let _ = writeln!(text, "| program | answers a second | share |\n| --- | --- | --- |");
    for (name, program) in &plan.programs {
        let edge = start(program, bed, ROOM, CLASSES)?;
        let load = closed(edge.address, 8, lasts, |_, _| "/collections/devices/items?limit=100".to_owned());
        let _ = writeln!(text, "| {name} | {:.0} | {:.2} |", load.rate(), load.rate() / direct.rate());
    }
    text.push('\n');
    Ok(())
}

/// Worth answered in time beyond what the servers bear, with limits that follow and with fixed ones.
fn overload(plan: &Plan, bed: &TestBed, text: &mut String) -> Result<()> {
    let capacity = Capacity { slots: 4, base: Duration::from_millis(20), each: Duration::ZERO };
    bed.servers.iter().for_each(|s| s.capacity(Some(capacity)));
    // Each server does 4 / 20 ms = 200 pages a second.
    let bears = 200.0 * 4.0;
    let _ = writeln!(
        text,
        "Servers of 4 slots and 20 ms a page (together {bears:.0} pages a second); clients ask one device's page (a first answer \
         asks both shards: 2 pages) at a steady rate and want it within 1 s; one in ten asks 5,000 features. In time: answers \
         within 1 s of those asked for.\n"
    );
    let _ = writeln!(text, "| program and limits | times what they bear | asked | in time | share | refused | late or failed | p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    let adaptive = "[limits]\nmode = \"adaptive\"\n";
    let fixed = "[limits]\nmode = \"fixed\"\nadmission = false\n";
    for times in [0.5, 2.0, 4.0] {
        for (name, program) in &plan.programs {
            let ways: &[(&str, &str)] = if name == "this version" {
                &[("adaptive", adaptive), ("fixed", fixed)]
            } else {
                &[("", "")]
            };
            for (way, settings) in ways {
                let edge = EdgeProcess::start(program, ROOM, &bed.rows(), &format!("{TIGHT}{settings}"))?;
                let rate = bears * times / 3.8;
                let load = crate::load::open(
                    edge.address,
                    rate,
                    Duration::from_secs(plan.seconds),
                    Duration::from_millis(1_000),
                    |n| {
                        let limit = if n % 10 == 0 { 5_000 } else { 10 };
                        format!("/collections/devices/items?limit={limit}")
                    },
                );
                let asked = load.served + load.refused + load.failed;
                let _ = writeln!(
                    text,
                    "| {name} {way} | {times} | {asked} | {} | {:.2} | {} | {} | {:.0} |",
                    load.served,
                    load.served as f64 / asked.max(1) as f64,
                    load.refused,
                    load.failed,
                    load.ms(0.99)
                );
            }
        }
    }
    bed.servers.iter().for_each(|s| s.capacity(None));
    text.push('\n');
    Ok(())
}
