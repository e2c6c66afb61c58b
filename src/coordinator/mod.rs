//! The core: it owns the module, the held queries, attempt numbers, timers and counters, and knows no wire.
//!
//! A driver collects what comes in and calls [`Coordinator::turn`] with all of it and one reading of the clock. The turn
//! hands the module its events, carries out its actions in order and gives back what is to be done outside.

mod classes;
mod counters;
mod figures;
mod types;

use classes::Classes;
pub use counters::{invariant, log_rarely, Counter, Counters, COUNTERS};
pub use figures::{ClassMetrics, Metrics};
pub use types::*;

use crate::interface::*;
use crate::policy::DecisionPolicy;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Kept free of a client's time for the way here, the turn and the way back; the module keeps its own ticks.
const WAY: Micros = Micros::from_millis(3);
/// Kept free of an aim for the turn, the rendering of some hundred values and their way to the client: the time of an
/// answer is that of its last byte. The module keeps its own ticks, which are short on some sites: there every answer
/// that was given from a part of its values just before the aim came just after it.
const ANSWER_WAY: Micros = Micros::from_millis(10);
/// An end this near to the wanted time was brought by it: the module ends a query some ticks ahead.
const NEAR_END: Micros = Micros::from_millis(25);

/// What the module believes of servers is asked of it this often, for the figures.
const ASK_POOL_INTERVAL: Micros = Micros::from_millis(100);
/// A server counts as avoided once the module has avoided it for so long: many are for a moment, when another is quicker.
const AVOIDED_FOR: Micros = Micros::from_secs(1);
/// A server that was listed as gone, or not at all, is remembered so long: it may come back under its name.
const MAX_GONE: Micros = Micros::from_secs(30);

/// A server that some list has named.
#[derive(Debug)]
struct Listed {
    name: Arc<str>,
    address: Arc<str>,
    ready: bool,
    /// When it last started, as far as lists have told.
    started: Option<Micros>,
    /// Since when the list has it no more.
    gone: Option<Micros>,
}

/// The same start comes out a little different each time it is told: it is reckoned from two clocks.
const SAME_START: Micros = Micros::from_millis(500);

impl Listed {
    /// A line tells of another life of it than the one that is known: a later one, or an earlier.
    fn later(&self, started: Option<Micros>) -> bool {
        started.is_some_and(|s| self.started.is_none_or(|known| s > known + SAME_START))
    }

    fn earlier(&self, started: Option<Micros>) -> bool {
        self.started.is_some_and(|known| started.is_none_or(|s| s + SAME_START < known))
    }

    /// Does an old list tell news of it? That it drains or has gone is never taken back in the same life, so that is
    /// believed however old the list is, and a later life is. All else the newer list told better.
    fn learns(&self, node: &Node) -> bool {
        self.later(node.started)
            || (self.ready && node.state != EndpointState::Ready && !self.earlier(node.started))
    }
}

/// An attempt that is out.
#[derive(Debug)]
struct Flight {
    replica: ReplicaId,
    sent: Micros,
    until: Micros,
    /// When it is looked at next: at `until`, or when it must have begun to leave if that is earlier.
    look: Micros,
    /// Some of it has left this machine: it may run.
    begun: bool,
    label: Arc<str>,
    class: ClassId,
}

/// A query that has no final answer yet.
#[derive(Debug)]
struct Held {
    request: Request,
    class: ClassId,
    /// When its client's time is over.
    until: Micros,
    /// When its answer is wanted.
    wanted: Micros,
    values: Vec<Option<Value>>,
}

/// Which of two processes this one is while a new version is started beside the old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessGeneration {
    /// The one that served so far.
    Predecessor,
    /// The one that takes over.
    Successor,
}

