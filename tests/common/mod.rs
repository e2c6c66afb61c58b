//! A harness for the policy: settings, three replicas and a clock that the test advances.
#![allow(
    dead_code,
    reason = "each test file is a program of its own and uses some of these"
)]

use quinceflow::*;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const S: Nanos = 1_000 * MS;
/// The time at which the tests begin.
pub const START: Nanos = 1_000 * S;

/// Returns a class that needs all parts within a second.
pub fn class(effect: Effect) -> Class {
    Class {
        name: "lookup".to_owned(),
        active: true,
        latency_objective: S,
        objective_stretch: 0.0,
        deadline: 4 * S,
        effect,
        priority_weight: 1.0,
        late_weight: 0.1,
        required_share: 1.0,
        min_share: 1.0,
        follow_up_parts: 0,
        max_attempts: 4,
    }
}

/// Returns settings with one class, three shards and three cells; each shard is in two cells.
pub fn settings(class: Class) -> Settings {
    Settings {
        coordinators: 2,
        tick: 5 * MS,
        classes: vec![class],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        shards: 3,
        cells: 3,
        cells_per_shard: 2,
        max_batch: 1,
        call_overhead: 0,
        max_poll_interval: None,
        retry_budget: None,
        slow_start: None,
        cancellation: true,
        hedging: false,
        max_retry_after: Some(S),
        reduction: ServiceReduction::default(),
    }
}

/// Returns the id of replica `n`.
pub fn replica(n: u8) -> ReplicaId {
    ReplicaId([10, 0, 0, n, 0, 80])
}

/// Returns the endpoint of replica `n`, which is in cell `n`.
pub fn endpoint(n: u8, state: EndpointState, started_at: Nanos) -> Endpoint {
    Endpoint {
        replica: replica(n),
        zone: ZoneId(0),
        cell: CellId(u16::from(n)),
        state,
        started_at,
    }
}

/// Returns the event of a query; the number of its group is that of its id.
pub fn query_event(id: u64, class: u16, tenant: u32, time_left: Nanos) -> Event {
    Event::Query {
        query: QueryId(id),
        group: GroupId(id as u32),
        class: ClassId(class),
        tenant: TenantId(tenant),
        expected_work: None,
        time_left,
    }
}

/// A policy, and the time of its next batch of events.
pub struct Harness {
    pub policy: DecisionPolicy,
    pub now: Nanos,
    next_id: u64,
}

impl Harness {
    /// Returns a harness with three ready replicas, one in each cell: shard s is at replicas s and
    /// s + 1.
    pub fn new(settings: Settings) -> Self {
        Self::with_seed(settings, 7)
    }

    /// Returns a harness as [`Harness::new`] does, with this seed for the policy's random numbers.
    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        let mut harness = Self {
            policy: DecisionPolicy::new(settings, seed, START),
            now: START,
            next_id: 1,
        };
        let members = (0..3)
            .map(|n| endpoint(n, EndpointState::Ready, 0))
            .collect();
        harness.report(vec![Event::Endpoints {
            kind: EndpointListKind::Cached,
            endpoints: members,
        }]);
        harness
    }

    /// Reports events at the present time and returns the actions other than timers.
    pub fn report(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, &events, &mut actions);
        actions.retain(|a| !matches!(a, Action::SetTimer(_)));
        actions
    }

    /// Advances the time, reports a timer, and returns the actions.
    pub fn advance(&mut self, time: Nanos) -> Vec<Action> {
        self.now += time;
        self.report(vec![Event::TimerFired])
    }

    /// Advances the time in steps with a timer each, and returns all actions.
    pub fn run_for(&mut self, time: Nanos) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            let step = (25 * MS).min(end - self.now);
            all.extend(self.advance(step));
        }
        all
    }

    /// Submits a query of class 0 with one part for each shard and returns the ids, which count up
    /// from the query's, and the actions.
    pub fn submit(&mut self, shards: &[u32]) -> (QueryId, Vec<PartId>, Vec<Action>) {
        self.submit_as(0, 0, shards)
    }

    /// Submits a query as [`Harness::submit`] does, for another class and tenant.
    pub fn submit_as(
        &mut self,
        class: u16,
        tenant: u32,
        shards: &[u32],
    ) -> (QueryId, Vec<PartId>, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 1 + shards.len() as u64;
        let group = GroupId(id as u32);
        let query = QueryId(id);
        let mut events = vec![query_event(id, class, tenant, 3 * S)];
        let parts: Vec<PartId> = (1..=shards.len() as u64).map(|n| PartId(id + n)).collect();
        let weight = 1.0 / shards.len() as f64;
        for (part, shard) in parts.iter().zip(shards) {
            events.push(Event::Part {
                part: *part,
                group,
                shard: ShardId(*shard),
                weight,
            });
        }
        let actions = self.report(events);
        (query, parts, actions)
    }

    /// Reports the end of an attempt and returns the actions.
    pub fn complete(
        &mut self,
        part: PartId,
        attempt: u16,
        outcome: Outcome,
        elapsed: Nanos,
    ) -> Vec<Action> {
        let attempt = AttemptNo(attempt);
        self.report(vec![Event::Outcome {
            part,
            attempt,
            outcome,
            elapsed,
        }])
    }

    /// Answers the first attempt at a part after 100 ms and returns the actions.
    pub fn answer(&mut self, part: PartId) -> Vec<Action> {
        self.now += 100 * MS;
        self.complete(part, 0, Outcome::Ok, 100 * MS)
    }
}

/// Returns the attempts that the actions send: part and replica.
pub fn sent_attempts(actions: &[Action]) -> Vec<(PartId, ReplicaId)> {
    let send = |a: &Action| match a {
        Action::Send { part, replica, .. } => Some((*part, *replica)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// Returns the actions that end a query, and the first answers of queries with follow-up parts.
pub fn final_actions(actions: &[Action]) -> Vec<Action> {
    let end = |action: &&Action| {
        matches!(
            action,
            Action::Answer { .. } | Action::Reject { .. } | Action::Fail(_)
        )
    };
    actions.iter().filter(end).cloned().collect()
}

/// Whether the actions reject a query.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Returns settings of two classes: 0 of high priority, 1 of low.
pub fn two_priorities() -> Settings {
    let mut settings = settings(Class {
        priority_weight: 3.0,
        ..class(Effect::Idempotent)
    });
    settings.classes.push(class(Effect::Idempotent));
    settings
}
