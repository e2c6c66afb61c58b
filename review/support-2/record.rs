//! The record of a run: what was sent, answered and run, with the time since the start.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all threads of a case share.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
    path: PathBuf,
}

impl Record {
    /// Creates an empty record that is written to `path`.
    pub fn new(path: PathBuf) -> Self {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
            path,
        }
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line at the current time, which it returns.
    pub fn note(&self, text: impl Into<String>) -> f64 {
        let at = self.seconds();
        self.note_at(at, text);
        at
    }

    /// Adds a line at an earlier time.
    pub fn note_at(&self, at: f64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes all lines to the file, in the order of their times.
    pub fn write(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|left, right| left.0.total_cmp(&right.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:9.3} {line}\n"))
            .collect();
        if let Err(error) = std::fs::write(&self.path, text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
