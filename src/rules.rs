//! Every decision of the aggregator. Its types, events and actions: `src/interface.rs`.
//!
//! A batch is taken in first (`take`), then each open query is looked at in order of arrival (`step`): admit,
//! send, try further, answer or give up. Each rule has one guard, where its action leaves: `send`, `finish`.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ticks kept free before an aim: one to see the answer, one to send it, one for the way to the client.
const AIM_TICKS: u64 = 3;
/// Ticks kept free before the client's time is up.
const END_TICKS: u64 = 4;
/// Room for a second step, in typical response times: the last of its parts counts, and late is worth little.
const SECOND_ROOM: f64 = 2.5;
/// Most of an aim that is kept for a second step.
const SECOND_MOST: f64 = 0.35;
/// Target of the controller, a share; the document has 0.9: from there to here shedding mends little.
const QUALITY_TARGET: f64 = 0.8;
/// Window of the quality readings, in ns: the design's 10 s.
const QUALITY_WINDOW: Nanos = 10_000_000_000;
/// A replica that is not ready is forgotten after so many windows.
const GONE_WINDOWS: u64 = 3;
/// Readings wanted in a window: the document takes 20 of 100 requests; 6 cost more than they save.
const WANTED_READINGS: f64 = 20.0;
/// Readings kept at most: more cost time each turn and tell nothing new.
const MOST_READINGS: f64 = 200.0;
/// Least share of high-worth queries sampled: the document's.
const LEAST_SAMPLE: f64 = 0.2;
/// Period of the controller, in ticks; open queries are looked at after each tenth of it.
const CONTROL_TICKS: u64 = 50;
/// Gains: of the error's change, the document's 40% for the current reading; of the error, per second: a
/// full swing takes about a window; of its second difference, small, since samples are few.
const GAINS: [f64; 3] = [0.4, 0.1, 0.05];
/// Bound of the error, in units of the room above the target: one bad reading must not empty the share.
const ERROR_BOUND: f64 = 3.0;
/// Low-worth queries remembered to tell the least worth of them: enough for a rank.
const RANKED: usize = 64;
/// Weight of a new response time in a replica's pace.
const PACE_GAIN: f64 = 0.5;
/// The same for the typical figures of the fleet, which see many more answers.
const FLEET_GAIN: f64 = 0.03;
/// A pace loses half its distance to the fleet's in so many aims: a skipped replica gets another look.
const FADE_AIMS: f64 = 0.5;
/// Weight of a new answer in a replica's share of errors, which loses half of itself in so many aims.
const ERROR_GAIN: f64 = 0.15;
const ERROR_FADE_AIMS: f64 = 4.0;
/// What an error costs a part that may be repeated, in typical response times: the way there and another.
const ERROR_COST: f64 = 2.0;
/// Share of the aim that a pace fades to at most, so that a jam's memory can't outlive it.
const CALM_SHARE: f64 = 0.25;
/// Low-worth queries begin to be refused when their wait takes this share of the time they have.
const LOW_CROWD: (f64, f64) = (0.4, 1.1);
/// The same for light parts: earlier, since leaving them out costs the least.
const LIGHT_CROWD: (f64, f64) = (0.2, 0.7);
/// The same for the highest worth: from where it would be late, since an estimate errs both ways.
const TOP_CROWD: (f64, f64) = (0.8, 1.2);
/// A part is light under this share of an even weight: it costs as much as any and brings little.
const LIGHT_PART: f64 = 0.6;
/// A replica is skipped when its expected wait is so many times the best of the shard's.
const SKIP_RATIO: f64 = 1.4;
/// A part is overdue after so many times the fleet's usual response time.
const OVERDUE_RATIO: f64 = 5.5;
/// Cores assumed of a cold replica: the fewest it can have, less a fifth since work varies about its mean.
const COLD_CORES: f64 = 0.8;
/// Deviations by which what chance sends to a cold replica stays under the rule.
const CHANCE: f64 = 2.5;
/// A response time counts in the usual one for at most so many of those.
const ODD_RATIO: f64 = 2.0;
/// Share of an aim taken for a response time before any was seen.
const FIRST_GUESS: f64 = 0.125;
/// Idle connections are closed before use when they lose so much more of what is sent than others.
const IDLE_LOSS: f64 = 0.25;
/// After this fraction of the least aim an unused connection is idle.
const STALE: u64 = 4;
/// Share of `must-ask-in` within which an unanswered call for the list is made again.
const ASK_SHARE: u64 = 8;

#[derive(Debug)]
struct Attempt {
    replica: ReplicaId,
    at: Nanos,
    /// How it ended; `None` while it is out.
    ended: Option<Outcome>,
}

impl Attempt {
    /// Rule 2: only these outcomes prove that it never ran.
    fn may_have_run(&self) -> bool {
        !matches!(self.ended, Some(Outcome::Full | Outcome::ConnectFailed | Outcome::Moot))
    }
}

#[derive(Debug, Default)]
struct Part {
    id: PartId,
    class: ClassId,
    shard: ShardId,
    weight: f64,
    second: bool,
    /// It is worth asking; see `trim`.
    asked: bool,
    attempts: Vec<Attempt>,
    /// Its answer came, at this time.
    came: Option<Nanos>,
}

impl Part {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ended.is_none()).count()
    }
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    New,
    First,
    /// Answered once; the second step's parts are awaited or out.
    Second,
    /// Its final answer is given; kept only while it is a sample.
    Over,
}

