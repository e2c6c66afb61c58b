//! The active settings, and the settings for the policy that are derived from them.
//!
//! The times in the settings are nanoseconds, as in the policy; the coordinator's own times are
//! [`Micros`].

use super::messages::ProcessGeneration;
use crate::interface::{Class, RetryBudget, Settings};
use crate::time::Micros;

/// The time from the policy's decision to answer until the client has the last byte of the answer:
/// the coordinator ends its turn, encodes some hundred values and sends them. The policy's own
/// margin is a few of its ticks, which are too short for that in some deployments.
const RESPONSE_MARGIN: Micros = Micros::from_millis(10);
/// The number of processes that share the limits of one during a hand-over.
const PROCESSES_IN_HAND_OVER: u32 = 2;

/// The active settings, the maximum number of reserved slots, and whether another process shares
/// both.
#[derive(Debug)]
pub(super) struct ActiveSettings {
    settings: Settings,
    max_in_flight: usize,
    /// The role of this process while another one shares the limits; `None` if none does.
    generation: Option<ProcessGeneration>,
}

impl ActiveSettings {
    /// Creates the settings of a process that does not share its limits.
    pub(super) fn new(settings: Settings, max_in_flight: usize) -> Self {
        Self {
            settings: without_follow_ups(settings),
            max_in_flight,
            generation: None,
        }
    }

    /// Replaces the settings after a reload.
    pub(super) fn replace(&mut self, settings: Settings, max_in_flight: usize) {
        self.settings = without_follow_ups(settings);
        self.max_in_flight = max_in_flight;
    }

    /// Sets the role of this process while another one shares the limits; `None` once none does.
    pub(super) fn set_generation(&mut self, generation: Option<ProcessGeneration>) {
        self.generation = generation;
    }

    /// Returns the configured classes.
    pub(super) fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// Returns the number of queries and parts that may be reserved now.
    pub(super) fn max_reserved_slots(&self) -> usize {
        match self.generation {
            Some(_) => self.max_in_flight / PROCESSES_IN_HAND_OVER as usize,
            None => self.max_in_flight,
        }
    }

    /// Returns the maximum number of attempts in one call to a server, at least 1.
    pub(super) fn max_batch(&self) -> usize {
        self.settings.max_batch.max(1) as usize
    }

    /// Returns whether a part may have two attempts in flight.
    pub(super) fn hedging(&self) -> bool {
        self.settings.hedging
    }

    /// Returns the longest `Retry-After` of a rejection; `None` if rejections carry none.
    pub(super) fn max_retry_after(&self) -> Option<Micros> {
        self.settings.max_retry_after.map(Micros::from_nanos)
    }

    /// Returns the settings for a new policy.
    pub(super) fn for_new_policy(&self) -> Settings {
        with_response_margin(self.settings.clone())
    }

    /// Returns the settings for the running policy, with these classes. Each of two processes
    /// counts as two coordinators, which halves its share of every limit. The successor has no free
    /// retries, since the predecessor may have used them.
    pub(super) fn for_policy(&self, classes: Vec<Class>) -> Settings {
        let mut settings = Settings {
            classes,
            ..self.settings.clone()
        };
        if let Some(generation) = self.generation {
            settings.coordinators *= PROCESSES_IN_HAND_OVER;
            if generation == ProcessGeneration::Successor {
                settings.retry_budget = settings.retry_budget.map(|budget| RetryBudget {
                    free: 0.0,
                    ..budget
                });
            }
        }
        with_response_margin(settings)
    }
}

/// Shortens each latency objective by the response margin, but by at most half.
fn with_response_margin(mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        let shortened = class
            .latency_objective
            .saturating_sub(RESPONSE_MARGIN.to_nanos());
        class.latency_objective = shortened.max(class.latency_objective / 2);
    }
    settings
}

/// Removes the follow-up parts: neither front has queries with a follow-up step.
fn without_follow_ups(mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        class.follow_up_parts = 0;
    }
    settings
}

#[cfg(test)]
mod tests;
