//! The full fleet in virtual time: 300 instances of the policy side by side, each with a query
//! every two seconds.

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

/// Three classes: sends, which are not idempotent; lookups, which need all parts; reports, from
/// four fifths of them.
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
        Class {
            min_share: 0.8,
            ..of("report", Effect::Idempotent)
        },
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

/// An occurrence at an instance.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Query,
    Timer,
    AttemptEnd(PartId, AttemptNo, Outcome, Nanos),
    /// The endpoint list reports a node that has just started, or one that drains.
    Started(u8),
    Draining(u8),
}

/// Something that is scheduled, in the order in which it happens.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Nanos,
    /// Orders what is due at the same time.
    order: u64,
    instance: usize,
    due: Due,
}

/// The course of a submitted query.
struct Fate {
    at: Nanos,
    class: u16,
    final_answers: usize,
    served: bool,
}

/// A part that a node was sent, and the work it is.
struct SentPart {
    at: Nanos,
    node: u8,
    work: Nanos,
}

/// Nodes below `nodes` answer nothing from one time to another.
#[derive(Default)]
struct Outage {
    nodes: u8,
    from: Nanos,
    until: Nanos,
}

struct Fleet {
    policies: Vec<DecisionPolicy>,
    scheduled: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
    now: Nanos,
    rng: fastrand::Rng,
    /// Attempts at each part so far.
    attempts: BTreeMap<(usize, PartId), u16>,
    in_flight: BTreeMap<(usize, PartId, AttemptNo), Nanos>,
    fates: BTreeMap<(usize, QueryId), Fate>,
    sent: Vec<SentPart>,
    /// How many queries of ten are not sends.
    wide: usize,
    outage: Outage,
}

impl Fleet {
    fn new(set: &Settings) -> Self {
        let mut fleet = Fleet {
            policies: (0..INSTANCES)
                .map(|n| DecisionPolicy::new(set.clone(), n as u64, START))
                .collect(),
            scheduled: BinaryHeap::new(),
            order: 0,
            now: START,
            rng: fastrand::Rng::with_seed(42),
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            fates: BTreeMap::new(),
            sent: Vec::new(),
            wide: 3,
            outage: Outage::default(),
        };
        for n in 0..INSTANCES {
            let members = (0..NODES)
                .map(|n| endpoint(n, EndpointState::Ready, 0))
                .collect();
            fleet.report(
                n,
                vec![Event::Endpoints {
                    kind: EndpointListKind::Cached,
                    endpoints: members,
                }],
            );
            let first = fleet.rng.u64(..PAUSE);
            fleet.schedule(first, n, Due::Query);
        }
        fleet
    }

    fn schedule(&mut self, wait: Nanos, instance: usize, due: Due) {
        self.order += 1;
        let scheduled = Scheduled {
            at: self.now + wait,
            order: self.order,
            instance,
            due,
        };
        self.scheduled.push(Reverse(scheduled));
    }

    fn run(&mut self, until: Nanos) {
        while self.scheduled.peek().is_some_and(|next| next.0.at < until) {
            let Some(Reverse(Scheduled {
                at, instance, due, ..
            })) = self.scheduled.pop()
            else {
                return;
            };
            self.now = at;
            match due {
                Due::Query => self.submit(instance),
                Due::Timer => self.report(instance, vec![Event::TimerFired]),
                Due::AttemptEnd(part, attempt, outcome, elapsed) => {
                    self.complete(instance, part, attempt, outcome, elapsed)
                }
                Due::Started(node) => self.list(instance, endpoint(node, EndpointState::Ready, at)),
                Due::Draining(node) => {
                    self.list(instance, endpoint(node, EndpointState::Draining, 0))
                }
            }
        }
    }

    fn list(&mut self, instance: usize, member: Endpoint) {
        self.report(
            instance,
            vec![Event::Endpoints {
                kind: EndpointListKind::Delta,
                endpoints: vec![member],
            }],
        );
    }

    fn submit(&mut self, instance: usize) {
        self.schedule(PAUSE, instance, Due::Query);
        self.order += 100;
        let id = self.order;
        let dice = self.rng.usize(..10);
        let class = if dice >= self.wide {
            SEND
        } else {
            [LOOKUP, REPORT][dice % 2]
        };
        let shards: Vec<u32> = match class {
            SEND => vec![self.rng.u32(..u32::from(NODES) / 5)],
            LOOKUP => (0..5).map(|_| self.rng.u32(..u32::from(NODES))).collect(),
            _ => (0..5 * u32::from(NODES))
                .map(|n| n % u32::from(NODES))
                .collect(),
        };
        self.fates.insert(
            (instance, QueryId(id)),
            Fate {
                at: self.now,
                class,
                final_answers: 0,
                served: false,
            },
        );
        let mut events = vec![query_event(id, class, 0, 800 * MS)];
        let weight = 1.0 / shards.len() as f64;
        events.extend(
            shards
                .iter()
                .zip(id + 1..)
                .map(|(shard, part)| Event::Part {
                    part: PartId(part),
                    group: GroupId(id as u32),
                    shard: ShardId(*shard),
                    weight,
                }),
        );
        self.report(instance, events);
    }

