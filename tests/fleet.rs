//! The full fleet in virtual time: 300 instances of the module side by side, each with a query in two seconds.

mod common;
use common::*;
use quinceflow::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const INSTANCES: usize = 300;
const NODES: u8 = 20;
/// Between two queries of an instance.
const PAUSE: Nanos = 2 * S;
const SEND: u16 = 0;
const LOOKUP: u16 = 1;
const REPORT: u16 = 2;

/// Sent, looked up whole, and reported from four fifths of it.
fn site() -> Settings {
    let of = |name: &str, effect| Class {
        name: name.to_owned(),
        latency_objective: 400 * MS,
        deadline: 800 * MS,
        late_weight: 0.0,
        ..class(effect)
    };
    let classes = vec![
        of("send", Effect::NonIdempotent),
        of("lookup", Effect::Idempotent),
        Class { min_share: 0.8, ..of("report", Effect::Idempotent) },
    ];
    let cells = u32::from(NODES);
    Settings {
        coordinators: INSTANCES as u32,
        classes,
        shards: cells,
        cells,
        ..settings(class(Effect::Idempotent))
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Ask,
    Wake,
    AttemptEnd(PartId, AttemptNo, Outcome, Nanos),
    /// The list tells of a node: it has just started, or it drains.
    Fresh(u8),
    Drains(u8),
}

/// What became of a query, and when it was asked.
struct Fate {
    at: Nanos,
    class: u16,
    finals: usize,
    served: bool,
}

struct Fleet {
    modules: Vec<DecisionPolicy>,
    /// When each is due next, and what for; the first number orders what is due at once.
    due: BinaryHeap<Reverse<(Nanos, u64, usize, Due)>>,
    order: u64,
    now: Nanos,
    rng: fastrand::Rng,
    /// Attempts at each part so far.
    tries: BTreeMap<(usize, PartId), u16>,
    out: BTreeMap<(usize, PartId, AttemptNo), Nanos>,
    fates: BTreeMap<(usize, QueryId), Fate>,
    /// Each part that a node was sent, and the work it is.
    sent: Vec<(Nanos, u8, Nanos)>,
    /// Queries of ten that are not sends.
    wide: usize,
    /// Nodes below this say nothing from the one time to the other.
    silent: (u8, Nanos, Nanos),
}

impl Fleet {
    fn new(set: &Settings) -> Self {
        let mut fleet = Fleet {
            modules: (0..INSTANCES).map(|n| DecisionPolicy::new(set.clone(), n as u64, START)).collect(),
            due: BinaryHeap::new(),
            order: 0,
            now: START,
            rng: fastrand::Rng::with_seed(42),
            tries: BTreeMap::new(),
            out: BTreeMap::new(),
            fates: BTreeMap::new(),
            sent: Vec::new(),
            wide: 3,
            silent: (0, 0, 0),
        };
        for n in 0..INSTANCES {
            let members = (0..NODES).map(|n| member(n, EndpointState::Ready, 0)).collect();
            fleet.tell(n, vec![Event::Endpoints { kind: EndpointListKind::Cached, endpoints: members }]);
            let first = fleet.rng.u64(..PAUSE);
            fleet.later(first, n, Due::Ask);
        }
        fleet
    }

    fn later(&mut self, wait: Nanos, instance: usize, what: Due) {
        self.order += 1;
        self.due.push(Reverse((self.now + wait, self.order, instance, what)));
    }

    fn run(&mut self, until: Nanos) {
        while self.due.peek().is_some_and(|d| d.0 .0 < until) {
            let Some(Reverse((at, _, instance, what))) = self.due.pop() else { return };
            self.now = at;
            match what {
                Due::Ask => self.ask(instance),
                Due::Wake => self.tell(instance, vec![Event::TimerFired]),
                Due::AttemptEnd(part, attempt, outcome, elapsed) => {
                    self.end(instance, part, attempt, outcome, elapsed)
                }
                Due::Fresh(node) => self.list(instance, member(node, EndpointState::Ready, at)),
                Due::Drains(node) => self.list(instance, member(node, EndpointState::Draining, 0)),
            }
        }
    }

    fn list(&mut self, instance: usize, member: Endpoint) {
        self.tell(
            instance,
            vec![Event::Endpoints { kind: EndpointListKind::Delta, endpoints: vec![member] }],
        );
    }

    fn ask(&mut self, instance: usize) {
        self.later(PAUSE, instance, Due::Ask);
        self.order += 100;
        let (id, dice) = (self.order, self.rng.usize(..10));
        let class = if dice >= self.wide { SEND } else { [LOOKUP, REPORT][dice % 2] };
        let shards: Vec<u32> = match class {
            SEND => vec![self.rng.u32(..u32::from(NODES) / 5)],
            LOOKUP => (0..5).map(|_| self.rng.u32(..u32::from(NODES))).collect(),
            _ => (0..5 * u32::from(NODES)).map(|n| n % u32::from(NODES)).collect(),
        };
        self.fates.insert((instance, QueryId(id)), Fate { at: self.now, class, finals: 0, served: false });
        let mut events = vec![query_event(id, class, 0, 800 * MS)];
        let weight = 1.0 / shards.len() as f64;
        events.extend(shards.iter().zip(id + 1..).map(|(shard, part)| Event::Part {
            part: PartId(part),
            group: GroupId(id as u32),
            shard: ShardId(*shard),
            weight,
        }));
        self.tell(instance, events);
    }

    fn end(&mut self, instance: usize, part: PartId, attempt: AttemptNo, outcome: Outcome, elapsed: Nanos) {
        if self.out.remove(&(instance, part, attempt)).is_some() {
            self.tell(instance, vec![Event::Outcome { part, attempt, outcome, elapsed }]);
        }
    }

    fn tell(&mut self, instance: usize, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.modules[instance].handle(self.now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send { part, replica: ReplicaId(id), timeout, .. } => {
                    self.send(instance, part, id[3], timeout);
                }
                Action::Cancel { part, attempt } => {
                    if let Some(at) = self.out.get(&(instance, part, attempt)) {
                        let elapsed = self.now - at;
                        self.later(0, instance, Due::AttemptEnd(part, attempt, Outcome::Cancelled, elapsed));
                    }
                }
                Action::Answer { query, .. } => self.answered(instance, query, true),
                Action::Reject { query, .. } | Action::Fail(query) => self.answered(instance, query, false),
                Action::SetTimer(at) => self.later(at - self.now, instance, Due::Wake),
                Action::CloseIdle(_) | Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, instance: usize, part: PartId, node: u8, timeout: Nanos) {
        let tries = self.tries.entry((instance, part)).or_default();
        let attempt = AttemptNo(*tries);
        *tries += 1;
        self.out.insert((instance, part, attempt), self.now);
        let took = 30 * MS + self.rng.u64(..40 * MS);
        self.sent.push((self.now, node, took));
        let silent = node < self.silent.0 && (self.silent.1..self.silent.2).contains(&self.now);
        let (outcome, elapsed) =
            if silent || took > timeout { (Outcome::TimedOut, timeout) } else { (Outcome::Ok, took) };
        self.later(elapsed, instance, Due::AttemptEnd(part, attempt, outcome, elapsed));
    }

    fn answered(&mut self, instance: usize, query: QueryId, served: bool) {
        let fate = self.fates.get_mut(&(instance, query)).expect("a query that was asked");
        (fate.finals, fate.served) = (fate.finals + 1, served);
    }

    /// Share served of a class among queries asked from the one time to the other.
    fn served(&self, class: u16, from: Nanos, to: Nanos) -> f64 {
        let asked: Vec<&Fate> =
            self.fates.values().filter(|f| f.class == class && (from..to).contains(&f.at)).collect();
        asked.iter().filter(|f| f.served).count() as f64 / asked.len() as f64
    }
}

#[test]
fn all_instances_return_to_nodes_that_were_silent_and_not_all_at_once() {
    let mut fleet = Fleet::new(&site());
    let (from, back, end) = (START + 5 * S, START + 10 * S, START + 26 * S);
    // Two neighbours: nobody answers for the shard that both hold.
    fleet.silent = (2, from, back);
    fleet.run(end);
    let open = |f: &Fate| f.finals == 0 && f.at + S >= end;
    assert!(fleet.fates.values().all(|f| f.finals == 1 || open(f)), "one final answer each");
    for class in [SEND, LOOKUP, REPORT] {
        assert!(fleet.served(class, START, from - S) > 0.99, "class {class} before");
        let after = fleet.served(class, back + 8 * S, end - S);
        assert!(after > 0.95, "class {class} after: {after}");
    }
    assert!(fleet.served(REPORT, from, back) > 0.9, "who can spare two of twenty parts is served meanwhile");
    let most = |from: Nanos, to: Nanos| {
        let parts: Vec<Nanos> = fleet.sent.iter().filter(|s| s.1 == 0).map(|s| s.0).collect();
        let within = |at: Nanos| parts.iter().filter(|p| (at..at + 100 * MS).contains(p)).count();
        (from..to).step_by(100 * MS as usize).map(within).max().unwrap_or(0)
    };
    let (usual, returning) = (most(START, from), most(back, back + 5 * S));
    assert!(returning <= 2 * usual, "{returning} parts in 100 ms, {usual} before");
}

#[test]
fn instances_that_ask_only_for_what_must_not_run_twice_return_too() {
    // Only what may run again made trials of a node that had been silent: these instances refused its shard for good.
    let mut fleet = Fleet::new(&site());
    let (back, end) = (START + 10 * S, START + 26 * S);
    (fleet.wide, fleet.silent) = (0, (2, START + 3 * S, back));
    fleet.run(end);
    let after = fleet.served(SEND, back + 8 * S, end - S);
    assert!(after > 0.98, "{after}");
}

/// The rule over the sum of all instances: what a node that starts is sent in any second stays under what it bears.
/// How many parts it was sent.
fn spared(fleet: &Fleet, node: u8, told: Nanos) -> usize {
    let sent: Vec<_> = fleet.sent.iter().filter(|s| s.1 == node && s.0 >= told).collect();
    for (n, (at, ..)) in sent.iter().enumerate() {
        let age = (at - told) as f64 / (20 * S) as f64;
        let work: Nanos = sent[..=n].iter().filter(|s| s.0 + S > *at).map(|s| s.2).sum();
        let bears = 3.0 * (0.2 + 0.8 * age) * S as f64;
        assert!(work as f64 <= bears, "node {node}: {work} ns of work at {age:.2} of the warm-up");
    }
    sent.len()
}

/// A fleet in which these nodes start at one time, told to all at once.
fn with_fresh(nodes: &[u8], told: Nanos) -> Fleet {
    let rule =
        SlowStartRule { overload_factor: 3.0, overload_window: S, initial_capacity: 0.2, warm_up: 20 * S };
    let mut fleet = Fleet::new(&Settings { slow_start: Some(rule), ..site() });
    for n in 0..INSTANCES {
        nodes.iter().for_each(|node| fleet.later(told - START, n, Due::Fresh(*node)));
    }
    fleet.run(told + 20 * S);
    fleet
}

#[test]
fn the_whole_fleet_spares_a_node_that_starts_and_uses_it() {
    let told = START + 5 * S;
    let fleet = with_fresh(&[3], told);
    let sent = spared(&fleet, 3, told);
    assert!(sent > 100, "{sent} parts in its warm-up");
    for class in [SEND, LOOKUP, REPORT] {
        assert!(fleet.served(class, told, told + 18 * S) > 0.99, "class {class}");
    }
}

#[test]
fn all_holders_of_a_shard_that_start_at_once_are_spared_and_no_query_is_lost() {
    let told = START + 5 * S;
    let fleet = with_fresh(&[3, 4], told);
    let sent = [3, 4].map(|node| spared(&fleet, node, told));
    assert!(sent.iter().all(|n| *n > 100), "{sent:?} parts in their warm-up");
    let open = |f: &Fate| f.finals == 0 && f.at + S >= told + 20 * S;
    assert!(fleet.fates.values().all(|f| f.finals == 1 || open(f)), "one final answer each");
    // Who can spare a part of twenty is served meanwhile.
    assert!(fleet.served(REPORT, told, told + 18 * S) > 0.9);
}

#[test]
fn the_neighbours_of_a_node_that_drains_share_its_parts_with_theirs() {
    // They held two shards alone and half of the two they share: half as much again, and their queues filled, while
    // each instance met them too seldom to see it.
    let mut fleet = Fleet::new(&site());
    let told = START + 2 * S;
    for n in 0..INSTANCES {
        fleet.later(told - START, n, Due::Drains(10));
    }
    let (from, end) = (told + S, told + 12 * S);
    fleet.run(end);
    let load = |node: u8| fleet.sent.iter().filter(|s| s.1 == node && s.0 >= from).count() as f64;
    let mean = (0..NODES).filter(|n| *n != 10).map(load).sum::<f64>() / f64::from(NODES - 1);
    assert_eq!(load(10), 0.0);
    for node in [9, 11] {
        assert!(load(node) < 1.2 * mean, "node {node}: {:.2} of the mean", load(node) / mean);
    }
}
