//! Named levels of reduced service: signals in, a level and its effects out.
//!
//! This folder owns the operator's table of levels, the machine that moves between them, and the history of its moves. It
//! reads no clock and knows no socket. The module obeys a level as settings ([`Effects::on`]); nothing in the program enters
//! one yet (docs/design-levels.md says what comes next).

mod machine;
mod table;

pub use machine::{Change, Machine};
pub use table::{Condition, Effects, Level, Table, TableFault};

use crate::time::Micros;
use serde::Deserialize;

/// What levels are entered and left by. Each is a share or a ratio: larger is worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// Share of nodes that are avoided.
    Avoided,
    /// Share of shards with one sound holder.
    OneHolder,
    /// Share of shards with none.
    NoHolder,
    /// What the controller's quality lacks to 1. Hung and lost parts drop out of it, so it is never believed alone.
    Lacking,
    /// Delay of a turn of the core, over what is wanted of one.
    TurnDelay,
    /// Parts that are out, over what the fleet bore.
    Out,
    /// Attempts a part, less 1.
    Repeats,
    /// Share of refused clients that come back.
    ComeBack,
    /// Share of the descriptors in use.
    Descriptors,
    /// Share of the memory in use.
    Memory,
}

/// Signals that there are.
pub const SIGNALS: usize = 10;

impl Signal {
    /// All of them.
    pub const ALL: [Signal; SIGNALS] = [
        Signal::Avoided,
        Signal::OneHolder,
        Signal::NoHolder,
        Signal::Lacking,
        Signal::TurnDelay,
        Signal::Out,
        Signal::Repeats,
        Signal::ComeBack,
        Signal::Descriptors,
        Signal::Memory,
    ];
}

/// What signals said last, and when. One that was never told, or not lately, says nothing.
#[derive(Debug, Clone, Default)]
pub struct Readings([Option<(f64, Micros)>; SIGNALS]);

impl Readings {
    /// A signal says this now; what is no number says nothing.
    pub fn told(&mut self, signal: Signal, value: f64, now: Micros) {
        if value.is_finite() {
            self.0[signal as usize] = Some((value, now));
        }
    }

    /// What a signal says, if it spoke within `age`.
    pub fn of(&self, signal: Signal, now: Micros, age: Micros) -> Option<f64> {
        self.0[signal as usize].filter(|r| now.since(r.1) <= age).map(|r| r.0)
    }
}
