//! What the answers of all replicas together tell: how long they take, and how connections fare.

use crate::interface::{ClassId, Nanos, Settings};
use crate::stats::Ewma;

/// Gain of the averages over the fleet, which see many answers.
const FLEET_GAIN: f64 = 0.03;
/// Share of a latency objective that stands for a response time before any was observed.
const INITIAL_SHARE: f64 = 0.125;
/// A response time counts in the baseline for at most so many times the baseline.
const OUTLIER_RATIO: f64 = 2.0;
/// Gain of a class's work where an answer took less than that, and where it took longer: only the quickest
/// answers tell the work itself.
const WORK_GAIN: f64 = 0.5;
const SLOW_WORK_GAIN: f64 = 0.002;

/// Idle connections count as dropped unseen when they lose so much more of what is sent than others.
const EXCESS_IDLE_LOSS: f64 = 0.25;

/// The work of a class's parts, as observed by the time of its answers.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClassWork {
    time: Ewma,
    observed: bool,
}

/// Response times of the fleet. All times are in ns.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct FleetLatency {
    mean: Ewma,
    baseline: Ewma,
    per_in_flight: Ewma,
    work: Vec<ClassWork>,
}

impl FleetLatency {
    /// Guesses by the classes' objectives, until answers are observed.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let guess = initial(settings.min_latency_objective());
        let work = |objective| ClassWork { time: initial(objective), observed: false };
        FleetLatency {
            mean: guess,
            baseline: guess,
            per_in_flight: Ewma::default(),
            work: settings.classes.iter().map(|class| work(class.latency_objective)).collect(),
        }
    }

    /// Takes new settings: each class goes on with the work of the class it is mapped to, if that was observed.
    pub fn apply_settings(&mut self, settings: &Settings, mapping: &[ClassId]) {
        let inherited = |from: &ClassId| self.work.get(usize::from(from.0)).copied().filter(|w| w.observed);
        let classes = settings.classes.iter().zip(mapping);
        let guess = |objective| ClassWork { time: initial(objective), observed: false };
        let work = classes.map(|(class, from)| inherited(from).unwrap_or(guess(class.latency_objective)));
        self.work = work.collect();
    }

    /// Records an answer: `in_flight` of this instance's attempts were at its replica, it included.
    pub fn record(&mut self, class: ClassId, elapsed: Nanos, in_flight: f64) {
        let elapsed = elapsed as f64;
        self.per_in_flight.record(elapsed / in_flight, FLEET_GAIN);
        self.mean.record(elapsed, FLEET_GAIN);
        self.baseline.record(elapsed.min(OUTLIER_RATIO * self.baseline.value()), FLEET_GAIN);
        let work = &mut self.work[usize::from(class.0)];
        let quick = elapsed < work.time.value();
        work.time.record(elapsed, if quick { WORK_GAIN } else { SLOW_WORK_GAIN });
        work.observed = true;
    }

    /// The smoothed response time.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean.value()
    }

    /// The smoothed response time without outliers: a few slow replicas hardly move it.
    #[must_use]
    pub fn baseline(&self) -> f64 {
        self.baseline.value()
    }

    /// The smoothed response time for each attempt in flight at the replica: what a queue there costs.
    #[must_use]
    pub fn per_in_flight(&self) -> f64 {
        self.per_in_flight.value()
    }

    /// The work of a class's parts; a guess until some was observed.
    #[must_use]
    pub fn work(&self, class: ClassId) -> f64 {
        self.work[usize::from(class.0)].time.value()
    }

    /// Answers of this class were observed.
    #[must_use]
    pub fn observed(&self, class: ClassId) -> bool {
        self.work[usize::from(class.0)].observed
    }

    /// Answers of any class were observed.
    #[must_use]
    pub fn any_observed(&self) -> bool {
        self.work.iter().any(|work| work.observed)
    }
}

fn initial(objective: Nanos) -> Ewma {
    Ewma::new(objective as f64 * INITIAL_SHARE)
}

/// All statistics over the fleet.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct FleetStatistics {
    /// Response times.
    pub latency: FleetLatency,
    /// Connections.
    pub connections: ConnectionUse,
}

impl FleetStatistics {
    /// Guesses by the classes' objectives, until answers are observed.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        FleetStatistics { latency: FleetLatency::new(settings), connections: ConnectionUse::default() }
    }
}

/// How often connections are used, and what share of the attempts on them is lost.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ConnectionUse {
    reuse_interval: Ewma,
    lost_in_use: Ewma,
    lost_idle: Ewma,
}

impl ConnectionUse {
    /// Records that a replica is used that was last used at `last`; 0: never. Two uses at one time are one.
    pub fn record_use(&mut self, last: Nanos, now: Nanos) {
        if last > 0 && last < now {
            self.reuse_interval.record((now - last) as f64, FLEET_GAIN);
        }
    }

    /// Records whether an attempt was lost, on a connection that had been idle or on another.
    pub fn record_attempt(&mut self, idle: bool, lost: bool) {
        let average = if idle { &mut self.lost_idle } else { &mut self.lost_in_use };
        average.record(f64::from(lost), FLEET_GAIN);
    }

    /// The smoothed time between two uses of a replica, in ns.
    #[must_use]
    pub fn reuse_interval(&self) -> f64 {
        self.reuse_interval.value()
    }

    /// Far more is lost on idle connections than on others: they are dropped unseen. An outage raises both.
    #[must_use]
    pub fn idle_are_dropped(&self) -> bool {
        self.lost_idle.value() > self.lost_in_use.value() + EXCESS_IDLE_LOSS
    }
}

#[cfg(test)]
mod tests;
