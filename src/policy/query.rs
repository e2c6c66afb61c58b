//! What is kept of a query: its parts, their attempts, how far it is.

use super::*;

/// A part is light under this share of an even weight: it costs as much as any and brings little.
const LIGHT_PART: f64 = 0.6;

#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) replica: ReplicaId,
    pub(super) at: Nanos,
    /// How it ended; `None` while it is out.
    pub(super) ended: Option<Outcome>,
}

impl Attempt {
    /// Rule 2: only these outcomes prove that it never ran.
    pub(super) fn may_have_run(&self) -> bool {
        self.ended.is_none_or(Outcome::may_have_run)
    }
}

#[derive(Debug, Default)]
pub(super) struct Part {
    pub(super) id: PartId,
    pub(super) class: ClassId,
    pub(super) shard: ShardId,
    pub(super) weight: f64,
    pub(super) second: bool,
    /// It is worth asking; see `trim`.
    pub(super) asked: bool,
    pub(super) attempts: Vec<Attempt>,
    /// Its answer came, at this time.
    pub(super) came: Option<Nanos>,
}

impl Part {
    pub(super) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ended.is_none()).count()
    }
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
    /// Calls off what is out.
    pub(super) fn call_off(&self) -> impl Iterator<Item = Action> + '_ {
        let out = self.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none());
        out.map(|(n, _)| Action::Cancel { part: self.id, attempt: AttemptNo(n as u16) })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    New,
    First,
    /// Answered once; the second step's parts are awaited or out.
    Second,
    /// Its final answer is given; kept only while it is a sample.
    Over,
}

#[derive(Debug)]
pub(super) struct Query {
    pub(super) id: QueryId,
    pub(super) class: ClassId,
    pub(super) group: GroupId,
    pub(super) worth: f64,
    pub(super) luck: f64,
    pub(super) stage: Stage,
    pub(super) taken: Nanos,
    /// The moment to answer by, so that the client has it within the aim.
    pub(super) due: Nanos,
    /// The moment of the final answer at the latest.
    pub(super) end: Nanos,
    pub(super) sampled: bool,
    /// When the first step was answered, and whether from all of it.
    pub(super) first: Option<(Nanos, bool)>,
    pub(super) parts: Vec<Part>,
}

impl Query {
    pub(super) fn open(&self) -> bool {
        self.stage != Stage::Over
    }
    /// Rule 5: the weight that is in, of the present step, each part once.
    pub(super) fn weight_in(&self) -> f64 {
        let second = self.stage == Stage::Second;
        self.parts.iter().filter(|p| p.second == second && p.came.is_some()).map(|p| p.weight).sum()
    }
    /// Beyond the admitted share parts with far less than an even weight are not asked, down to the floor.
    /// Nor are those that are to wait long, the longest first, down to half of what may be missing: they
    /// would be late, and take the room of queries that can't spare theirs.
    pub(super) fn trim(&mut self, floor: f64, admitted: f64, long: impl Iterator<Item = PartId>) {
        self.parts.sort_by(|a, b| b.weight.total_cmp(&a.weight));
        let light = LIGHT_PART / self.parts.len().max(1) as f64;
        let keep = floor + (1.0 - floor) * admitted;
        let mut left: f64 = self.parts.iter().map(|p| p.weight).sum();
        for p in self.parts.iter_mut().rev().filter(|p| p.weight < light) {
            left -= p.weight;
            p.asked = left < keep;
        }
        let mut left: f64 = self.parts.iter().filter(|p| p.asked).map(|p| p.weight).sum();
        for id in long {
            let part = self.parts.iter_mut().find(|p| p.id == id && p.asked);
            if let Some(p) = part.filter(|p| left - p.weight + 1e-6 >= (1.0 + floor) / 2.0) {
                (left, p.asked) = (left - p.weight, false);
            }
        }
    }

    /// All parts of the present step are in; of those `asked`, or of all there are.
    pub(super) fn complete(&self, asked: bool) -> bool {
        let second = self.stage == Stage::Second;
        let mut parts = self.parts.iter().filter(|p| p.second == second && (p.asked || !asked)).peekable();
        parts.peek().is_some() && parts.all(|p| p.came.is_some())
    }
}