/// The core of one coordinator.
#[derive(Debug)]
pub struct Coordinator {
    policy: DecisionPolicy,
    settings: Settings,
    /// Another process shares what is allowed to one, and it is the older one.
    beside: Option<ProcessGeneration>,
    classes: Classes,
    figures: Arc<Metrics>,
    /// What this core last said of `active`, `pool_size` and `pool_ejected`.
    said: [usize; 3],
    asked_pool: Micros,
    /// Since when the module has avoided which servers.
    avoided: BTreeMap<ReplicaId, Micros>,
    max_in_flight: usize,
    held: BTreeMap<QueryId, Held>,
    held_count: usize,
    tokens: HashMap<Token, QueryId>,
    /// What is held or out under each label: servers know parts by it, so two requests must not share one.
    labels: HashMap<Arc<str>, usize>,
    parts: HashMap<PartId, (QueryId, usize)>,
    flights: BTreeMap<AttemptKey, Flight>,
    attempts: HashMap<PartId, u16>,
    time_outs: BTreeSet<(Micros, AttemptKey)>,
    ends: BTreeSet<(Micros, QueryId)>,
    wake: Option<Micros>,
    /// What is taken from now on must be answered by then.
    last: Option<Micros>,
    next_id: u64,
    next_group: u32,
    names: HashMap<Arc<str>, ReplicaId>,
    servers: BTreeMap<ReplicaId, Listed>,
    /// The highest version of the list that came.
    version: u64,
    /// The number of the next server; never reused.
    next_server: u32,
    /// Events that arose while actions were carried out; they are for the next turn.
    pending: Vec<Event>,
}

impl Coordinator {
    /// A core that holds nothing yet.
    pub fn new(set: Settings, most_held: usize, seed: u64, now: Micros, figures: Arc<Metrics>) -> Self {
        let set = without_second_steps(set);
        Self {
            policy: DecisionPolicy::new(ahead(set.clone()), seed, now.to_nanos()),
            classes: Classes::new(&set.classes, figures.clone()),
            settings: set,
            beside: None,
            figures,
            said: [0; 3],
            asked_pool: Micros::ZERO,
            avoided: BTreeMap::new(),
            max_in_flight: most_held,
            held: BTreeMap::new(),
            held_count: 0,
            tokens: HashMap::new(),
            labels: HashMap::new(),
            parts: HashMap::new(),
            flights: BTreeMap::new(),
            attempts: HashMap::new(),
            time_outs: BTreeSet::new(),
            ends: BTreeSet::new(),
            wake: None,
            last: None,
            next_id: 1,
            next_group: 1,
            names: HashMap::new(),
            servers: BTreeMap::new(),
            version: 0,
            next_server: 0,
            pending: Vec::new(),
        }
    }

    /// Queries that wait for their final answer.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The program is to end: whatever is held or taken from now on has its answer by then.
    pub fn answer_by(&mut self, last: Micros) {
        self.last = Some(last);
        let late: Vec<_> = self.ends.range((last, QueryId(u64::MAX))..).copied().collect();
        for (until, query) in late {
            if let Some(held) = self.held.get_mut(&query) {
                held.until = last;
                self.ends.remove(&(until, query));
                self.ends.insert((last, query));
            }
        }
    }

    /// Is this attempt out?
    pub fn is_out(&self, key: AttemptKey) -> bool {
        self.flights.contains_key(&key)
    }

    /// Attempts that are out.
    pub fn out(&self) -> usize {
        self.flights.len()
    }

    /// When the next turn is due at the latest; `None` while nothing is.
    pub fn due(&self) -> Option<Micros> {
        if !self.pending.is_empty() {
            return Some(Micros::ZERO);
        }
        let first = [self.time_outs.first().map(|t| t.0), self.ends.first().map(|t| t.0), self.wake];
        first.into_iter().flatten().min()
    }

