//! The record of a case, the common clock, and random numbers.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A file of lines, each with its time since the start of the case.
pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            started_at: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, text: impl AsRef<str>) {
        let seconds = self.now().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:8.3} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn report(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }

    /// Writes the verdict.
    pub fn conclude(&self, verdict: &str) {
        self.report(format!("verdict: {verdict}"));
    }
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Random numbers (SplitMix64).
pub struct Random(u64);

impl Random {
    /// Returns a sequence that the seed determines.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// Returns the next number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }
}
