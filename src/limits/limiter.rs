//! How many requests a server may have under way.
//!
//! Weighed: a fixed number (either too many for a server that lost cores or too few for one that has them), AIMD on errors
//! alone (a server that queues gives no errors until all of it is late), and a gradient on response times: where what is
//! usual now exceeds what a calm server takes, work waits there, and the limit shrinks by that ratio; else it grows by its
//! square root, which lets a short queue stand. The gradient is chosen, and errors that tell of overload cut it as AIMD does.

use crate::time::Micros;
use std::collections::VecDeque;

/// Times that long over the calm one are still calm: noise, and a queue of a few.
const TOLERANCE: f64 = 1.8;
/// Weight of a new time in what is usual now.
const GAIN: f64 = 0.2;
/// Weight of a new limit against the old one.
const SMOOTH: f64 = 0.4;
/// The calm time is the least of so many spans
const SPANS: usize = 6;
/// of this length: a server that became slower for good is calm again after all of them.
const SPAN: Micros = Micros::from_secs(5);
/// A server that always has a queue never shows its calm time: so often the limit is let down to its least,
const LET_DOWN: Micros = Micros::from_secs(8);
/// for so many of the times that are usual then: the queue ends, and what comes after it is calm.
const LET_DOWN_FOR: f64 = 2.5;
/// What overload does to the limit, at most once in a usual time.
const CUT: f64 = 0.7;
/// A limit grows only while at least this share of it is in use: else nothing tells what more would do.
const USED: f64 = 0.5;
/// A server's own wish to be left alone is followed for so long at most.
const MAX_HOLD: Micros = Micros::from_secs(30);

/// How limits are set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitRule {
    /// Always this many.
    Fixed(usize),
    /// Between these, from `start` on.
    Adaptive {
        /// At first.
        initial: usize,
        /// Never fewer: a server that gets nothing shows nothing.
        min: usize,
        /// Never more.
        max: usize,
    },
}

/// How a request ended, as far as limits go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered, with so many features.
    Success(usize),
    /// The server has too much: it said so.
    Overloaded,
    /// Given up here: overload if it had waited for long, else nothing follows from it.
    Cancelled,
    /// Otherwise: nothing follows from it.
    Ignored,
}

/// Answers are compared with those of about their size: a page of five hundred features takes longer than a look at one,
/// however calm the server is.
const SIZES: usize = 6;
/// A request given up after so many times the usual was in a jam.
const JAM: f64 = 4.0;

/// Times of answers of one size.
#[derive(Debug, Clone, Default)]
struct Track {
    /// What is usual now, in microseconds; 0 before any.
    now: f64,
    /// The least of each span: when it began, and what it was.
    calm: VecDeque<(Micros, f64)>,
}

impl Track {
    /// Takes a time in: how calm the server is, from 1 downward.
    fn saw(&mut self, now: Micros, took: f64) -> f64 {
        self.now = if self.now == 0.0 { took } else { self.now + (took - self.now) * GAIN };
        match self.calm.back_mut() {
            Some((began, least)) if now.since(*began) < SPAN => *least = least.min(took),
            _ => self.calm.push_back((now, took)),
        }
        while self.calm.len() > SPANS {
            self.calm.pop_front();
        }
        let calm = self.calm.iter().map(|c| c.1).fold(f64::INFINITY, f64::min);
        (TOLERANCE * calm / self.now).clamp(0.5, 1.0)
    }
}

/// The limit of one server.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    rule: LimitRule,
    limit: f64,
    /// What a request takes now, whatever its size, in microseconds.
    now: f64,
    tracks: [Track; SIZES],
    /// When the limit is let down next; while it is, what it was and until when.
    down_at: Option<Micros>,
    down: Option<(f64, Micros)>,
    moved: Micros,
    cut: Micros,
    back_off: Micros,
}

