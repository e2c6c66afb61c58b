//! The active settings and their form for the policy.

use super::messages::ProcessGeneration;
use crate::interface::{Class, RetryBudget, Settings};
use crate::time::Micros;

/// Kept free of a latency objective for the turn, the rendering of some hundred values and their way to the
/// client: the time of an answer is that of its last byte. The policy keeps a margin of a few of its own
/// ticks, which are short on some sites: without this one an answer that was given from some of its parts
/// just before the objective arrived after it.
const RESPONSE_MARGIN: Micros = Micros::from_millis(10);
/// During a hand-over two processes share the limits of one.
const PROCESSES_IN_HANDOVER: u32 = 2;

/// The active settings, the limit of reserved slots, and whether another process shares both.
#[derive(Debug)]
pub(super) struct ActiveSettings {
    settings: Settings,
    max_in_flight: usize,
    /// Which process this one is while another one shares the limits.
    generation: Option<ProcessGeneration>,
}

impl ActiveSettings {
    /// The settings of a process that has the limits to itself.
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

    /// Another process shares the limits from now on, or no longer does.
    pub(super) fn set_generation(&mut self, generation: Option<ProcessGeneration>) {
        self.generation = generation;
    }

    /// The configured classes.
    pub(super) fn classes(&self) -> &[Class] {
        &self.settings.classes
    }

    /// How many queries and parts may be reserved now.
    pub(super) fn max_reserved_slots(&self) -> usize {
        match self.generation {
            Some(_) => self.max_in_flight / PROCESSES_IN_HANDOVER as usize,
            None => self.max_in_flight,
        }
    }

    /// How many attempts one call to a server may carry; at least 1.
    pub(super) fn max_batch(&self) -> usize {
        self.settings.max_batch.max(1) as usize
    }

    /// Whether a part may have two attempts in flight.
    pub(super) fn hedging(&self) -> bool {
        self.settings.hedging
    }

    /// The longest `Retry-After` of a rejected client; `None` where rejections carry none.
    pub(super) fn max_retry_after(&self) -> Option<Micros> {
        self.settings.max_retry_after.map(Micros::from_nanos)
    }

    /// The settings for a new policy.
    pub(super) fn for_new_policy(&self) -> Settings {
        with_response_margin(self.settings.clone())
    }

    /// The settings for the running policy, with the classes that it is to know. One of two processes counts
    /// as two coordinators, which halves its share of every limit; free retries stay with the predecessor,
    /// which may have used them.
    pub(super) fn for_policy(&self, classes: Vec<Class>) -> Settings {
        let mut settings = Settings {
            classes,
            ..self.settings.clone()
        };
        if let Some(generation) = self.generation {
            settings.coordinators *= PROCESSES_IN_HANDOVER;
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

/// Moves each latency objective ahead by the response margin, but by no more than half of it.
fn with_response_margin(mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        let ahead = class
            .latency_objective
            .saturating_sub(RESPONSE_MARGIN.to_nanos());
        class.latency_objective = ahead.max(class.latency_objective / 2);
    }
    settings
}

/// Neither front has queries with a second step.
fn without_follow_ups(mut settings: Settings) -> Settings {
    for class in &mut settings.classes {
        class.follow_up_parts = 0;
    }
    settings
}

#[cfg(test)]
mod tests;