    fn complete(
        &mut self,
        instance: usize,
        part: PartId,
        attempt: AttemptNo,
        outcome: Outcome,
        elapsed: Nanos,
    ) {
        if self.in_flight.remove(&(instance, part, attempt)).is_some() {
            self.report(
                instance,
                vec![Event::Outcome {
                    part,
                    attempt,
                    outcome,
                    elapsed,
                }],
            );
        }
    }

    fn report(&mut self, instance: usize, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.policies[instance].handle(self.now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    part,
                    replica: ReplicaId(id),
                    timeout,
                    ..
                } => {
                    self.send(instance, part, id[3], timeout);
                }
                Action::Cancel { part, attempt } => {
                    if let Some(at) = self.in_flight.get(&(instance, part, attempt)) {
                        let elapsed = self.now - at;
                        self.schedule(
                            0,
                            instance,
                            Due::AttemptEnd(part, attempt, Outcome::Cancelled, elapsed),
                        );
                    }
                }
                Action::Answer { query, .. } => self.answered(instance, query, true),
                Action::Reject { query, .. } | Action::Fail(query) => {
                    self.answered(instance, query, false)
                }
                Action::SetTimer(at) => self.schedule(at - self.now, instance, Due::Timer),
                Action::CloseIdle(_) | Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, instance: usize, part: PartId, node: u8, timeout: Nanos) {
        let attempts = self.attempts.entry((instance, part)).or_default();
        let attempt = AttemptNo(*attempts);
        *attempts += 1;
        self.in_flight.insert((instance, part, attempt), self.now);
        let took = 30 * MS + self.rng.u64(..40 * MS);
        self.sent.push(SentPart {
            at: self.now,
            node,
            work: took,
        });
        let outage = &self.outage;
        let silent = node < outage.nodes && (outage.from..outage.until).contains(&self.now);
        let (outcome, elapsed) = if silent || took > timeout {
            (Outcome::TimedOut, timeout)
        } else {
            (Outcome::Ok, took)
        };
        self.schedule(
            elapsed,
            instance,
            Due::AttemptEnd(part, attempt, outcome, elapsed),
        );
    }

    fn answered(&mut self, instance: usize, query: QueryId, served: bool) {
        let fate = self
            .fates
            .get_mut(&(instance, query))
            .expect("a query that was submitted");
        fate.final_answers += 1;
        fate.served = served;
    }

    /// The share of a class's queries served, of those submitted from one time to another.
    fn served(&self, class: u16, from: Nanos, to: Nanos) -> f64 {
        let asked: Vec<&Fate> = self
            .fates
            .values()
            .filter(|f| f.class == class && (from..to).contains(&f.at))
            .collect();
        asked.iter().filter(|f| f.served).count() as f64 / asked.len() as f64
    }
}

#[test]
fn all_instances_return_to_recovered_nodes_gradually() {
    let mut fleet = Fleet::new(&site());
    let from = START + 5 * S;
    let back = START + 10 * S;
    let end = START + 26 * S;
    // Two neighbours: nobody answers for the shard that both hold.
    fleet.outage = Outage {
        nodes: 2,
        from,
        until: back,
    };
    fleet.run(end);
    let open = |f: &Fate| f.final_answers == 0 && f.at + S >= end;
    assert!(
        fleet
            .fates
            .values()
            .all(|f| f.final_answers == 1 || open(f)),
        "one final answer each"
    );
    for class in [SEND, LOOKUP, REPORT] {
        assert!(
            fleet.served(class, START, from - S) > 0.99,
            "class {class} before"
        );
        let after = fleet.served(class, back + 8 * S, end - S);
        assert!(after > 0.95, "class {class} after: {after}");
    }
    assert!(
        fleet.served(REPORT, from, back) > 0.9,
        "reports may lack two of twenty parts: they are served meanwhile"
    );
    let most = |from: Nanos, to: Nanos| {
        let parts: Vec<Nanos> = fleet
            .sent
            .iter()
            .filter(|s| s.node == 0)
            .map(|s| s.at)
            .collect();
        let within = |at: Nanos| {
            parts
                .iter()
                .filter(|p| (at..at + 100 * MS).contains(p))
                .count()
        };
        (from..to)
            .step_by(100 * MS as usize)
            .map(within)
            .max()
            .unwrap_or(0)
    };
    let usual = most(START, from);
    let returning = most(back, back + 5 * S);
    assert!(
        returning <= 2 * usual,
        "{returning} parts in 100 ms, {usual} before"
    );
}

