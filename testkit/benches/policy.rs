//! Micro-benchmarks of the decision policy: batches of events under a steady load. They are run by
//! `cargo bench -p quinceflow-testkit --bench policy`.
//!
//! They use only the crate's public interface. A simulated coordinator keeps the attempts in flight
//! and reports their outcomes; the time of its own maps is part of the measurement.

use divan::counter::ItemsCount;
use divan::Bencher;
use quinceflow::{
    Action, AttemptNo, CellId, Class, ClassId, DecisionPolicy, Effect, Endpoint, EndpointListKind,
    EndpointState, Event, GroupId, Nanos, Outcome, PartId, QueryId, ReplicaId, RetryBudget,
    ServiceReduction, Settings, ShardId, TenantId, ZoneId,
};
use std::collections::BTreeMap;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// Number of shards, which is also the number of cells and of the parts of a query.
const SHARDS: u32 = 12;
const CELLS_PER_SHARD: u32 = 2;
const REPLICAS: u32 = 200;
const ZONES: u32 = 3;

/// Time between two batches, each of which submits one query.
const BATCH_INTERVAL: Nanos = MILLISECOND;
/// Number of pending queries in the steady state.
const PENDING_QUERIES: u64 = 50;
/// Time until a replica answers an attempt.
const RESPONSE_TIME: Nanos = PENDING_QUERIES * BATCH_INTERVAL;

/// Number of batches before the measurement, after which the steady state is reached.
const WARM_UP_BATCHES: u64 = 4 * PENDING_QUERIES;
/// Number of batches of one measured run.
const MEASURED_BATCHES: u64 = 200;

/// One in this many replicas is silent.
const SILENT_REPLICA_RATIO: u64 = 10;
/// Time after which the set of silent replicas changes; the policy ejects those that stay silent.
const SILENT_PERIOD: Nanos = 100 * MILLISECOND;

fn main() {
    divan::main();
}

fn class() -> Class {
    Class {
        name: "lookup".to_owned(),
        active: true,
        latency_objective: SECOND,
        objective_stretch: 0.0,
        deadline: 3 * SECOND,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_weight: 0.1,
        required_share: 1.0,
        min_share: 0.5,
        follow_up_parts: 0,
        max_attempts: 4,
    }
}

fn settings() -> Settings {
    Settings {
        coordinators: 1,
        tick: 5 * MILLISECOND,
        classes: vec![class()],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        shards: SHARDS,
        cells: SHARDS,
        cells_per_shard: CELLS_PER_SHARD,
        max_batch: 1,
        call_overhead: 0,
        max_poll_interval: None,
        retry_budget: Some(RetryBudget {
            free: 100.0,
            ratio: 0.2,
            window: 10 * SECOND,
        }),
        slow_start: None,
        cancellation: true,
        hedging: false,
        max_retry_after: None,
        reduction: ServiceReduction::default(),
    }
}

fn replica_id(number: u32) -> ReplicaId {
    let [_, _, high, low] = number.to_be_bytes();
    ReplicaId([10, 0, high, low, 0, 80])
}

fn replica_number(replica: ReplicaId) -> u64 {
    u64::from(u16::from_be_bytes([replica.0[2], replica.0[3]]))
}

fn endpoint(number: u32) -> Endpoint {
    Endpoint {
        replica: replica_id(number),
        zone: ZoneId((number % ZONES) as u16),
        cell: CellId((number % SHARDS) as u16),
        state: EndpointState::Ready,
        started_at: 0,
    }
}

/// Replicas that do not answer.
#[derive(Clone, Copy, PartialEq)]
enum SilentReplicas {
    None,
    /// One in [`SILENT_REPLICA_RATIO`] replicas; the set changes with each [`SILENT_PERIOD`].
    Rotating,
}

impl SilentReplicas {
    fn includes(self, replica: ReplicaId, now: Nanos) -> bool {
        let shifted = replica_number(replica) + now / SILENT_PERIOD;
        self == SilentReplicas::Rotating && shifted.is_multiple_of(SILENT_REPLICA_RATIO)
    }
}

/// Key of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    part: PartId,
    attempt: AttemptNo,
}

/// End of an attempt, to be reported to the policy.
#[derive(Clone, Copy)]
struct AttemptEnd {
    id: AttemptId,
    outcome: Outcome,
}

/// Simulated coordinator with a policy, and replicas that answer after [`RESPONSE_TIME`] or not at
/// all.
struct Simulation {
    policy: DecisionPolicy,
    now: Nanos,
    silent: SilentReplicas,
    /// Id of the last query or part.
    last_id: u64,
    last_group: u32,
    /// Number of attempts sent so far, by part.
    attempts_sent: BTreeMap<PartId, u16>,
    /// Time at which each attempt in flight was sent.
    sent_at: BTreeMap<AttemptId, Nanos>,
    /// Ends of attempts by the time at which they are reported.
    ends: BTreeMap<Nanos, Vec<AttemptEnd>>,
    /// Number of attempts after the first one of their part.
    retries: u64,
    /// Number of answered queries.
    answers: u64,
}

