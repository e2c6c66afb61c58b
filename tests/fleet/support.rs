//! A fleet of policy instances in virtual time, with its queries, attempts and outages.

use crate::common::*;
use quinceflow::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The number of policy instances.
pub const INSTANCES: usize = 300;
/// The number of nodes, each in a cell of its own.
pub const NODES: u8 = 20;
/// The time between two queries of an instance.
pub const PAUSE: Nanos = 2 * S;
/// The class of sends.
pub const SEND: u16 = 0;
/// The class of lookups.
pub const LOOKUP: u16 = 1;
/// The class of reports.
pub const REPORT: u16 = 2;

/// Returns settings of three classes: sends, which are not idempotent; lookups, which need all
/// parts; reports, which need four fifths of them.
pub fn fleet_settings() -> Settings {
    let class_with = |name: &str, effect| Class {
        name: name.to_owned(),
        latency_objective: 400 * MS,
        deadline: 800 * MS,
        late_weight: 0.0,
        ..class(effect)
    };
    let classes = vec![
        class_with("send", Effect::NonIdempotent),
        class_with("lookup", Effect::Idempotent),
        Class {
            min_share: 0.8,
            ..class_with("report", Effect::Idempotent)
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

/// An event at an instance.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FleetEvent {
    Query,
    Timer,
    AttemptEnd(PartId, AttemptNo, Outcome, Nanos),
    /// The endpoint list reports a node that has just started.
    Started(u8),
    /// The endpoint list reports a node that drains.
    Draining(u8),
}

/// A scheduled event; events are ordered by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scheduled {
    pub at: Nanos,
    /// The order of events at the same time.
    pub order: u64,
    pub instance: usize,
    pub event: FleetEvent,
}

/// A submitted query and its answers.
pub struct QueryRecord {
    pub at: Nanos,
    pub class: u16,
    pub final_answers: usize,
    pub served: bool,
}

/// A part that was sent to a node.
pub struct SentPart {
    pub at: Nanos,
    pub node: u8,
    pub work: Nanos,
}

/// An outage, in which the first `nodes` nodes answer nothing in `from..until`.
#[derive(Default)]
pub struct Outage {
    pub nodes: u8,
    pub from: Nanos,
    pub until: Nanos,
}

/// The policy instances, and the events that are scheduled at them.
pub struct Fleet {
    pub policies: Vec<DecisionPolicy>,
    pub scheduled: BinaryHeap<Reverse<Scheduled>>,
    pub order: u64,
    pub now: Nanos,
    pub rng: fastrand::Rng,
    /// The number of attempts at each part so far.
    pub attempts: BTreeMap<(usize, PartId), u16>,
    pub in_flight: BTreeMap<(usize, PartId, AttemptNo), Nanos>,
    pub queries: BTreeMap<(usize, QueryId), QueryRecord>,
    pub sent: Vec<SentPart>,
    /// The number of lookups and reports, which have several parts, in ten queries.
    pub wide_per_ten: usize,
    pub outage: Outage,
}

impl Fleet {
    /// Returns a fleet in which each instance has a first query scheduled.
    pub fn new(settings: &Settings) -> Self {
        let mut fleet = Fleet {
            policies: (0..INSTANCES)
                .map(|n| DecisionPolicy::new(settings.clone(), n as u64, START))
                .collect(),
            scheduled: BinaryHeap::new(),
            order: 0,
            now: START,
            rng: fastrand::Rng::with_seed(42),
            attempts: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            queries: BTreeMap::new(),
            sent: Vec::new(),
            wide_per_ten: 3,
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
            fleet.schedule(first, n, FleetEvent::Query);
        }
        fleet
    }

    /// Schedules an event at an instance after `wait`.
    pub fn schedule(&mut self, wait: Nanos, instance: usize, event: FleetEvent) {
        self.order += 1;
        let scheduled = Scheduled {
            at: self.now + wait,
            order: self.order,
            instance,
            event,
        };
        self.scheduled.push(Reverse(scheduled));
    }

    /// Runs the events that are scheduled before a time.
    pub fn run(&mut self, until: Nanos) {
        while self.scheduled.peek().is_some_and(|next| next.0.at < until) {
            let Some(Reverse(Scheduled {
                at,
                instance,
                event,
                ..
            })) = self.scheduled.pop()
            else {
                return;
            };
            self.now = at;
            match event {
                FleetEvent::Query => self.submit(instance),
                FleetEvent::Timer => self.report(instance, vec![Event::TimerFired]),
                FleetEvent::AttemptEnd(part, attempt, outcome, elapsed) => {
                    self.complete(instance, part, attempt, outcome, elapsed)
                }
                FleetEvent::Started(node) => {
                    self.report_endpoint(instance, endpoint(node, EndpointState::Ready, at))
                }
                FleetEvent::Draining(node) => {
                    self.report_endpoint(instance, endpoint(node, EndpointState::Draining, 0))
                }
            }
        }
    }

    /// Reports a changed endpoint to an instance.
    pub fn report_endpoint(&mut self, instance: usize, member: Endpoint) {
        self.report(
            instance,
            vec![Event::Endpoints {
                kind: EndpointListKind::Delta,
                endpoints: vec![member],
            }],
        );
    }

    /// Submits a random query to an instance and schedules the next one.
    pub fn submit(&mut self, instance: usize) {
        self.schedule(PAUSE, instance, FleetEvent::Query);
        self.order += 100;
        let id = self.order;
        let class = self.draw_class();
        let shards = self.draw_shards(class);
        let query = QueryRecord {
            at: self.now,
            class,
            final_answers: 0,
            served: false,
        };
        self.queries.insert((instance, QueryId(id)), query);
        let weight = 1.0 / shards.len() as f64;
        let part = |(shard, part): (&u32, u64)| Event::Part {
            part: PartId(part),
            group: GroupId(id as u32),
            shard: ShardId(*shard),
            weight,
        };
        let mut events = vec![query_event(id, class, 0, 800 * MS)];
        events.extend(shards.iter().zip(id + 1..).map(part));
        self.report(instance, events);
    }

    /// Returns the class of a random query.
    fn draw_class(&mut self) -> u16 {
        let number = self.rng.usize(..10);
        if number >= self.wide_per_ten {
            SEND
        } else {
            [LOOKUP, REPORT][number % 2]
        }
    }

    /// Returns the shards of the parts of a random query.
    fn draw_shards(&mut self, class: u16) -> Vec<u32> {
        let shards = u32::from(NODES);
        match class {
            SEND => vec![self.rng.u32(..shards / 5)],
            LOOKUP => (0..5).map(|_| self.rng.u32(..shards)).collect(),
            _ => (0..5 * shards).map(|part| part % shards).collect(),
        }
    }

    /// Reports the end of an attempt, unless that has been reported.
    pub fn complete(
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

    /// Reports events to an instance and carries out its actions.
    pub fn report(&mut self, instance: usize, events: Vec<Event>) {
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
                            FleetEvent::AttemptEnd(part, attempt, Outcome::Cancelled, elapsed),
                        );
                    }
                }
                Action::Answer { query, .. } => self.record_final_answer(instance, query, true),
                Action::Reject { query, .. } | Action::Fail(query) => {
                    self.record_final_answer(instance, query, false)
                }
                Action::SetTimer(at) => self.schedule(at - self.now, instance, FleetEvent::Timer),
                Action::CloseIdle(_) | Action::Subscribe => {}
            }
        }
    }

    /// Sends an attempt to a node and schedules its end.
    pub fn send(&mut self, instance: usize, part: PartId, node: u8, timeout: Nanos) {
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
            FleetEvent::AttemptEnd(part, attempt, outcome, elapsed),
        );
    }

    /// Records the final answer to a query.
    pub fn record_final_answer(&mut self, instance: usize, query: QueryId, served: bool) {
        let record = self
            .queries
            .get_mut(&(instance, query))
            .expect("the query was submitted");
        record.final_answers += 1;
        record.served = served;
    }

    /// Returns the share of served queries among those of a class submitted in `from..to`.
    pub fn served(&self, class: u16, from: Nanos, to: Nanos) -> f64 {
        let submitted: Vec<&QueryRecord> = self
            .queries
            .values()
            .filter(|f| f.class == class && (from..to).contains(&f.at))
            .collect();
        submitted.iter().filter(|f| f.served).count() as f64 / submitted.len() as f64
    }

    /// Asserts that each query has one final answer; queries submitted in the second before `end` may
    /// have none yet.
    pub fn assert_one_final_answer_each(&self, end: Nanos) {
        let is_open = |query: &QueryRecord| query.final_answers == 0 && query.at + S >= end;
        let mut queries = self.queries.values();
        assert!(
            queries.all(|query| query.final_answers == 1 || is_open(query)),
            "each query has one final answer"
        );
    }
}