#[derive(Debug)]
struct Query {
    id: QueryId,
    class: ClassId,
    group: Group,
    worth: f64,
    luck: f64,
    stage: Stage,
    taken: Nanos,
    /// The moment to answer by, so that the client has it within the aim.
    due: Nanos,
    /// The moment of the final answer at the latest.
    end: Nanos,
    sampled: bool,
    /// When the first step was answered, and whether from all of it.
    first: Option<(Nanos, bool)>,
    parts: Vec<Part>,
}

impl Query {
    fn open(&self) -> bool {
        self.stage != Stage::Over
    }
    /// Rule 5: the weight that is in, of the present step, each part once.
    fn weight_in(&self) -> f64 {
        let second = self.stage == Stage::Second;
        self.parts.iter().filter(|p| p.second == second && p.came.is_some()).map(|p| p.weight).sum()
    }
    /// Low-worth parts share the fate of such queries: beyond the admitted share those with far less than
    /// an even weight are not asked, down to the floor. Might hurt where a heavy part then fails.
    /// Nor are those that are to wait long, the longest first, down to half of what may be missing: they
    /// would be late, and take the room of queries that can't spare theirs.
    fn trim(&mut self, floor: f64, admitted: f64, long: impl Iterator<Item = PartId>) {
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
    fn complete(&self, asked: bool) -> bool {
        let second = self.stage == Stage::Second;
        let mut parts = self.parts.iter().filter(|p| p.second == second && (p.asked || !asked)).peekable();
        parts.peek().is_some() && parts.all(|p| p.came.is_some())
    }
}

#[derive(Debug, Default)]
struct Replica {
    cell: CellId,
    ready: bool,
    /// When a list last named it, or left it out as it was ready.
    listed: Nanos,
    /// When it is taken to have started; `None`: long ago.
    started: Option<Nanos>,
    /// Smoothed response time, and when it was last moved.
    pace: f64,
    paced: Nanos,
    last_ok: Nanos,
    /// Share of its answers that were errors, and when that was last moved.
    errors: f64,
    erred: Nanos,
    /// When a connection to it was last in use, and whether it had been idle then.
    used: Nanos,
    idle: bool,
    /// Silent failures in a row, and when the next trial is due.
    strikes: u32,
    trial_at: Nanos,
    flights: BTreeSet<(Nanos, PartId, AttemptNo)>,
    /// Work sent while cold.
    cold_sent: VecDeque<(Nanos, f64)>,
    /// Chance's part in when it gets its next one; see `cold_room`.
    cold_draw: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Final {
    Answer,
    /// Refused where that is true and harmless, failed otherwise.
    GiveUp,
}

/// How well a query may still fare, 0 to 1: from 1 at the first share of its time down to 0 at the second.
fn outlook(crowd: f64, (from, to): (f64, f64)) -> f64 {
    ((to - crowd) / (to - from)).clamp(0.0, 1.0)
}

/// Idle connections are dropped unseen: far more is lost on them than on others. An outage raises both.
fn reaped(lost: [f64; 2]) -> bool {
    lost[1] > lost[0] + IDLE_LOSS
}

fn least_aim(set: &Settings) -> Nanos {
    set.classes.iter().filter(|c| c.listed).map(|c| c.aim).min().unwrap_or(set.tick)
}

/// A part: its query, and its place there.
type PartAt = (u64, usize);

/// The decisions of one co-ordinator.
#[derive(Debug)]
pub struct Aggregator {
    set: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    least_aim: Nanos,
    queries: BTreeMap<u64, Query>,
    next_query: u64,
    parts: BTreeMap<PartId, PartAt>,
    /// Where each attempt is, its class, how many of this instance's were there, it included, and whether
    /// it went out on a connection that had been idle.
    flights: BTreeMap<(PartId, AttemptNo), (ReplicaId, ClassId, f64, bool)>,
    /// Share lost of what went out on connections in use or new, and on idle ones; see `reaped`.
    lost: [f64; 2],
    replicas: BTreeMap<ReplicaId, Replica>,
    holders: Vec<Vec<ReplicaId>>,
    /// What a replica holds where its cell does not tell.
    placed: BTreeMap<ReplicaId, BTreeSet<ShardId>>,
    turns: Vec<usize>,
    /// Typical response time of the fleet, and of a part of each class on an idle core.
    typical: f64,
    /// The same of what is not slow: a few slow replicas must not put off when their parts are overdue.
    usual: f64,
    /// Typical response time for each part that this instance has at the replica: what its queue costs.
    per_part: f64,
    /// Time between two uses of a replica: memory of its pace lasts no shorter.
    visits: f64,
    work: Vec<f64>,
    /// The classes whose work was seen; until then it is a guess.
    met: Vec<bool>,
    taken: VecDeque<Nanos>,
    extras: VecDeque<Nanos>,
    ranks: VecDeque<f64>,
    quotas: Vec<(f64, Nanos)>,
    share: f64,
    errors: [f64; 2],
    control_at: Nanos,
    ask_at: Option<Nanos>,
    wake: Nanos,
}

impl Aggregator {
    /// An instance that holds nothing yet.
    pub fn new(set: Settings, seed: u64, now: Nanos) -> Self {
        let least_aim = least_aim(&set);
        let mut rng = fastrand::Rng::with_seed(seed);
        // Where turns begin: were it the same everywhere, instances with little traffic would go in step.
        let turns = (0..set.shards).map(|_| rng.usize(..1 << 16)).collect();
        Self {
            rng,
            now,
            least_aim,
            queries: BTreeMap::new(),
            next_query: 0,
            parts: BTreeMap::new(),
            flights: BTreeMap::new(),
            lost: [0.0; 2],
            replicas: BTreeMap::new(),
            holders: vec![Vec::new(); set.shards as usize],
            placed: BTreeMap::new(),
            turns,
            typical: least_aim as f64 * FIRST_GUESS,
            usual: least_aim as f64 * FIRST_GUESS,
            per_part: 0.0,
            visits: 0.0,
            work: set.classes.iter().map(|c| c.aim as f64 * FIRST_GUESS).collect(),
            met: vec![false; set.classes.len()],
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            ranks: VecDeque::new(),
            quotas: vec![(1.0, now); set.tenants.len()],
            share: 1.0,
            errors: [0.0; 2],
            control_at: now,
            ask_at: set.ask_within.map(|_| now),
            wake: 0,
            set,
        }
    }

