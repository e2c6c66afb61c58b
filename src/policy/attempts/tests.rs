//! Tests of the next step for a part, and of the reasons to wait.

use super::next_step::{next_step, NextStep, WaitReason};
use super::retry_limiter::RetryLimiter;
use crate::interface::{
    CellId, Class, ClassId, Effect, Endpoint, EndpointListKind, EndpointState, GroupId, Nanos,
    Outcome, PartId, QueryId, ReplicaId, RetryBudget, Settings, ShardId, ZoneId,
};
use crate::policy::replicas::ReplicaTable;
use crate::queries::{Part, Query, Stage};
use crate::test_fixtures;

const MILLISECOND: Nanos = 1_000_000;
const OBJECTIVE: Nanos = 1_000 * MILLISECOND;
const START: Nanos = 1_000 * OBJECTIVE;
const REPLICAS: [ReplicaId; 2] = [
    ReplicaId([10, 0, 0, 1, 0, 80]),
    ReplicaId([10, 0, 0, 2, 0, 80]),
];
/// Age from which an attempt is overdue while no response time was observed.
const OVERDUE_AGE: Nanos = 700 * MILLISECOND;

/// A query with one part, whose shard two replicas hold.
struct Scenario {
    settings: Settings,
    replicas: ReplicaTable,
    retries: RetryLimiter,
    query: Query,
    now: Nanos,
}

impl Scenario {
    fn new(class: Class) -> Self {
        let settings = Settings {
            coordinators: 1,
            tick: MILLISECOND,
            classes: vec![class],
            shards: 1,
            cells: 1,
            cells_per_shard: 1,
            cancellation: true,
            ..Settings::default()
        };
        let mut rng = fastrand::Rng::with_seed(1);
        let mut scenario = Scenario {
            replicas: ReplicaTable::new(&settings, &mut rng),
            settings,
            retries: RetryLimiter::default(),
            query: query(),
            now: START,
        };
        scenario.list(&REPLICAS);
        scenario
    }

    fn list(&mut self, replicas: &[ReplicaId]) {
        let endpoints: Vec<Endpoint> = replicas.iter().map(|id| endpoint(*id)).collect();
        let mut rng = fastrand::Rng::with_seed(1);
        let kind = EndpointListKind::Full;
        self.replicas
            .apply_list(kind, &endpoints, &self.settings, &mut rng, self.now);
    }

    fn part(&mut self) -> &mut Part {
        &mut self.query.parts[0]
    }

    /// Records an attempt at the part that is sent at `START`, and ends with `outcome` unless that
    /// is `None`.
    fn attempt(&mut self, replica: ReplicaId, outcome: Option<Outcome>) {
        let part = self.part();
        let key = part.add_attempt(replica, START);
        if let Some(outcome) = outcome {
            part.complete_attempt(key.attempt, outcome, START);
        }
    }

    fn next_step(&self) -> NextStep {
        next_step(
            &self.query,
            &self.query.parts[0],
            &self.replicas,
            &self.retries,
            &self.settings,
            self.now,
        )
    }
}

fn class(effect: Effect) -> Class {
    Class {
        latency_objective: OBJECTIVE,
        deadline: 3 * OBJECTIVE,
        effect,
        ..test_fixtures::class("lookup")
    }
}

fn query() -> Query {
    Query {
        stage: Stage::FirstStep,
        respond_by: START + OBJECTIVE,
        deadline: START + 3 * OBJECTIVE,
        parts: vec![Part::new(PartId(2), ShardId(0), 1.0)],
        ..Query::new(QueryId(1), ClassId(0), GroupId(1), START)
    }
}

fn endpoint(replica: ReplicaId) -> Endpoint {
    Endpoint {
        replica,
        zone: ZoneId(0),
        cell: CellId(0),
        state: EndpointState::Ready,
        started_at: 0,
    }
}

#[test]
fn a_part_that_needs_no_attempt_waits_with_the_reason() {
    let mut scenario = Scenario::new(class(Effect::NonIdempotent));
    assert!(matches!(scenario.next_step(), NextStep::Send(_)));

    scenario.part().follow_up = true;
    assert_eq!(scenario.next_step(), NextStep::Wait(WaitReason::OtherStep));
    scenario.part().follow_up = false;

    scenario.part().requested = false;
    assert_eq!(scenario.next_step(), NextStep::Wait(WaitReason::Omitted));
    scenario.part().requested = true;

    scenario.attempt(REPLICAS[0], Some(Outcome::TimedOut));
    assert_eq!(
        scenario.next_step(),
        NextStep::Wait(WaitReason::NoAttemptAllowed)
    );

    scenario.part().answered_at = Some(START);
    assert_eq!(scenario.next_step(), NextStep::Wait(WaitReason::Answered));
}

#[test]
fn a_part_without_a_ready_replica_waits() {
    let mut scenario = Scenario::new(class(Effect::Idempotent));
    scenario.list(&[]);
    assert_eq!(scenario.next_step(), NextStep::Wait(WaitReason::NoReplica));
}

#[test]
fn a_failed_part_is_retried_at_the_other_replica_within_the_budget() {
    let mut scenario = Scenario::new(class(Effect::Idempotent));
    scenario.attempt(REPLICAS[0], Some(Outcome::Error));
    assert_eq!(scenario.next_step(), NextStep::Send(REPLICAS[1]));

    scenario.settings.retry_budget = Some(RetryBudget {
        free: 0.0,
        ratio: 0.0,
        window: OBJECTIVE,
    });
    assert_eq!(
        scenario.next_step(),
        NextStep::Wait(WaitReason::RetryBudgetSpent)
    );
}

#[test]
fn a_retry_that_would_be_late_is_not_sent_unless_late_answers_have_weight() {
    let mut scenario = Scenario::new(class(Effect::Idempotent));
    scenario.attempt(REPLICAS[0], Some(Outcome::Error));
    scenario.now = scenario.query.respond_by;
    assert_eq!(scenario.next_step(), NextStep::Wait(WaitReason::TooLate));

    scenario.settings.classes[0].late_weight = 0.1;
    assert_eq!(scenario.next_step(), NextStep::Send(REPLICAS[1]));
}

#[test]
fn an_overdue_attempt_is_cancelled_or_hedged() {
    let mut scenario = Scenario::new(class(Effect::Idempotent));
    scenario.attempt(REPLICAS[0], None);
    scenario.now += OVERDUE_AGE / 2;
    assert_eq!(scenario.next_step(), NextStep::Wait(WaitReason::InFlight));

    scenario.now = START + OVERDUE_AGE;
    assert_eq!(scenario.next_step(), NextStep::Cancel);

    scenario.settings.hedging = true;
    assert_eq!(scenario.next_step(), NextStep::Send(REPLICAS[1]));

    scenario.attempt(REPLICAS[1], None);
    assert_eq!(scenario.next_step(), NextStep::Wait(WaitReason::Hedged));
}
