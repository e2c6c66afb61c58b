//! The quality of answers, and the controller that sets the admitted share of low worth by it.

use super::*;

/// Target of the controller, a share; the document has 0.9: from there to here shedding mends little.
const QUALITY_TARGET: f64 = 0.8;
/// Window of the quality readings, in ns: the design's 10 s.
pub(super) const QUALITY_WINDOW: Nanos = 10_000_000_000;
/// A replica that is not ready is forgotten after so many windows.
const GONE_WINDOWS: u64 = 3;
/// Readings wanted in a window: the document takes 20 of 100 requests; 6 cost more than they save.
pub(super) const WANTED_READINGS: f64 = 20.0;
/// Readings kept at most: more cost time each turn and tell nothing new.
pub(super) const MAX_READINGS: f64 = 200.0;
/// Least share of high-worth queries sampled: the document's.
pub(super) const MIN_SAMPLE: f64 = 0.2;
/// Period of the controller, in ticks; open queries are looked at after each tenth of it.
pub(super) const CONTROL_TICKS: u64 = 50;
/// Gains: of the error's change, the document's 40% for the current reading; of the error, per second: a
/// full swing takes about a window; of its second difference, small, since samples are few.
const GAINS: [f64; 3] = [0.4, 0.1, 0.05];
/// Bound of the error, in units of the room above the target: one bad reading must not empty the share.
const ERROR_BOUND: f64 = 3.0;

impl DecisionPolicy {
    /// Quality: the weight that was answered over the weight that would have been in by the record limit.
    /// A part that is missing counts if its replica has answered others since: then it is late, not lost.
    fn quality(&self) -> (f64, f64) {
        let from = self.now.saturating_sub(QUALITY_WINDOW);
        let (mut got, mut all, mut readings) = (0.0, 0.0, 0.0);
        let alive = |a: &Attempt| self.replicas.get(&a.replica).is_some_and(|r| r.last_ok > a.at);
        let late = |a: &Attempt| a.ended == Some(Outcome::Rejected) || alive(a);
        let ripe = |q: &&Query| q.first.is_some() || !q.open() || self.now >= q.due;
        for q in self.queries.values().filter(|q| q.sampled && q.taken >= from).filter(ripe) {
            let by = q.first.map_or(q.due, |f| f.0.min(q.due));
            for p in q.parts.iter().filter(|p| !p.second) {
                got += p.weight * f64::from(p.came.is_some_and(|t| t <= by));
                all += p.weight * f64::from(p.came.is_some() || p.attempts.iter().any(late));
            }
            readings += 1.0;
        }
        (if all > 0.0 { got / all } else { 1.0 }, readings)
    }

    pub(super) fn control(&mut self) {
        if self.now < self.control_at {
            return;
        }
        let period = self.settings.ticks(CONTROL_TICKS);
        self.control_at = self.now + period;
        let horizon = self.now.saturating_sub(QUALITY_WINDOW);
        self.queries.retain(|_, q| q.open() || (q.sampled && q.taken >= horizon));
        self.parts.retain(|_, (seq, _)| self.queries.contains_key(seq));
        // Replicas are replaced by new ones for ever; one that comes back is told anew, with its start.
        let unused = self.now.saturating_sub(GONE_WINDOWS * QUALITY_WINDOW);
        self.replicas.retain(|_, r| r.ready || !r.flights.is_empty() || r.listed > unused);
        self.placed.retain(|id, _| self.replicas.contains_key(id));
        self.retries.expire(self.now, self.settings.retry_budget.map_or(0, |b| 2 * b.window));
        self.balance();
        let (quality, readings) = self.quality();
        let trust = (readings / (WANTED_READINGS / 4.0)).min(1.0);
        let error = trust * ((quality - QUALITY_TARGET) / (1.0 - QUALITY_TARGET)).max(-ERROR_BOUND);
        let [last, before] = self.errors;
        let steps =
            [(error - last) / ERROR_BOUND, error * period as f64 / 1e9, (error - 2.0 * last + before)];
        let change = GAINS[0] * steps[0] + GAINS[1] * steps[1] + GAINS[2] * steps[2] / ERROR_BOUND;
        self.errors = [error, last];
        // Clamping the share itself is what keeps the integral from winding up.
        self.share = (self.share + change).clamp(0.0, 1.0);
    }
}
