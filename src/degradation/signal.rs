//! The signals by which degradation levels are entered and left, and their latest values.

use crate::time::Micros;
use serde::Deserialize;
use std::fmt;

/// A measure of overload or degradation. Each is a share or a ratio, and a larger value is worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
pub enum Signal {
    /// Share of servers that are ejected as outliers.
    #[serde(rename = "avoided")]
    EjectedServers,
    /// Share of shards with exactly one healthy replica.
    #[serde(rename = "one_holder")]
    SingleReplicaShards,
    /// Share of shards without a healthy replica.
    #[serde(rename = "no_holder")]
    UnavailableShards,
    /// 1 minus the answer quality that the decision policy measures. Hung and lost parts are
    /// missing from that figure, so a table must combine this signal with another one.
    #[serde(rename = "lacking")]
    QualityLoss,
    /// Duration of one turn of the event loop, relative to the target for a turn.
    #[serde(rename = "turn_delay")]
    LoopDelay,
    /// Parts in flight, relative to the number that all servers together have sustained.
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

/// The number of signals.
pub const SIGNAL_COUNT: usize = 10;

impl Signal {
    /// All signals, in the order of their declaration.
    pub const ALL: [Signal; SIGNAL_COUNT] = [
        Signal::EjectedServers,
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
    /// Writes the name by which messages to operators refer to the signal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Signal::EjectedServers => "Avoided",
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

/// A signal with a value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SignalValue {
    /// The signal.
    pub signal: Signal,
    /// The value of the signal.
    pub value: f64,
}

/// A recorded value with the time of its recording.
#[derive(Debug, Clone, Copy)]
struct Reading {
    value: f64,
    at: Micros,
}

/// The latest value of each signal.
#[derive(Debug, Clone, Default)]
pub struct SignalReadings([Option<Reading>; SIGNAL_COUNT]);

impl SignalReadings {
    /// Records a value; one that is not finite is ignored.
    pub fn record(&mut self, signal: Signal, value: f64, now: Micros) {
        if value.is_finite() {
            self.0[signal as usize] = Some(Reading { value, at: now });
        }
    }

    /// Returns the latest value, unless it is older than `max_age`.
    #[must_use]
    pub fn latest(&self, signal: Signal, now: Micros, max_age: Micros) -> Option<f64> {
        let reading = self.0[signal as usize]?;
        (now.since(reading.at) <= max_age).then_some(reading.value)
    }
}
