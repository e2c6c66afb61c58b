//! The cases of the review: stand-ins for clients, servers and the platform around the project's
//! own program, and the checks of what they sent and received.
//!
//! `review-standins CASE FOLDER` plays a case and writes FOLDER/record.txt. It exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod data_node;
mod discovery;
mod feature_server;
mod http_client;
mod program;
mod record;
mod refused_after_run;
mod replaced_server;
mod short_frame;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

/// The time after which a case that has not ended could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// A case; it fails with a reason if it could not run.
type Case = fn(&Scene) -> Result<Verdict, String>;

/// What a case needs to know.
pub struct Scene {
    /// Whether the disruption happens.
    pub trouble: bool,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The record of the case.
    pub record: Arc<Record>,
    /// The folder of the case, for the log of the program.
    pub folder: PathBuf,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        exit(2);
    };
    let case: Case = match name.as_str() {
        "refused-after-run" => refused_after_run::play,
        "short-frame" => short_frame::play,
        "replaced-server" => replaced_server::play,
        _ => {
            eprintln!("there is no case {name:?}");
            exit(2);
        }
    };
    let folder = PathBuf::from(folder);
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            exit(2);
        }
    };
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let scene = Scene {
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        seed: seed.unwrap_or(1),
        record: record.clone(),
        folder,
    };
    record.note(format!("seed {}, trouble {}", scene.seed, scene.trouble));
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let _ = sender.send(case(&scene));
    });
    let result = receiver.recv_timeout(TIME_LIMIT);
    program::end_all();
    let status = match result {
        Ok(Ok(Verdict::Held)) => {
            record.conclude("held");
            0
        }
        Ok(Ok(Verdict::Broken)) => {
            record.conclude("BROKEN");
            1
        }
        Ok(Err(reason)) => {
            record.conclude(&format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            record.conclude("could not run: it panicked or took too long");
            2
        }
    };
    exit(status);
}
