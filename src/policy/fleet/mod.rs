//! Statistics over the answers of all replicas: response times and the use of connections.

mod connections;
mod latency;

#[cfg(test)]
mod tests;

pub use connections::ConnectionStatistics;
pub use latency::FleetLatency;

use crate::interface::Settings;

/// Gain of the averages over the fleet, which see many answers.
const FLEET_GAIN: f64 = 0.03;

/// All statistics over the fleet.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct FleetStatistics {
    /// Response times.
    pub latency: FleetLatency,
    /// Use of connections.
    pub connections: ConnectionStatistics,
}

impl FleetStatistics {
    /// Creates statistics that are estimated from the classes' objectives until answers are
    /// observed.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        FleetStatistics {
            latency: FleetLatency::new(settings),
            connections: ConnectionStatistics::default(),
        }
    }
}