impl Simulation {
    /// Returns a simulation in its steady state.
    fn warmed_up(silent: SilentReplicas) -> Self {
        let mut simulation = Simulation {
            policy: DecisionPolicy::new(settings(), 42, 0),
            now: 0,
            silent,
            last_id: 0,
            last_group: 0,
            attempts_sent: BTreeMap::new(),
            sent_at: BTreeMap::new(),
            ends: BTreeMap::new(),
            retries: 0,
            answers: 0,
        };
        let endpoints = (0..REPLICAS).map(endpoint).collect();
        simulation.handle(&[Event::Endpoints {
            kind: EndpointListKind::Full,
            endpoints,
        }]);
        simulation.run(WARM_UP_BATCHES);
        simulation
    }

    /// Runs batches, each with a new query and the outcomes that are due.
    fn run(&mut self, batches: u64) {
        for _ in 0..batches {
            self.now += BATCH_INTERVAL;
            let mut events = self.due_outcomes();
            self.submit(&mut events);
            self.handle(&events);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Appends a query with one part on each shard.
    fn submit(&mut self, events: &mut Vec<Event>) {
        self.last_group += 1;
        let group = GroupId(self.last_group);
        events.push(Event::Query {
            query: QueryId(self.next_id()),
            group,
            class: ClassId(0),
            tenant: TenantId(0),
            expected_work: None,
            time_left: 3 * SECOND,
        });
        for shard in 0..SHARDS {
            let part = PartId(self.next_id());
            let weight = 1.0 / f64::from(SHARDS);
            events.push(Event::Part {
                part,
                group,
                shard: ShardId(shard),
                weight,
            });
        }
    }

    /// Removes the ends of attempts that are due and returns their events.
    fn due_outcomes(&mut self) -> Vec<Event> {
        let later = self.ends.split_off(&(self.now + 1));
        let due = std::mem::replace(&mut self.ends, later);
        due.into_values()
            .flatten()
            .filter_map(|end| self.outcome(end))
            .collect()
    }

    /// Returns the event of an attempt's end, or `None` if another end was already reported.
    fn outcome(&mut self, end: AttemptEnd) -> Option<Event> {
        let sent_at = self.sent_at.remove(&end.id)?;
        Some(Event::Outcome {
            part: end.id.part,
            attempt: end.id.attempt,
            outcome: end.outcome,
            elapsed: self.now - sent_at,
        })
    }

    /// Passes the events to the policy and executes its actions.
    fn handle(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    part,
                    replica,
                    timeout,
                    ..
                } => self.send(part, replica, timeout),
                Action::Cancel { part, attempt } => self.cancel(AttemptId { part, attempt }),
                Action::Answer { .. } => self.answers += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, part: PartId, replica: ReplicaId, timeout: Nanos) {
        let sent = self.attempts_sent.entry(part).or_default();
        let id = AttemptId {
            part,
            attempt: AttemptNo(*sent),
        };
        self.retries += u64::from(*sent > 0);
        *sent += 1;
        self.sent_at.insert(id, self.now);
        if self.silent.includes(replica, self.now) {
            self.schedule(
                self.now + timeout,
                AttemptEnd {
                    id,
                    outcome: Outcome::TimedOut,
                },
            );
        } else {
            self.schedule(
                self.now + RESPONSE_TIME,
                AttemptEnd {
                    id,
                    outcome: Outcome::Ok,
                },
            );
        }
    }

    /// Schedules the report of the attempt's cancellation for the next batch.
    fn cancel(&mut self, id: AttemptId) {
        let end = AttemptEnd {
            id,
            outcome: Outcome::Cancelled,
        };
        self.schedule(self.now + BATCH_INTERVAL, end);
    }

    fn schedule(&mut self, at: Nanos, end: AttemptEnd) {
        self.ends.entry(at).or_default().push(end);
    }
}

/// Measures batches that each submit one query and complete another, while [`PENDING_QUERIES`]
/// are pending.
#[divan::bench]
fn steady_queries(bencher: Bencher) {
    bencher
        .counter(ItemsCount::new(MEASURED_BATCHES))
        .with_inputs(|| Simulation::warmed_up(SilentReplicas::None))
        .bench_local_values(|mut simulation| {
            simulation.run(MEASURED_BATCHES);
            assert_eq!(simulation.retries, 0);
            assert_eq!(
                simulation.answers,
                WARM_UP_BATCHES + MEASURED_BATCHES - PENDING_QUERIES
            );
            simulation
        });
}

/// Measures the same batches while some of the replicas are silent and the parts sent to them are
/// retried.
#[divan::bench]
fn retries_of_silent_replicas(bencher: Bencher) {
    bencher
        .counter(ItemsCount::new(MEASURED_BATCHES))
        .with_inputs(|| Simulation::warmed_up(SilentReplicas::Rotating))
        .bench_local_values(|mut simulation| {
            let retries_before = simulation.retries;
            simulation.run(MEASURED_BATCHES);
            assert!(simulation.retries > retries_before, "no part was retried");
            simulation
        });
}
