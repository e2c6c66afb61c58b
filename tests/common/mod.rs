//! A small coordinator for the tests: settings, a fleet and a clock.
#![allow(dead_code)]

use quinceflow::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
pub const START: Nanos = 1_000 * S;

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

/// One class, one shard a cell, three cells, each shard held by two of them.
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

pub fn replica(n: u8) -> ReplicaId {
    ReplicaId([10, 0, 0, n, 0, 80])
}

pub fn member(n: u8, state: EndpointState, since: Nanos) -> Endpoint {
    Endpoint { replica: replica(n), zone: ZoneId(0), cell: CellId(u16::from(n)), state, started_at: since }
}

/// A query whose parts bear its id as their group.
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

pub struct Bench {
    pub module: DecisionPolicy,
    pub now: Nanos,
    next: u64,
}

impl Bench {
    /// A fleet of three ready replicas, one a cell: shard s is held by replicas s and s + 1.
    pub fn new(set: Settings) -> Self {
        Self::with_seed(set, 7)
    }

    pub fn with_seed(set: Settings, seed: u64) -> Self {
        let mut bench = Self { module: DecisionPolicy::new(set, seed, START), now: START, next: 1 };
        let members = (0..3).map(|n| member(n, EndpointState::Ready, 0)).collect();
        bench.tell(vec![Event::Endpoints { kind: EndpointListKind::Cached, endpoints: members }]);
        bench
    }

    pub fn tell(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.module.handle(self.now, &events, &mut actions);
        actions.retain(|a| !matches!(a, Action::SetTimer(_)));
        actions
    }

    pub fn pass(&mut self, time: Nanos) -> Vec<Action> {
        self.now += time;
        self.tell(vec![Event::TimerFired])
    }

    /// Passes time in steps, as wake-ups would; all actions.
    pub fn wait(&mut self, time: Nanos) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.now < end {
            let step = (25 * MS).min(end - self.now);
            all.extend(self.pass(step));
        }
        all
    }

    /// A query of class 0 with one part for each shard named; ids count up from the query's.
    pub fn ask(&mut self, shards: &[u32]) -> (QueryId, Vec<PartId>, Vec<Action>) {
        self.ask_as(0, 0, shards)
    }

    pub fn ask_as(&mut self, class: u16, tenant: u32, shards: &[u32]) -> (QueryId, Vec<PartId>, Vec<Action>) {
        let id = self.next;
        self.next += 1 + shards.len() as u64;
        let group = GroupId(id as u32);
        let query = QueryId(id);
        let mut events = vec![query_event(id, class, tenant, 3 * S)];
        let parts: Vec<PartId> = (1..=shards.len() as u64).map(|n| PartId(id + n)).collect();
        let weight = 1.0 / shards.len() as f64;
        for (part, shard) in parts.iter().zip(shards) {
            events.push(Event::Part { part: *part, group, shard: ShardId(*shard), weight });
        }
        let actions = self.tell(events);
        (query, parts, actions)
    }

    pub fn end(&mut self, part: PartId, attempt: u16, outcome: Outcome, elapsed: Nanos) -> Vec<Action> {
        let attempt = AttemptNo(attempt);
        self.tell(vec![Event::Outcome { part, attempt, outcome, elapsed }])
    }

    /// Answers a part after 100 ms.
    pub fn serve(&mut self, part: PartId) -> Vec<Action> {
        self.now += 100 * MS;
        self.end(part, 0, Outcome::Ok, 100 * MS)
    }
}

pub fn sends(actions: &[Action]) -> Vec<(PartId, ReplicaId)> {
    let send = |a: &Action| match a {
        Action::Send { part, replica, .. } => Some((*part, *replica)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The final answers (and first ones of two steps) among the actions.
pub fn finals(actions: &[Action]) -> Vec<Action> {
    let end = |a: &&Action| matches!(a, Action::Answer { .. } | Action::Reject { .. } | Action::Fail(_));
    actions.iter().filter(end).cloned().collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}