impl ConcurrencyLimiter {
    /// At the rule's start.
    pub fn new(rule: LimitRule) -> Self {
        let limit = match rule {
            LimitRule::Fixed(n) => n,
            LimitRule::Adaptive { initial: start, .. } => start,
        };
        ConcurrencyLimiter {
            rule,
            limit: limit as f64,
            now: 0.0,
            tracks: Default::default(),
            down_at: None,
            down: None,
            moved: Micros::ZERO,
            cut: Micros::ZERO,
            back_off: Micros::ZERO,
        }
    }

    /// How many may be under way.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// May another begin beside so many?
    pub fn has_capacity(&self, under_way: usize, now: Micros) -> bool {
        under_way < self.limit() && !self.is_backing_off(now)
    }

    /// Its server wishes to be left alone.
    pub fn is_backing_off(&self, now: Micros) -> bool {
        now < self.back_off
    }

    /// It wishes so for this long.
    pub fn hold(&mut self, now: Micros, wish: Micros) {
        self.back_off = self.back_off.max(now + wish.min(MAX_HOLD));
    }

    /// Requests a second that it bears as it is now, if that is known.
    pub fn throughput(&self) -> Option<f64> {
        let limit = self.down.map_or(self.limit, |d| d.0);
        (self.now > 0.0).then(|| limit * 1e6 / self.now)
    }

    /// A request has ended: how, after what time, with how many others beside it.
    pub fn record(&mut self, now: Micros, how: RequestOutcome, took: Micros, beside: usize) {
        match how {
            RequestOutcome::Ignored => {}
            RequestOutcome::Overloaded => self.overload(now),
            RequestOutcome::Cancelled if self.now > 0.0 && took.0 as f64 > JAM * self.now => {
                self.overload(now)
            }
            RequestOutcome::Cancelled => {}
            RequestOutcome::Success(features) => self.answered(now, features, took, beside),
        }
    }

    /// Is the limit let down now? Only while it has grown over its least, and comes back as it was.
    fn let_down(&mut self, now: Micros, least: usize) -> bool {
        if let Some((was, until)) = self.down {
            if now < until {
                return true;
            }
            (self.limit, self.down) = (was, None);
            self.now = 0.0;
            self.tracks.iter_mut().for_each(|t| t.now = 0.0);
            return false;
        }
        let due = *self.down_at.get_or_insert(now + Micros(LET_DOWN.0 / 8));
        if now >= due && self.limit > least as f64 + 0.5 {
            self.down_at = Some(now + LET_DOWN);
            self.down = Some((self.limit, now + Micros((self.now * LET_DOWN_FOR) as u64)));
            self.limit = least as f64;
            return true;
        }
        false
    }

    fn overload(&mut self, now: Micros) {
        let LimitRule::Adaptive { min: least, .. } = self.rule else { return };
        // Of a burst of errors that one jam brought, one counts.
        if now.since(self.cut) > Micros(self.now.max(10_000.0) as u64) {
            self.cut = now;
            self.limit = (self.limit * CUT).max(least as f64);
            self.down = self.down.map(|(was, until)| ((was * CUT).max(least as f64), until));
        }
    }

    fn answered(&mut self, now: Micros, features: usize, took: Micros, beside: usize) {
        let took = (took.0 as f64).max(1.0);
        self.now = if self.now == 0.0 { took } else { self.now + (took - self.now) * GAIN };
        let size = (features.checked_ilog2().map_or(0, |n| n / 2 + 1) as usize).min(SIZES - 1);
        let gradient = self.tracks[size].saw(now, took);
        let LimitRule::Adaptive { min: least, max: most, .. } = self.rule else { return };
        if self.let_down(now, least) {
            return;
        }
        // Once a usual time: answers that come sooner were begun under the limit before.
        if now.since(self.moved) < Micros(self.now as u64) {
            return;
        }
        let wanted = self.limit * gradient + self.limit.sqrt();
        if wanted > self.limit && (beside as f64) < USED * self.limit {
            return;
        }
        self.moved = now;
        let next = self.limit + (wanted - self.limit) * SMOOTH;
        self.limit = next.clamp(least as f64, most as f64);
    }
}

#[cfg(test)]
mod tests;
