//! How long the discovery watch waits before it is opened again.

use super::SILENT;
use crate::interface::Nanos;
use crate::time::Micros;
use std::time::Duration;

/// Waits between tries, doubled from the first to the last, where an agent beside the coordinator has the lists: it
/// answers at no cost, and what it has counts as told, at its return from silence too.
const AGENT_MS: (u64, u64) = (25, 250);
/// How long the first word of such an agent is waited for, doubled likewise: it answers at once, or a watch that was asked
/// for while it was silent may never be answered. Growing, for on a machine that is slow for long nothing would be heard.
const AGENT_WORD_MS: (u64, u64) = (500, SILENT.0 / 1_000);
/// The waits where one discovery serves all coordinators, from this share of the time that the settings give a coordinator
/// between two calls up to all of it: discovery has room for few calls at once and lets the others wait in vain, so what
/// all of them ask again has to become less until some of it is served.
const SHARED: u64 = 10;
/// And how long its first word is waited for: it answers late.
const SHARED_WORD_MS: u64 = 4_500;

/// How long to wait before a watch is asked for again: growing, and drawn, so that coordinators that lost it at one
/// moment do not come back at one; and how long for the first word of it.
#[derive(Debug)]
pub struct Backoff {
    pub(super) next: u64,
    word: u64,
    rng: fastrand::Rng,
}

impl Backoff {
    /// The first ones.
    pub fn new(seed: u64) -> Self {
        Backoff { next: 0, word: AGENT_WORD_MS.0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The wait after a watch that brought a list, or brought none. `ask_within`: the time after which a coordinator that
    /// does not ask counts as told, where lists are asked for.
    pub(super) fn after(&mut self, listed: bool, ask_within: Option<Nanos>) -> Duration {
        let most = |within| (Micros::from_nanos(within).0 / 1_000).max(1_000);
        let (least, most) = ask_within.map(most).map_or(AGENT_MS, |most| (most / SHARED, most));
        self.next = if listed { least } else { (self.next * 2).clamp(2 * least, most) };
        self.word = if listed { AGENT_WORD_MS.0 } else { (self.word * 2).min(AGENT_WORD_MS.1) };
        Duration::from_millis(self.rng.u64(self.next / 2..=self.next))
    }

    pub(super) fn first_word(&self, ask_within: Option<Nanos>) -> Micros {
        Micros::from_millis(if ask_within.is_some() { SHARED_WORD_MS } else { self.word })
    }
}

#[cfg(test)]
mod tests;
