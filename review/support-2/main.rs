//! The cases of the second review. `cases NAME FOLDER` runs a case: it writes `record.txt` to the
//! folder and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! `TROUBLE=0` leaves the disruption out.

mod case_drawn_area;
mod case_gone_shard;
mod case_poll_backoff;
mod case_resumed_page;
mod case_sorted_pages;
mod data_node;
mod discovery;
mod edge;
mod feature_server;
mod http;
mod load;
mod program;
mod record;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::time::Duration;

/// The longest time that a case may take.
const LONGEST_RUN: Duration = Duration::from_secs(117);

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

/// The surroundings of a case.
pub struct Setting {
    pub record: Record,
    /// A temporary folder of this run.
    pub directory: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let run = match name.as_str() {
        "drawn-area" => case_drawn_area::run,
        "gone-shard" => case_gone_shard::run,
        "poll-backoff" => case_poll_backoff::run,
        "resumed-page" => case_resumed_page::run,
        "sorted-pages" => case_sorted_pages::run,
        _ => {
            eprintln!("no case has the name {name}");
            exit(2);
        }
    };
    let directory = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&directory) {
        eprintln!("no temporary folder: {error}");
        exit(2);
    }
    let record = Record::new(Path::new(folder).join("record.txt"));
    start_watchdog(record.clone());
    let setting = Setting {
        record: record.clone(),
        directory: directory.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.note(format!("case {name}, disruption: {}", setting.trouble));
    let code = match run(&setting) {
        Ok(Verdict::Held) => (0, "held".to_owned()),
        Ok(Verdict::Broken(reason)) => (1, format!("broken: {reason}")),
        Err(error) => (2, format!("not run: {error}")),
    };
    program::end_all();
    record.note(code.1.clone());
    record.write();
    println!("{}", code.1);
    let _ = std::fs::remove_dir_all(&directory);
    exit(code.0);
}

/// Ends the run if it takes too long.
fn start_watchdog(record: Record) {
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_RUN);
        program::end_all();
        record.note("not run: it took too long");
        record.write();
        println!("not run: it took too long");
        exit(2);
    });
}
