//! Named levels of reduced service: signals in, a level and its effects out.
//!
//! This folder owns the operator's table of levels, the machine that moves between them, and the history of its moves. It
//! reads no clock and knows no socket. The module obeys a level as settings ([`Effects::on`]); nothing in the program enters
//! one yet (docs/design-levels.md says what comes next).

mod controller;
mod table;

pub use controller::{LevelController, Transition};
pub use table::{Condition, Effects, Level, LevelTable, LevelTableError};

use crate::time::Micros;
use serde::Deserialize;
use std::fmt;

/// What levels are entered and left by. Each is a share or a ratio: larger is worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
pub enum Signal {
    /// Share of nodes that are ejected as outliers.
    #[serde(rename = "avoided")]
    EjectedNodes,
    /// Share of shards with exactly one healthy replica.
    #[serde(rename = "one_holder")]
    SingleReplicaShards,
    /// Share of shards without a healthy replica.
    #[serde(rename = "no_holder")]
    UnavailableShards,
    /// 1 minus the quality that the decision policy measures. Hung and lost parts drop out of that figure, so a
    /// table must pair this signal with another one.
    #[serde(rename = "lacking")]
    QualityLoss,
    /// Duration of one turn of the event loop over the target for a turn.
    #[serde(rename = "turn_delay")]
    LoopDelay,
    /// Parts in flight over the number that the fleet has sustained.
    #[serde(rename = "out")]
    InFlightLoad,
    /// Attempts per part, minus 1.
    #[serde(rename = "repeats")]
    RetryRate,
    /// Share of rejected clients that retry.
    #[serde(rename = "come_back")]
    ReturningClients,
    /// Share of the file descriptors in use.
    #[serde(rename = "descriptors")]
    DescriptorUse,
    /// Share of the memory in use.
    #[serde(rename = "memory")]
    MemoryUse,
}

/// Signals that there are.
pub const SIGNAL_COUNT: usize = 10;

impl Signal {
    /// All of them.
    pub const ALL: [Signal; SIGNAL_COUNT] = [
        Signal::EjectedNodes,
        Signal::SingleReplicaShards,
        Signal::UnavailableShards,
        Signal::QualityLoss,
        Signal::LoopDelay,
        Signal::InFlightLoad,
        Signal::RetryRate,
        Signal::ReturningClients,
        Signal::DescriptorUse,
        Signal::MemoryUse,
    ];
}

impl fmt::Display for Signal {
    /// The name that messages to operators use.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Signal::EjectedNodes => "Avoided",
            Signal::SingleReplicaShards => "OneHolder",
            Signal::UnavailableShards => "NoHolder",
            Signal::QualityLoss => "Lacking",
            Signal::LoopDelay => "TurnDelay",
            Signal::InFlightLoad => "Out",
            Signal::RetryRate => "Repeats",
            Signal::ReturningClients => "ComeBack",
            Signal::DescriptorUse => "Descriptors",
            Signal::MemoryUse => "Memory",
        })
    }
}

/// What signals said last, and when. One that was never told, or not lately, says nothing.
#[derive(Debug, Clone, Default)]
pub struct SignalReadings([Option<(f64, Micros)>; SIGNAL_COUNT]);

impl SignalReadings {
    /// A signal says this now; what is no number says nothing.
    pub fn record(&mut self, signal: Signal, value: f64, now: Micros) {
        if value.is_finite() {
            self.0[signal as usize] = Some((value, now));
        }
    }

    /// What a signal says, if it spoke within `age`.
    pub fn latest(&self, signal: Signal, now: Micros, age: Micros) -> Option<f64> {
        self.0[signal as usize].filter(|r| now.since(r.1) <= age).map(|r| r.0)
    }
}