    /// One turn: takes in what came, hands the module its events, and appends what is to be done, in order.
    pub fn turn(&mut self, now: Micros, inputs: impl IntoIterator<Item = Input>, out: &mut Vec<Command>) {
        let mut events = std::mem::take(&mut self.pending);
        for input in inputs {
            self.take(now, input, &mut events, out);
        }
        self.time_outs_due(now, &mut events, out);
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            events.push(Event::TimerFired);
        }
        let mut actions = Vec::new();
        self.policy.handle(now.to_nanos(), &events, &mut actions);
        for action in actions {
            self.carry_out(now, action, out);
        }
        // After the module: a turn that comes late must leave it to the module to end what is over.
        self.ends_due(now, out);
        bundle(out, self.settings.max_batch.max(1) as usize);
        self.say(now);
    }

    /// Tells the figures what is held and what the module believes.
    fn say(&mut self, now: Micros) {
        let before = self.said;
        self.said[0] = self.held.len();
        if now.since(self.asked_pool) >= ASK_POOL_INTERVAL {
            self.asked_pool = now;
            self.said[1] = self.servers.values().filter(|l| l.gone.is_none()).count();
            let avoided = self.policy.ejected();
            self.avoided.retain(|id, _| avoided.contains(id));
            for id in avoided {
                self.avoided.entry(id).or_insert(now);
            }
            self.said[2] = self.avoided.values().filter(|since| now.since(**since) >= AVOIDED_FOR).count();
        }
        let gauges = [&self.figures.active, &self.figures.pool_size, &self.figures.pool_ejected];
        gauges.iter().zip(before.iter().zip(self.said)).for_each(|(g, (b, s))| g.moved(*b, s));
    }

    /// Another process shares what is allowed to one, or does no more. Rules hold for the sum of both.
    pub fn share(&mut self, beside: Option<ProcessGeneration>) {
        self.beside = beside;
        let heirs = self.classes.replace(&self.settings.classes.clone());
        let event = self.tell_settings(heirs);
        self.pending.push(event);
    }

    /// The settings as the module is to have them: one of two processes counts for two coordinators, which halves its
    /// share of what all may send; free further attempts stay with the one that may have used them.
    fn tell_settings(&self, heirs: Vec<ClassId>) -> Event {
        let mut set = Settings { classes: self.classes.told(), ..self.settings.clone() };
        if let Some(beside) = self.beside {
            set.coordinators *= 2;
            set.retry_budget = set.retry_budget.map(|e| {
                if beside == ProcessGeneration::Successor {
                    RetryBudget { free: 0.0, ..e }
                } else {
                    e
                }
            });
        }
        Event::Settings { settings: Box::new(ahead(set)), class_mapping: heirs }
    }

    /// Queries and parts that may be held now.
    fn most_held(&self) -> usize {
        self.max_in_flight / if self.beside.is_some() { 2 } else { 1 }
    }

    /// Other settings are in force from now on; what is open keeps the class it began with.
    fn take_settings(&mut self, set: Settings, most_held: usize, events: &mut Vec<Event>) {
        let set = without_second_steps(set);
        let heirs = self.classes.replace(&set.classes);
        self.settings = set;
        self.max_in_flight = most_held;
        events.push(self.tell_settings(heirs));
    }

    /// Gives a request its final answer: the one place where answers are counted for operators.
    fn reply(&self, class: ClassId, request: &Request, answer: Answer, out: &mut Vec<Command>) {
        let token = request.token;
        if request.counted {
            let tally = self.classes.tally(class);
            match answer {
                Answer::Served { .. } => &tally.ok,
                Answer::Rejected { .. } => &tally.shed,
                Answer::Failed { .. } | Answer::DuplicateRequestId | Answer::UnknownClass => &tally.errors,
            }
            .add();
        }
        out.push(Command::Reply(token, answer));
    }

    fn take(&mut self, now: Micros, input: Input, events: &mut Vec<Event>, out: &mut Vec<Command>) {
        match input {
            Input::EndpointUpdate(roster) => self.take_roster(now, roster, events, out),
            Input::Submit(request) => self.take_request(now, request, events, out),
            Input::ClientLeft(token) => {
                if let Some(query) = self.tokens.get(&token).copied() {
                    COUNTERS.gone.add();
                    events.push(Event::Abandoned(query));
                    self.forget(now, query, out);
                }
            }
            Input::WriteStarted(key) => self.begun(key),
            Input::FullyWritten(key) => {
                COUNTERS.written.add_n(usize::from(self.is_out(key)));
                self.begun(key);
            }
            Input::AttemptEnded(key, end) => self.take_end(now, key, end, events),
            Input::Settings(set, most_held) => self.take_settings(*set, most_held, events),
            Input::TimerDue => {}
        }
    }

    fn take_roster(
        &mut self,
        now: Micros,
        mut roster: EndpointUpdate,
        events: &mut Vec<Event>,
        out: &mut Vec<Command>,
    ) {
        COUNTERS.rosters.add();
        self.keep_what_is_newer(&mut roster);
        let mut members = Vec::new();
        let mut named = BTreeSet::new();
        for node in roster.nodes {
            let replica = *self.names.entry(node.name.clone()).or_insert_with(|| {
                let [a, b, c, d] = self.next_server.to_be_bytes();
                self.next_server = self.next_server.wrapping_add(1);
                ReplicaId([a, b, c, d, 0, 0])
            });
            named.insert(replica);
            if let Some(shards) = node.shards {
                events.push(Event::Placement { replica, shards });
            }
            let ready = node.state == EndpointState::Ready;
            let known = self.servers.get(&replica);
            if known.is_none_or(|l| (&l.address, l.ready) != (&node.address, ready)) {
                out.push(Command::UpdateServer(replica, node.address.clone(), ready));
            }
            let gone =
                (node.state == EndpointState::Removed).then(|| known.and_then(|l| l.gone).unwrap_or(now));
            let started = node.started.max(known.and_then(|l| l.started));
            self.servers
                .insert(replica, Listed { name: node.name, address: node.address, ready, started, gone });
            let since = node.started.map_or(0, Micros::to_nanos);
            let (zone, cell) = (ZoneId(node.zone), CellId(node.cell));
            members.push(Endpoint { replica, zone, cell, state: node.state, started_at: since });
        }
        if matches!(roster.kind, EndpointListKind::Full | EndpointListKind::Cached) {
            for (replica, line) in self.servers.iter_mut().filter(|(r, _)| !named.contains(r)) {
                line.gone = line.gone.or(Some(now));
                if std::mem::take(&mut line.ready) {
                    out.push(Command::UpdateServer(*replica, line.address.clone(), false));
                }
            }
        }
        events.push(Event::Endpoints { kind: roster.kind, endpoints: members });
        self.forget_gone(now, out);
    }

    /// Discovery that was moved, or came back from an older copy, may tell an older list than the one in force: whom it
    /// does not name may be newer than it, and whom it calls in service may have been told to drain since.
    fn keep_what_is_newer(&mut self, roster: &mut EndpointUpdate) {
        let Some(version) = roster.version else { return };
        if version >= self.version {
            self.version = version;
            return;
        }
        log_rarely(&COUNTERS.rosters_back, || {
            format!(
                "discovery: the list goes back from version {} to {version}: drains are taken from it",
                self.version
            )
        });
        roster.kind = EndpointListKind::Delta;
        let known = |n: &Node| self.names.get(&n.name).and_then(|r| self.servers.get(r));
        roster.nodes.retain(|node| known(node).is_none_or(|listed| listed.learns(node)));
    }

    /// Servers are replaced by new ones with new names for as long as the program runs: what is kept of those that are
    /// gone has its end here.
    fn forget_gone(&mut self, now: Micros, out: &mut Vec<Command>) {
        let over = |l: &Listed| l.gone.is_some_and(|since| now.since(since) > MAX_GONE);
        let gone: Vec<_> = self.servers.iter().filter(|s| over(s.1)).map(|s| *s.0).collect();
        for replica in gone.into_iter().filter(|r| self.flights.values().all(|f| f.replica != *r)) {
            if let Some(line) = self.servers.remove(&replica) {
                self.names.remove(&line.name);
                out.push(Command::RemoveServer(replica));
            }
        }
    }

    /// Servers that are remembered, listed or not.
    pub fn servers(&self) -> usize {
        self.servers.len()
    }

    fn take_request(
        &mut self,
        now: Micros,
        request: Request,
        events: &mut Vec<Event>,
        out: &mut Vec<Command>,
    ) {
        let Some(class) = self.classes.find(&request.class) else {
            // Dropped by a reload while the request was on its way here.
            COUNTERS.bad_requests.add();
            return out.push(Command::Reply(request.token, Answer::UnknownClass));
        };
        let until = request.sent_at + request.timeout;
        let until = self.last.map_or(until, |last| until.min(last));
        if until <= now + WAY {
            // Over before it began: nothing can be in time any more, and nothing was sent.
            COUNTERS.over_time.add();
            COUNTERS.refused.add();
            let answer = Answer::Rejected { retry_after: None, late: true };
            return self.reply(class, &request, answer, out);
        }
        let size = 1 + request.parts.len();
        if self.held_count + size > self.most_held() {
            // Told at once, like a refusal of the module's: nothing was sent, asking again does no harm.
            COUNTERS.over_held.add();
            COUNTERS.refused.add();
            let come_back = self.settings.max_retry_after.map(Micros::from_nanos);
            return self.reply(
                class,
                &request,
                Answer::Rejected { retry_after: come_back, late: false },
                out,
            );
        }
        if self.labels.contains_key(&request.request_id) {
            COUNTERS.labels_taken.add();
            return self.reply(class, &request, Answer::DuplicateRequestId, out);
        }
        COUNTERS.taken.add();
        self.labels.insert(request.request_id.clone(), 1);
        self.held_count += size;
        let query = QueryId(self.next_id);
        let group = GroupId(self.next_group);
        self.next_group = self.next_group.wrapping_add(1);
        self.next_id += size as u64;
        let aim = self.classes.get(class).latency_objective;
        self.classes.begin(class);
        let hints: Option<Micros> = request
            .parts
            .iter()
            .map(|p| p.expected_work)
            .try_fold(Micros::ZERO, |sum, hint| hint.map(|h| sum + h));
        events.push(Event::Query {
            query,
            group,
            class,
            tenant: request.tenant,
            expected_work: hints.filter(|_| !request.parts.is_empty()).map(Micros::to_nanos),
            time_left: until.since(now + WAY).to_nanos(),
        });
        for (at, p) in request.parts.iter().enumerate() {
            let part = PartId(query.0 + 1 + at as u64);
            self.parts.insert(part, (query, at));
            events.push(Event::Part { part, group, shard: p.shard, weight: p.weight });
        }
        self.tokens.insert(request.token, query);
        self.ends.insert((until, query));
        let wanted = request.sent_at + Micros::from_nanos(aim);
        let values = vec![None; request.parts.len()];
        self.held.insert(query, Held { request, class, until, wanted, values });
    }

    /// Some of an attempt's request has left this machine.
    fn begun(&mut self, key: AttemptKey) {
        if let Some(flight) = self.flights.get_mut(&key) {
            flight.begun = true;
        }
    }

    fn take_end(&mut self, now: Micros, key: AttemptKey, end: AttemptEnd, events: &mut Vec<Event>) {
        // An answer to an attempt that was called off or timed out has had its outcome.
        let Some(flight) = self.land(key) else { return };
        let outcome = match end {
            AttemptEnd::Served(value) => {
                if let Some((query, at)) = self.parts.get(&key.part) {
                    if let Some(slot) = self.held.get_mut(query).and_then(|h| h.values.get_mut(*at)) {
                        *slot = Some(value);
                    }
                }
                Outcome::Ok
            }
            AttemptEnd::Failed(outcome) => outcome,
        };
        self.tell(now, key, &flight, outcome, events);
    }

    /// Takes an attempt off the books: after this it can have no second outcome.
    fn land(&mut self, key: AttemptKey) -> Option<Flight> {
        let flight = self.flights.remove(&key)?;
        self.time_outs.remove(&(flight.look, key));
        self.unlabel(&flight.label);
        self.classes.end(flight.class);
        Some(flight)
    }

    fn tell(&self, now: Micros, key: AttemptKey, flight: &Flight, outcome: Outcome, events: &mut Vec<Event>) {
        match outcome {
            Outcome::Ok => &COUNTERS.served,
            Outcome::Error => &COUNTERS.errors,
            Outcome::Rejected => &COUNTERS.turned_away,
            Outcome::TimedOut => &COUNTERS.timed_out,
            Outcome::ConnectFailed => &COUNTERS.connect_failed,
            Outcome::Reset => &COUNTERS.resets,
            Outcome::Cancelled => &COUNTERS.cancelled,
            Outcome::NotSent => &COUNTERS.unsent,
        }
        .add();
        let elapsed = now.since(flight.sent).to_nanos();
        events.push(Event::Outcome { part: key.part, attempt: key.attempt, outcome, elapsed });
    }

    fn time_outs_due(&mut self, now: Micros, events: &mut Vec<Event>, out: &mut Vec<Command>) {
        while let Some((_, key)) = self.time_outs.first().copied().filter(|t| t.0 <= now) {
            self.time_outs.pop_first();
            let Some(flight) = self.flights.get_mut(&key) else { continue };
            if flight.begun && now < flight.until {
                flight.look = flight.until;
                self.time_outs.insert((flight.until, key));
                continue;
            }
            let Some(flight) = self.land(key) else { continue };
            out.push(Command::CancelAttempt(flight.replica, key));
            // What never began to leave this machine is taken back, so it never ran: a class that must not repeat may go
            // again. What began to leave it goes on to its last byte, and runs.
            let outcome = if flight.begun { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.tell(now, key, &flight, outcome, events);
        }
    }

    /// The module ends every query in time; should it not, the client still gets its one answer.
    fn ends_due(&mut self, now: Micros, out: &mut Vec<Command>) {
        while let Some((_, query)) = self.ends.first().copied().filter(|e| e.0 <= now) {
            if let Some(held) = self.forget(now, query, out) {
                let told_to_end = self.last.is_some_and(|last| held.until >= last);
                invariant(told_to_end, "a query outlived its client's time");
                COUNTERS.failed.add();
                self.reply(held.class, &held.request, Answer::Failed { late: true }, out);
            }
            self.pending.push(Event::Abandoned(query));
        }
    }

    /// One user less of a label; with the last one it is free again.
    fn unlabel(&mut self, label: &Arc<str>) {
        if let Some(users) = self.labels.get_mut(label) {
            *users -= 1;
            if *users == 0 {
                self.labels.remove(label);
            }
        }
    }

    /// Takes a query off the books, so that it can have no second answer. What of it has not begun to leave this machine
    /// never does, whether or not nodes may be told to call parts off: a part that waited for its connection went out to
    /// nobody's use else.
    fn forget(&mut self, now: Micros, query: QueryId, out: &mut Vec<Command>) -> Option<Held> {
        let held = self.held.remove(&query)?;
        self.unlabel(&held.request.request_id);
        self.classes.end(held.class);
        self.held_count -= 1 + held.values.len();
        self.ends.remove(&(held.until, query));
        self.tokens.remove(&held.request.token);
        for part in (0..held.values.len() as u64).map(|at| PartId(query.0 + 1 + at)) {
            self.parts.remove(&part);
            self.attempts.remove(&part);
            let of = |n| AttemptKey { part, attempt: AttemptNo(n) };
            let flights = self.flights.range(of(0)..=of(u16::MAX));
            let waiting: Vec<_> = flights.filter(|f| !f.1.begun).map(|f| *f.0).collect();
            waiting.into_iter().for_each(|key| self.call_off(now, key, out));
        }
        Some(held)
    }

    /// Gives an attempt up; the module hears of its end in the next turn.
    fn call_off(&mut self, now: Micros, key: AttemptKey, out: &mut Vec<Command>) {
        let Some(flight) = self.land(key) else { return };
        out.push(Command::CancelAttempt(flight.replica, key));
        let outcome = if flight.begun { Outcome::Cancelled } else { Outcome::NotSent };
        let mut events = std::mem::take(&mut self.pending);
        self.tell(now, key, &flight, outcome, &mut events);
        self.pending = events;
    }

    fn carry_out(&mut self, now: Micros, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { part, replica, timeout, not_after: by } => {
                self.launch(now, part, replica, (timeout, by), out);
            }
            Action::Cancel { part, attempt } => self.call_off(now, AttemptKey { part, attempt }, out),
            Action::Answer { query, complete: whole } => self.answer(now, query, whole, out),
            Action::Reject { query, retry_after: come_back } => {
                let come_back = come_back.map(Micros::from_nanos);
                self.give_up(
                    now,
                    query,
                    |late| Answer::Rejected { retry_after: come_back, late },
                    &COUNTERS.refused,
                    out,
                );
            }
            Action::Fail(query) => {
                self.give_up(now, query, |late| Answer::Failed { late }, &COUNTERS.failed, out);
            }
            Action::SetTimer(at) => {
                // Rounded up: a wake-up before its time would find nothing due and be set again.
                let at = Micros::from_nanos(at.saturating_add(999));
                self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
            }
            Action::CloseIdle(replica) => out.push(Command::CloseIdle(replica)),
            // The watch runs from the start to the end.
            Action::Subscribe => {}
        }
    }

    fn launch(
        &mut self,
        now: Micros,
        part: PartId,
        replica: ReplicaId,
        (timeout, by): (Nanos, Nanos),
        out: &mut Vec<Command>,
    ) {
        let number = self.attempts.entry(part).or_insert(0);
        let key = AttemptKey { part, attempt: AttemptNo(*number) };
        let live = self.parts.get(&part).and_then(|(query, at)| Some((self.held.get(query)?, *at)));
        let Some((held, at)) = live else {
            self.attempts.remove(&part);
            return invariant(false, "an attempt at a part that is over");
        };
        *number += 1;
        let until = (now + Micros::from_nanos(timeout)).min(held.until);
        COUNTERS.attempts.add();
        invariant(
            self.settings.hedging || !self.flights.keys().any(|k| k.part == part),
            "a part has two attempts out",
        );
        let (label, class) = (held.request.request_id.clone(), held.class);
        // A connection may come up long after: what must not go out by then is taken back before.
        let look = until.min(Micros::from_nanos(by));
        let flight = Flight { replica, sent: now, until, look, begun: false, label: label.clone(), class };
        self.flights.insert(key, flight);
        *self.labels.entry(label.clone()).or_insert(0) += 1;
        self.time_outs.insert((look, key));
        let job = AttemptRequest {
            key,
            request_id: label,
            shard: held.request.parts[at].shard,
            payload: held.request.payload.clone(),
            context: held.request.parts[at].context.clone(),
            timeout: until.since(now),
            metrics: self.classes.tally(class).clone(),
        };
        self.classes.begin(class);
        out.push(Command::Dispatch(replica, vec![job]));
    }

    fn answer(&mut self, now: Micros, query: QueryId, whole: bool, out: &mut Vec<Command>) {
        let Some(held) = self.forget(now, query, out) else {
            return invariant(false, "an answer to no query");
        };
        let class = self.classes.get(held.class);
        let parts = held.request.parts.iter().zip(held.values);
        let mut weight = 0.0;
        let mut values = Vec::new();
        for (part, value) in parts {
            if let Some(value) = value {
                weight += part.weight;
                values.push((part.shard, value));
            }
        }
        let least = if whole { class.required_share } else { class.min_share };
        invariant(weight + 1e-4 >= least, "an answer from too few parts");
        if whole { &COUNTERS.whole } else { &COUNTERS.partial }.add();
        self.reply(held.class, &held.request, Answer::Served { complete: whole, parts: values }, out);
    }

    fn give_up(
        &mut self,
        now: Micros,
        query: QueryId,
        answer: impl FnOnce(bool) -> Answer,
        counter: &Counter,
        out: &mut Vec<Command>,
    ) {
        // A class that is none is failed by the module before its parts are known.
        let Some(held) = self.forget(now, query, out) else { return invariant(false, "an end to no query") };
        counter.add();
        let late = now + NEAR_END >= held.wanted.min(held.until);
        self.reply(held.class, &held.request, answer(late), out);
    }
}

/// The settings as the module has them: it aims ahead of what clients want by what lies between.
fn ahead(mut set: Settings) -> Settings {
    set.classes.iter_mut().for_each(|c| {
        c.latency_objective =
            c.latency_objective.saturating_sub(ANSWER_WAY.to_nanos()).max(c.latency_objective / 2)
    });
    set
}

/// No front speaks of a second step.
fn without_second_steps(mut set: Settings) -> Settings {
    set.classes.iter_mut().for_each(|c| c.follow_up_parts = 0);
    set
}

/// Joins launches of one turn to one server into calls of at most so many parts.
fn bundle(out: &mut Vec<Command>, most: usize) {
    if most < 2 {
        return;
    }
    let mut joined: Vec<Command> = Vec::with_capacity(out.len());
    for command in out.drain(..) {
        if let Command::Dispatch(replica, jobs) = &command {
            let fits =
                |c: &&mut Command| matches!(c, Command::Dispatch(r, j) if r == replica && j.len() < most);
            if let Some(Command::Dispatch(_, call)) = joined.iter_mut().find(fits) {
                call.extend(jobs.iter().cloned());
                continue;
            }
        }
        joined.push(command);
    }
    *out = joined;
}
