//! Statistics over all replicas (the fleet): response times and the use of connections.

mod connections;
mod latency;

#[cfg(test)]
mod tests;

pub use connections::ConnectionStatistics;
pub use latency::FleetLatency;

use crate::interface::Settings;

/// Gain of the averages over the fleet; small, since the answers of all replicas update them.
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
    /// Creates statistics whose response times are estimated from the classes' latency objectives
    /// until answers are observed.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        FleetStatistics {
            latency: FleetLatency::new(settings),
            connections: ConnectionStatistics::default(),
        }
    }
}