#[test]
fn instances_with_only_non_idempotent_queries_return_to_recovered_nodes() {
    // A failed node is probed by non-idempotent parts too, where an instance has no others.
    let mut fleet = Fleet::new(&site());
    let back = START + 10 * S;
    let end = START + 26 * S;
    fleet.wide = 0;
    fleet.outage = Outage {
        nodes: 2,
        from: START + 3 * S,
        until: back,
    };
    fleet.run(end);
    let after = fleet.served(SEND, back + 8 * S, end - S);
    assert!(after > 0.98, "{after}");
}

/// Checks that what all instances together send a starting node in any second stays within its
/// capacity; returns how many parts it was sent.
fn parts_within_capacity(fleet: &Fleet, node: u8, started: Nanos) -> usize {
    let sent: Vec<_> = fleet
        .sent
        .iter()
        .filter(|s| s.node == node && s.at >= started)
        .collect();
    for (n, SentPart { at, .. }) in sent.iter().enumerate() {
        let age = (at - started) as f64 / (20 * S) as f64;
        let work: Nanos = sent[..=n]
            .iter()
            .filter(|s| s.at + S > *at)
            .map(|s| s.work)
            .sum();
        let capacity = 3.0 * (0.2 + 0.8 * age) * S as f64;
        assert!(
            work as f64 <= capacity,
            "node {node}: {work} ns of work at {age:.2} of the warm-up"
        );
    }
    sent.len()
}

/// A fleet in which these nodes start at one time, which all instances learn at once.
fn fleet_with_starting(nodes: &[u8], started: Nanos) -> Fleet {
    let rule = SlowStartRule {
        overload_factor: 3.0,
        overload_window: S,
        initial_capacity: 0.2,
        warm_up: 20 * S,
    };
    let mut fleet = Fleet::new(&Settings {
        slow_start: Some(rule),
        ..site()
    });
    for n in 0..INSTANCES {
        nodes
            .iter()
            .for_each(|node| fleet.schedule(started - START, n, Due::Started(*node)));
    }
    fleet.run(started + 20 * S);
    fleet
}

#[test]
fn the_fleet_does_not_overload_a_starting_node_and_uses_it() {
    let started = START + 5 * S;
    let fleet = fleet_with_starting(&[3], started);
    let sent = parts_within_capacity(&fleet, 3, started);
    assert!(sent > 100, "{sent} parts in its warm-up");
    for class in [SEND, LOOKUP, REPORT] {
        assert!(
            fleet.served(class, started, started + 18 * S) > 0.99,
            "class {class}"
        );
    }
}

#[test]
fn starting_all_holders_of_a_shard_overloads_none_and_loses_no_query() {
    let started = START + 5 * S;
    let fleet = fleet_with_starting(&[3, 4], started);
    let sent = [3, 4].map(|node| parts_within_capacity(&fleet, node, started));
    assert!(
        sent.iter().all(|n| *n > 100),
        "{sent:?} parts in their warm-up"
    );
    let open = |f: &Fate| f.final_answers == 0 && f.at + S >= started + 20 * S;
    assert!(
        fleet
            .fates
            .values()
            .all(|f| f.final_answers == 1 || open(f)),
        "one final answer each"
    );
    // Reports may lack a part of twenty: they are served meanwhile.
    assert!(fleet.served(REPORT, started, started + 18 * S) > 0.9);
}

#[test]
fn the_load_of_a_draining_node_spreads_beyond_its_neighbours() {
    // The neighbours hold two shards alone and share two: without a spread over further nodes they
    // get half as much load again, which each instance meets too seldom to notice.
    let mut fleet = Fleet::new(&site());
    let drained = START + 2 * S;
    for n in 0..INSTANCES {
        fleet.schedule(drained - START, n, Due::Draining(10));
    }
    let from = drained + S;
    let end = drained + 12 * S;
    fleet.run(end);
    let load = |node: u8| {
        fleet
            .sent
            .iter()
            .filter(|s| s.node == node && s.at >= from)
            .count() as f64
    };
    let mean = (0..NODES).filter(|n| *n != 10).map(load).sum::<f64>() / f64::from(NODES - 1);
    assert_eq!(load(10), 0.0);
    for node in [9, 11] {
        assert!(
            load(node) < 1.2 * mean,
            "node {node}: {:.2} of the mean",
            load(node) / mean
        );
    }
}