    /// Takes a batch of events that came at `now`, in order, and appends what is to be done, in order.
    pub fn handle(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.take(event, actions);
        }
        if self.ask_at.is_some_and(|at| at <= self.now) {
            actions.push(Action::Subscribe);
            self.ask_at = Some(self.now + self.set.ask_within.unwrap_or(Nanos::MAX) / 2);
        }
        self.control();
        let open: Vec<u64> = self.queries.keys().copied().collect();
        for seq in open {
            self.step(seq, actions);
        }
        self.wake_up(actions);
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { kind, members } => self.take_list(*kind, members),
            Event::Placement { replica, shards } => {
                self.grow(shards.iter().map(|s| s.0 as usize + 1).max().unwrap_or(0));
                self.placed.insert(*replica, shards.iter().copied().collect());
            }
            Event::Query { query, group, class, tenant, key, hint, time_left } => {
                let Some(c) = self.set.classes.get(usize::from(class.0)).cloned() else {
                    return actions.push(Action::Fail(*query));
                };
                let aim = (c.aim + (c.aim_stretch * hint.unwrap_or(0) as f64) as Nanos).min(c.deadline);
                // Time left tells no later try: a last one gets all that is left, which may be more than
                // a first one had, and an impatient client's first one comes with as little as any.
                let share = if self.over_quota(*tenant) { self.set.over_share_worth } else { 1.0 };
                let worth = c.points * share;
                // A key keeps its luck for a while: a client's next try should not gamble.
                let epoch = self.now / QUALITY_WINDOW;
                let dice = if *key == 0 { self.rng.u64(..) } else { *key };
                let luck = fastrand::Rng::with_seed(dice ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15)).f64();
                let end = self.now.saturating_add(time_left.saturating_sub(END_TICKS * self.set.tick));
                let due = self.now + aim.saturating_sub(AIM_TICKS * self.set.tick);
                self.taken.push_back(self.now);
                let seen = self.queries.values().filter(|q| q.sampled).count() as f64;
                let more = |rng: &mut fastrand::Rng| seen < MOST_READINGS && rng.f64() < LEAST_SAMPLE;
                let sampled = worth >= self.top() && (seen < WANTED_READINGS || more(&mut self.rng));
                let seq = self.next_query;
                self.next_query += 1;
                let q = Query {
                    id: *query,
                    class: *class,
                    group: *group,
                    worth,
                    luck,
                    stage: Stage::New,
                    taken: self.now,
                    due: due.min(end),
                    end,
                    sampled,
                    first: None,
                    parts: Vec::new(),
                };
                self.queries.insert(seq, q);
            }
            Event::Part { part, group, shard, weight } => {
                self.taken.push_back(self.now);
                let mut open = self.queries.iter_mut().rev().filter(|(_, q)| q.open());
                let Some((seq, q)) = open.find(|(_, q)| q.group == *group) else { return };
                self.parts.insert(*part, (*seq, q.parts.len()));
                let second = q.stage == Stage::Second;
                let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
                let (id, class, shard) = (*part, q.class, *shard);
                q.parts.push(Part { id, class, shard, weight, second, asked: true, ..Part::default() });
            }
            Event::Outcome { part, attempt, outcome, waited } => {
                self.take_outcome(*part, *attempt, *outcome, *waited)
            }
            Event::Probed { .. } => {}
            Event::Gone(query) => {
                if let Some(q) = self.queries.values_mut().find(|q| q.id == *query && q.open()) {
                    q.stage = Stage::Over;
                    // Nobody waits for these any more: on poor links clients leave long before their time.
                    for p in q.parts.iter().filter(|_| self.set.cancel) {
                        for (n, _) in p.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none()) {
                            actions.push(Action::Cancel { part: p.id, attempt: AttemptNo(n as u16) });
                        }
                    }
                }
            }
            Event::Settings { set, heirs } => self.take_settings(set, heirs),
            Event::Wake => self.wake = 0,
        }
    }

    /// Shards that are new get their places here; turns begin anywhere, as in `new`.
    fn grow(&mut self, shards: usize) {
        let most = shards.max(self.holders.len());
        self.holders.resize(most, Vec::new());
        let rng = &mut self.rng;
        self.turns.resize_with(most, || rng.usize(..1 << 16));
    }

    /// Ready replicas that no part of a listed class would go to now, whatever its shard.
    pub fn avoided(&self) -> Vec<ReplicaId> {
        let Some(c) = self.set.classes.iter().position(|c| c.listed) else { return Vec::new() };
        let class = ClassId(c as u16);
        let part = |s: usize| Part { class, shard: ShardId(s as u32), ..Part::default() };
        let fit = |s: usize| self.fit(&part(s), &[]).into_iter().map(|r| r.0);
        let used: BTreeSet<ReplicaId> = (0..self.holders.len()).flat_map(fit).collect();
        let holds = |id: &ReplicaId| self.holders.iter().any(|h| h.contains(id));
        let ready = self.replicas.iter().filter(|r| r.1.ready).map(|r| *r.0);
        ready.filter(|id| holds(id) && !used.contains(id)).collect()
    }

    /// What was seen of replicas and classes stays; a class that is new begins with a guess.
    fn take_settings(&mut self, set: &Settings, heirs: &[ClassId]) {
        let seen = |(c, heir): (&Class, &ClassId)| {
            let at = usize::from(heir.0);
            let work = self.work.get(at).copied().filter(|_| self.met[at]);
            (work.unwrap_or(c.aim as f64 * FIRST_GUESS), work.is_some())
        };
        (self.work, self.met) = set.classes.iter().zip(heirs).map(seen).unzip();
        self.least_aim = least_aim(set);
        self.quotas.resize(set.tenants.len(), (1.0, self.now));
        self.set = set.clone();
        self.grow(set.shards as usize);
        let ask_at = self.ask_at;
        self.take_list(ListKind::Delta, &[]);
        self.ask_at = ask_at;
    }

    fn take_list(&mut self, kind: ListKind, members: &[Member]) {
        if kind == ListKind::Failed {
            // Ask again after a jittered wait, well inside the time that counts as told.
            let wait = |within| (within / ASK_SHARE) as f64 * (0.25 + 0.75 * self.rng.f64());
            self.ask_at = self.set.ask_within.map(wait).map(|wait| self.now + wait as Nanos);
            return;
        }
        self.ask_at = self.ask_at.filter(|_| kind == ListKind::Cached);
        if kind != ListKind::Delta {
            for r in self.replicas.values_mut().filter(|r| r.ready) {
                (r.ready, r.listed) = (false, self.now);
            }
        }
        for m in members {
            let (typical, now) = (self.typical, self.now);
            let draw = -self.rng.f64().max(f64::MIN_POSITIVE).ln();
            let r = self.replicas.entry(m.replica).or_insert_with(|| Replica {
                pace: typical,
                paced: now,
                cold_draw: draw,
                ..Replica::default()
            });
            r.cell = m.cell;
            r.listed = now;
            r.ready = m.state == MemberState::Ready;
            if m.since > 0 {
                r.started = Some(r.started.map_or(m.since, |s| s.max(m.since)));
            }
        }
        let cells = self.set.cells.max(1);
        for (s, holders) in self.holders.iter_mut().enumerate() {
            let first = s as u32 % cells;
            let holds = |(id, r): &(&ReplicaId, &Replica)| match self.placed.get(*id) {
                Some(placed) => placed.contains(&ShardId(s as u32)),
                None => (u32::from(r.cell.0) + cells - first) % cells < self.set.reach.max(1),
            };
            *holders = self.replicas.iter().filter(|r| r.1.ready && holds(r)).map(|(id, _)| *id).collect();
        }
    }

    fn take_outcome(&mut self, part: PartId, attempt: AttemptNo, outcome: Outcome, waited: Nanos) {
        let Some((replica, class, place, idle)) = self.flights.remove(&(part, attempt)) else { return };
        let (now, typical, aim) = (self.now, self.typical, self.class(class).aim as f64);
        let fade = self.least_aim as f64;
        if let Some(r) = self.replicas.get_mut(&replica) {
            let sent = now.saturating_sub(waited);
            r.flights.retain(|f| (f.1, f.2) != (part, attempt));
            let silent = r.last_ok < sent;
            let lost = f64::from(outcome != Outcome::Ok && silent);
            self.lost[usize::from(idle)] += (lost - self.lost[usize::from(idle)]) * FLEET_GAIN;
            if matches!(outcome, Outcome::Ok | Outcome::Error) {
                let error = f64::from(outcome == Outcome::Error);
                let before = r.errors * 0.5f64.powf((now - r.erred) as f64 / (ERROR_FADE_AIMS * fade));
                (r.errors, r.erred) = (before + (error - before) * ERROR_GAIN, now);
            }
            let brief = (waited as f64) < OVERDUE_RATIO * self.usual && now - r.last_ok < aim as Nanos;
            match outcome {
                Outcome::Ok => {
                    let took = waited as f64;
                    r.strikes = 0;
                    r.pace += (took - r.pace) * PACE_GAIN;
                    r.paced = now;
                    r.last_ok = now;
                    r.used = now;
                    self.per_part += (took / place - self.per_part) * FLEET_GAIN;
                    self.typical += (took - self.typical) * FLEET_GAIN;
                    self.usual += (took.min(ODD_RATIO * self.usual) - self.usual) * FLEET_GAIN;
                    self.met[usize::from(class.0)] = true;
                    let w = &mut self.work[usize::from(class.0)];
                    *w += (took - *w) * if took < *w { PACE_GAIN } else { 0.002 };
                }
                // Turned away in no time, yet a full waiting room is a long wait, whatever was seen before.
                Outcome::Full => (r.pace, r.paced) = (r.pace.max(aim), now),
                // Not sent, lost with an idle connection, or ended early where answers came lately: no sign.
                _ if outcome == Outcome::Moot || (idle && silent && reaped(self.lost)) => {}
                Outcome::Cancelled | Outcome::Reset | Outcome::Error if brief => {}
                _ if !silent && outcome != Outcome::ConnectFailed => {
                    // Given up on while others were answered: the wait is known to be at least this long.
                    r.pace += (waited as f64 - r.pace).max(0.0) * PACE_GAIN;
                    r.paced = now;
                }
                _ => {
                    // Nothing answered since it was sent: a trial after two typical responses, then four, ...
                    r.strikes += 1;
                    r.trial_at = now + (typical * f64::from(1u32 << r.strikes.min(4))) as Nanos;
                }
            }
        }
        let Some(&(seq, at)) = self.parts.get(&part) else { return };
        let Some(p) = self.queries.get_mut(&seq).and_then(|q| q.parts.get_mut(at)) else { return };
        if let Some(a) = p.attempts.get_mut(usize::from(attempt.0)) {
            a.ended = Some(outcome);
        }
        p.came = p.came.or((outcome == Outcome::Ok).then_some(now));
    }

    fn class(&self, class: ClassId) -> &Class {
        &self.set.classes[usize::from(class.0)]
    }

    fn top(&self) -> f64 {
        self.set.classes.iter().filter(|c| c.listed).map(|c| c.points).fold(0.0, f64::max)
    }

    /// A token bucket a tenant, filled with this instance's even share of the quota.
    fn over_quota(&mut self, tenant: TenantId) -> bool {
        let at = tenant.0 as usize;
        let Some(quota) = self.set.tenants.get(at).and_then(|t| t.quota) else { return false };
        let (level, last) = self.quotas[at];
        let rate = quota / f64::from(self.set.aggregators.max(1));
        let gap = (self.now - last) as f64 / 1e9;
        let level = (level + gap * rate).min((2.0 * rate).max(2.0));
        let over = level < 1.0;
        self.quotas[at] = (if over { level } else { level - 1.0 }, self.now);
        over
    }

    /// Quality: the weight that was answered over the weight that would have been in by the record limit.
    /// A part that is missing counts if its replica has answered others since: then it is late, not lost.
    fn quality(&self) -> (f64, f64) {
        let from = self.now.saturating_sub(QUALITY_WINDOW);
        let (mut got, mut all, mut readings) = (0.0, 0.0, 0.0);
        let alive = |a: &Attempt| self.replicas.get(&a.replica).is_some_and(|r| r.last_ok > a.at);
        let late = |a: &Attempt| a.ended == Some(Outcome::Full) || alive(a);
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

    fn control(&mut self) {
        if self.now < self.control_at {
            return;
        }
        let period = CONTROL_TICKS * self.set.tick;
        self.control_at = self.now + period;
        let horizon = self.now.saturating_sub(QUALITY_WINDOW);
        self.queries.retain(|_, q| q.open() || (q.sampled && q.taken >= horizon));
        self.parts.retain(|_, (seq, _)| self.queries.contains_key(seq));
        // Replicas are replaced by new ones for ever; one that comes back is told anew, with its start.
        let unused = self.now.saturating_sub(GONE_WINDOWS * QUALITY_WINDOW);
        self.replicas.retain(|_, r| r.ready || !r.flights.is_empty() || r.listed > unused);
        self.placed.retain(|id, _| self.replicas.contains_key(id));
        let back = self.set.extra.map_or(0, |b| 2 * b.look_back);
        self.taken.retain(|t| t + back >= self.now);
        self.extras.retain(|t| t + back >= self.now);
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

    /// The one judgement of a replica: the wait to expect there. The longest of what it took lately, which
    /// fades; how long its oldest part has been out; and what own parts there cost.
    /// One that was silent, or has a part out past the aim, has an aim on top: it is passed over where
    /// another can be had, and a query that needs it has a poor outlook. When a trial is due the classes with
    /// parts to spare make it; the others have half an aim on top, so that nothing is refused for ever for a
    /// silence that is long over: where queries are few, few trials come.
    fn wait_at(&self, r: &Replica, class: &Class) -> f64 {
        let aim = self.least_aim as f64;
        let idle = (self.now - r.paced) as f64 / (FADE_AIMS * aim).max(self.visits);
        let calm = self.typical.min(aim * CALM_SHARE);
        let pace = calm + (r.pace - calm) * 0.5f64.powf(idle);
        let out = r.flights.first().map_or(0, |f| self.now - f.0);
        let wait =
            pace.max(out as f64).max(self.per_part.min(aim * CALM_SHARE) * (r.flights.len() as f64 + 1.0));
        let trial = r.flights.is_empty() && self.now >= r.trial_at;
        let shut = (r.strikes > 0 && !trial) || out >= class.aim;
        let on_top = if shut { 1.0 } else { f64::from(r.strikes > 0 && class.floor >= class.need) / 2.0 };
        wait + on_top * class.aim as f64
    }

    /// What errors there may cost a part, as time: one that must not run twice is lost with its query.
    /// A replica that fails fast looks idle; parts that can go again find out when it is sound again.
    fn risk_at(&self, r: &Replica, class: &Class) -> f64 {
        let fade = ERROR_FADE_AIMS * self.least_aim as f64;
        let errors = r.errors * 0.5f64.powf((self.now - r.erred) as f64 / fade);
        errors * if class.effect == Effect::Unsafe { class.aim as f64 } else { ERROR_COST * self.typical }
    }

    /// A shard's replicas in turn, skipping one with a part out past the aim; if all are, the next goes.
    /// Beyond the design it skips any whose wait is far over the shard's best; with all slow it skips none.
    /// Where a call costs, a part joins one that its query sends now; the turn moves on past that.
    fn pick(&self, p: &Part, not: &[ReplicaId], join: &[ReplicaId]) -> Option<(ReplicaId, f64)> {
        let fit = self.fit(p, not);
        let joined = |id: &ReplicaId| join.iter().filter(|j| *j == id).count() as u32;
        let near = fit.iter().find(|r| (1..self.set.bundle).contains(&joined(&r.0)));
        near.or_else(|| fit.first()).copied()
    }

    /// The replicas that a part may go to, in turn, with the wait to expect there.
    fn fit(&self, p: &Part, not: &[ReplicaId]) -> Vec<(ReplicaId, f64)> {
        let c = self.class(p.class);
        let Some(holders) = self.holders.get(p.shard.0 as usize) else { return Vec::new() };
        let turn = self.turns[p.shard.0 as usize];
        let order = (0..holders.len()).map(|i| holders[(turn + i) % holders.len()]);
        let able: Vec<(ReplicaId, f64, f64)> = order
            .filter(|id| !not.contains(id))
            .filter_map(|id| self.replicas.get(&id).map(|r| (id, r)))
            .filter(|(_, r)| self.cold_room(r, p.class))
            .map(|(id, r)| (id, self.wait_at(r, c), self.risk_at(r, c)))
            .collect();
        let best = able.iter().map(|r| r.1 + r.2).fold(f64::INFINITY, f64::min);
        let fit = able.iter().filter(|r| r.1 + r.2 <= SKIP_RATIO * best + 0.5 * self.typical);
        fit.map(|r| (r.0, r.1)).collect()
    }

    /// Rule 4: may a part of this class go to a replica that just started? What all may send is split evenly;
    /// where a share holds no whole part, chance spends it: parts go at drawn times, as far apart on average
    /// as keeps the whole fleet's, with a margin for chance, under the rule.
    fn cold_room(&self, r: &Replica, class: ClassId) -> bool {
        let cost = self.cost(class);
        let (Some(rule), Some(started)) = (self.set.cold, r.started) else { return true };
        let age = |at: Nanos| at.saturating_sub(started) as f64 / rule.warm_up.max(1) as f64;
        if age(self.now) >= 1.0 {
            return true;
        }
        let all = |age: f64| {
            let can = rule.start + (1.0 - rule.start) * age;
            rule.factor * can * COLD_CORES * rule.span as f64
        };
        let (from, others) = (self.now.saturating_sub(rule.span), f64::from(self.set.aggregators.max(1)));
        let share = all(age(self.now)) / others;
        if share >= cost {
            return share - r.cold_sent.iter().filter(|s| s.0 >= from).map(|s| s.1).sum::<f64>() >= cost;
        }
        let last = r.cold_sent.back().map_or(started, |s| s.0).max(started);
        let fits = all((age(last) + age(self.now)) / 2.0) / cost;
        let safe = (((CHANCE * CHANCE / 4.0 + fits).sqrt() - CHANCE / 2.0).powi(2)).min(fits);
        (self.now - last) as f64 / rule.span as f64 * safe / others >= r.cold_draw
    }

    /// Work of a part with its call, as far as seen.
    fn cost(&self, class: ClassId) -> f64 {
        self.work[usize::from(class.0)] + self.set.call_cost as f64
    }

    /// Rule 6: further attempts left in the window, never optimistic at its edge.
    fn extras_left(&self) -> f64 {
        let Some(b) = self.set.extra else { return f64::INFINITY };
        let edge = 2 * self.set.tick;
        let since = |times: &VecDeque<Nanos>, back| {
            (times.len() - times.partition_point(|t| t + back < self.now)) as f64
        };
        b.free + b.ratio * since(&self.taken, b.look_back.saturating_sub(edge))
            - since(&self.extras, b.look_back + edge)
    }

    /// The one way out for a part. Every rule on sending is checked here, whatever decided to send.
    fn send(&mut self, (seq, at): PartAt, replica: ReplicaId, timeout: Nanos, actions: &mut Vec<Action>) {
        let left = self.extras_left();
        let Some(q) = self.queries.get(&seq) else { return };
        let (Some(p), Some(r)) = (q.parts.get(at), self.replicas.get(&replica)) else { return };
        let first_risk = p.attempts.iter().find(|a| a.may_have_run()).map(|a| a.at);
        let effect = match (self.class(q.class).effect, first_risk) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed(window), Some(t)) => self.now + END_TICKS * self.set.tick < t + window,
            (Effect::Unsafe, Some(_)) => false,
        };
        let holds = self.holders.get(p.shard.0 as usize).is_some_and(|h| h.contains(&replica));
        let cost = self.cost(q.class);
        let further = !p.attempts.is_empty();
        let allowed = q.open()
            && p.second == (q.stage == Stage::Second)
            && p.came.is_none()
            && self.now < q.end
            && effect
            && r.ready
            && holds
            && self.cold_room(r, p.class)
            && (p.attempts.len() as u32) < self.class(q.class).max_attempts.max(1)
            && (p.out() == 0 || (self.set.second_copies && p.out() < 2))
            && (!further || left >= 1.0);
        if !allowed {
            return;
        }
        let (part, class, shard, now) = (p.id, q.class, p.shard.0 as usize, self.now);
        let attempt = AttemptNo(p.attempts.len() as u16);
        let horizon = self.set.cold.map_or(0, |c| now.saturating_sub(c.span));
        let fresh = now.saturating_sub(self.least_aim / STALE);
        let Some(r) = self.replicas.get_mut(&replica) else { return };
        if r.used < now && r.flights.is_empty() {
            // Dropped idle connections are met by closing them, but for a sample that tells when it ends.
            let idle = (1..fresh).contains(&r.used);
            let close = idle && reaped(self.lost) && self.rng.f64() > LEAST_SAMPLE;
            actions.extend(close.then_some(Action::CloseIdle(replica)));
            r.idle = idle && !close;
        }
        if r.used > 0 && r.used < now {
            self.visits += ((now - r.used) as f64 - self.visits) * FLEET_GAIN;
        }
        r.used = now;
        r.flights.insert((now, part, attempt));
        let (idle, place) = (r.idle, r.flights.len() as f64);
        r.cold_sent.retain(|s| s.0 >= horizon);
        r.cold_sent.push_back((now, cost));
        r.cold_draw = -self.rng.f64().max(f64::MIN_POSITIVE).ln();
        if let Some(place) = self.holders[shard].iter().position(|h| *h == replica) {
            self.turns[shard] = (place + 1) % self.holders[shard].len();
        }
        if let Some(p) = self.queries.get_mut(&seq).and_then(|q| q.parts.get_mut(at)) {
            p.attempts.push(Attempt { replica, at: now, ended: None });
        }
        self.flights.insert((part, attempt), (replica, class, place, idle));
        self.extras.extend(further.then_some(now));
        actions.push(Action::Send { part, replica, timeout });
    }

    /// The one way out for a query. Rules 1, 2 and 5 are checked here.
    fn finish(&mut self, seq: u64, how: Final, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get_mut(&seq).filter(|q| q.open()) else { return };
        let c = &self.set.classes[usize::from(q.class.0)];
        let risky = c.effect != Effect::Safe && q.parts.iter().any(Part::may_have_run);
        match how {
            Final::Answer => {
                let weight = q.weight_in();
                let second = q.stage == Stage::Second;
                let floor = if second { c.floor } else { c.floor.min(c.need) };
                // All parts are all of it, whatever rounding left of their weights: many sum to less than 1.
                let all = q.complete(false);
                if !all && (weight + 1e-6 < floor || (second && c.floor >= c.need)) {
                    return;
                }
                let whole = (all || (!second && weight + 1e-6 >= c.need)) && q.first.is_none_or(|f| f.1);
                actions.push(Action::Answer { query: q.id, whole });
                if q.first.is_none() {
                    q.first = Some((self.now, whole));
                    if c.follow_up > 0 {
                        q.stage = Stage::Second;
                        return;
                    }
                }
            }
            Final::GiveUp if !risky => {
                let come_back =
                    self.set.retry_after.map(|m| (m as f64 * (0.5 + 0.5 * self.rng.f64())) as Nanos);
                actions.push(Action::Refuse { query: q.id, come_back });
            }
            Final::GiveUp => actions.push(Action::Fail(q.id)),
        }
        // A sample's late parts run on to the record limit; the others are called off.
        for p in q.parts.iter().filter(|p| self.set.cancel && (!q.sampled || p.second || p.came.is_some())) {
            for (n, _) in p.attempts.iter().enumerate().filter(|(_, a)| a.ended.is_none()) {
                actions.push(Action::Cancel { part: p.id, attempt: AttemptNo(n as u16) });
            }
        }
        q.stage = Stage::Over;
    }

    /// Time kept for a second step: what parts take now, with room to spare.
    /// Bounded: a reserve that filled the aim would refuse everything, and nothing would ever correct it.
    fn reserve(&self, c: &Class) -> Nanos {
        if c.follow_up == 0 {
            return 0;
        }
        (SECOND_ROOM * self.typical).min(SECOND_MOST * c.aim as f64) as Nanos
    }

    /// Low-worth queries beyond the admitted share, the least worth first.
    fn turned_away(&mut self, seq: u64, crowd: f64) -> bool {
        let (worth, luck) = self.queries.get(&seq).map_or((0.0, 0.0), |q| (q.worth, q.luck));
        if worth >= self.top() {
            // Only when all of it would be late: then serving some beats serving none.
            return luck >= outlook(crowd, TOP_CROWD);
        }
        let less = self.ranks.iter().filter(|w| **w < worth).count() as f64;
        let same = self.ranks.iter().filter(|w| **w == worth).count() as f64;
        let rank = (less + luck * (same + 1.0)) / (self.ranks.len() as f64 + 1.0);
        self.ranks.push_back(worth);
        self.ranks.drain(..self.ranks.len().saturating_sub(RANKED));
        rank < 1.0 - self.share.min(outlook(crowd, LOW_CROWD)) || worth <= 0.0
    }

    /// The wait to expect for each part of a query, with its weight, the longest first.
    fn waits(&self, q: &Query) -> Vec<(f64, f64, PartId)> {
        let wait = |p: &Part| self.pick(p, &[], &[]).map_or(f64::INFINITY, |h| h.1);
        let mut waits: Vec<_> = q.parts.iter().map(|p| (wait(p), p.weight, p.id)).collect();
        waits.sort_by(|a, b| b.0.total_cmp(&a.0));
        waits
    }

    /// Share of a query's time that its replicas take now, for `outlook`: the controller needs a window to
    /// see a jam, this sees it at once. Also holds for a burst, a shared cause or a lost zone. Might hurt
    /// where one odd answer makes a shard look slow; that fades.
    fn crowd(&self, q: &Query, waits: &[(f64, f64, PartId)]) -> f64 {
        let c = self.class(q.class);
        let mut spare = 1.0 - c.floor + 1e-6;
        let needed = waits.iter().find(|w| {
            spare -= w.1;
            spare <= 0.0
        });
        let room = q.due.saturating_sub(self.now + self.reserve(c)) as f64;
        // A guess alone refuses nobody: where all are refused nothing is ever seen that could mend it.
        let fair = |figure: f64, seen: bool| if seen { figure } else { figure.min(room * FIRST_GUESS) };
        let at = usize::from(q.class.0);
        let longest = needed.map_or(0.0, |w| w.0);
        let wait = fair(longest, longest > self.typical || self.met.contains(&true));
        wait.max(fair(self.work[at], self.met[at])) / room.max(1.0)
    }

    /// Looks at an open query: admits or refuses it, sends, and ends it when that is due.
    fn step(&mut self, seq: u64, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&seq).filter(|q| q.open()) else { return };
        let c = self.class(q.class).clone();
        if q.stage == Stage::New {
            let waits = self.waits(q);
            let (crowd, late) = (self.crowd(q, &waits), q.due.saturating_sub(self.now) as f64 * TOP_CROWD.0);
            if self.turned_away(seq, crowd) {
                return self.finish(seq, Final::GiveUp, actions);
            }
            let admitted = self.share.min(outlook(crowd, LIGHT_CROWD));
            let long = waits.iter().filter(|w| c.floor < c.need && w.0 >= late).map(|w| w.2);
            if let Some(q) = self.queries.get_mut(&seq) {
                q.stage = Stage::First;
                q.trim(c.floor, admitted, long);
                for (at, p) in q.parts.iter().enumerate() {
                    self.parts.insert(p.id, (seq, at));
                }
            }
        }
        self.send_parts(seq, &c, actions);
        let Some(q) = self.queries.get(&seq) else { return };
        let partial = c.floor < c.need;
        let weight = q.weight_in();
        let first = q.stage == Stage::First;
        let reserve = if first { self.reserve(&c) } else { 0 };
        let due = self.now + reserve >= q.due;
        let enough = q.complete(true) || (first && weight >= c.need && c.need < 1.0);
        if enough || (due && partial && weight > 0.0 && weight >= c.floor) {
            return self.finish(seq, Final::Answer, actions);
        }
        let lost = |p: &Part| p.came.is_none() && p.out() == 0 && !self.may_try(p, &c);
        let needed = |p: &&Part| p.second != first;
        let gone: f64 = q.parts.iter().filter(needed).filter(|p| lost(p)).map(|p| p.weight).sum();
        let hopeless = if partial { 1.0 - gone < c.floor - 1e-6 } else { gone > 0.0 };
        let worthless = c.late_worth <= 0.0 && self.now >= q.due;
        if self.now >= q.end || hopeless || worthless {
            self.finish(seq, Final::GiveUp, actions);
        }
    }

    /// May the rules of its class ever allow another attempt?
    fn may_try(&self, p: &Part, c: &Class) -> bool {
        let again = c.effect != Effect::Unsafe || !p.may_have_run();
        again && (p.attempts.len() as u32) < c.max_attempts.max(1)
    }

    fn send_parts(&mut self, seq: u64, c: &Class, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&seq) else { return };
        let count = q.parts.len();
        let (due, end, sampled) = (q.due, q.end, q.sampled);
        let second = q.stage == Stage::Second;
        // Late worth is chased only while nothing is shed: otherwise a part not begun by the aim is dropped.
        let chase = sampled || (c.late_worth > 0.0 && self.share >= 1.0);
        let until = if chase || self.now >= due { end } else { due };
        let timeout = until.saturating_sub(self.now).max(self.set.tick);
        let mut join = Vec::new();
        for at in 0..count {
            let Some(p) = self.queries.get(&seq).and_then(|q| q.parts.get(at)) else { return };
            if p.second != second || !p.asked || p.came.is_some() || !self.may_try(p, c) {
                continue;
            }
            let tried: Vec<ReplicaId> = p.attempts.iter().map(|a| a.replica).collect();
            if tried.is_empty() {
                if let Some((r, _)) = self.pick(p, &[], &join) {
                    self.send((seq, at), r, timeout, actions);
                    join.extend((self.set.call_cost > 0).then_some(r));
                }
                continue;
            }
            let out = p.attempts.iter().enumerate().find(|(_, a)| a.ended.is_none());
            let overdue = out.is_some_and(|(_, a)| (self.now - a.at) as f64 > OVERDUE_RATIO * self.usual);
            if (out.is_some() && !overdue) || p.out() > 1 || self.extras_left() < 1.0 {
                continue;
            }
            // Another replica, or when all were tried, one where this part is not out.
            let busy = out.map_or(vec![], |(_, a)| vec![a.replica]);
            let pick = self.pick(p, &tried, &[]).or_else(|| self.pick(p, &busy, &[]));
            let Some((r, wait)) = pick else { continue };
            let in_time = self.now as f64 + wait < due as f64;
            // Where a part was turned away it goes again when that may be in time, or late anyhow.
            let late = out.is_none() && c.late_worth > 0.0 && (self.now >= due || !tried.contains(&r));
            let stop = !self.set.second_copies && self.set.cancel && c.effect == Effect::Safe;
            match out {
                Some((n, _)) if in_time && stop => {
                    actions.push(Action::Cancel { part: p.id, attempt: AttemptNo(n as u16) });
                }
                _ if in_time || late || (out.is_some() && second) => {
                    self.send((seq, at), r, timeout, actions)
                }
                _ => {}
            }
        }
    }

    fn wake_up(&mut self, actions: &mut Vec<Action>) {
        let open = || self.queries.values().filter(|q| q.open());
        let reserve = |q: &Query| self.reserve(self.class(q.class));
        let dues = open().flat_map(|q| [q.due.saturating_sub(reserve(q)), q.due, q.end]);
        let poll = open().next().map(|_| self.now + CONTROL_TICKS / 10 * self.set.tick);
        let idle = Some(self.control_at.max(self.now + self.set.tick));
        let next = dues.filter(|t| *t > self.now).chain(poll).chain(idle).chain(self.ask_at).min();
        if let Some(at) = next.filter(|at| self.wake <= self.now || *at < self.wake) {
            self.wake = at;
            actions.push(Action::WakeAt(at));
        }
    }
}
