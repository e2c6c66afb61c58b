//! A query coordinator: the decisions, protocols and sockets of a program that answers queries from
//! data in many shards.
//!
//! A coordinator receives queries from clients. Each query consists of parts, a part needs an answer
//! from one shard, and each shard is served by several replicas. [`DecisionPolicy`] decides where
//! each attempt at a part goes, how long to wait for it, whether to retry or hedge, when to answer
//! the query, and which queries to reject. It opens no socket and reads no clock: the caller passes
//! it the current time and a batch of events, carries out the returned actions in order, and calls
//! it again when its timer fires.
//!
//! The modules, starting with those that make the decisions:
//!
//! * [`interface`]: the policy's settings, events and actions; [`policy`]: the decisions;
//! * [`queries`], [`membership`], [`stats`]: the policy's query table, endpoint list and
//!   statistics;
//! * [`coordinator`]: the queries and attempts in progress; it passes events to the policy and
//!   carries out the policy's actions;
//! * [`front`]: the protocols of clients, which turn requests into queries and answers into
//!   responses;
//! * [`limits`] and [`degradation`]: adaptive concurrency limits, admission by cost, and graceful
//!   degradation;
//! * [`proto`]: wire protocols without sockets; [`net`]: sockets, signals, and the hand-over from a
//!   process to its successor;
//! * [`settings`], [`time`](mod@time), [`log`], [`sync`]: utilities of all other modules.
//!
//! Times of the policy are in nanoseconds ([`Nanos`]), all others in microseconds
//! ([`time::Micros`]).
//!
//! Three things are global, since they concern the process as a whole: the counters
//! ([`coordinator::COUNTERS`]), which also limit the rate of repeated log events; the sequence numbers
//! of requests; and the log. All other state is owned by a value and passed explicitly.
//!
//! ```
//! use quinceflow::*;
//!
//! const MS: Nanos = 1_000_000;
//! let class = Class {
//!     name: "lookup".to_owned(),
//!     active: true,
//!     latency_objective: 1_000 * MS,
//!     objective_stretch: 0.0,
//!     deadline: 3_000 * MS,
//!     effect: Effect::Idempotent,
//!     priority_weight: 1.0,
//!     late_weight: 0.1,
//!     required_share: 1.0,
//!     min_share: 1.0,
//!     follow_up_parts: 0,
//!     max_attempts: 2,
//! };
//! let settings = Settings {
//!     coordinators: 1,
//!     tick: 5 * MS,
//!     classes: vec![class],
//!     tenants: Vec::new(),
//!     over_quota_weight: 1.0,
//!     shards: 1,
//!     cells: 1,
//!     cells_per_shard: 1,
//!     max_batch: 1,
//!     call_overhead: 0,
//!     max_poll_interval: None,
//!     retry_budget: None,
//!     slow_start: None,
//!     cancellation: true,
//!     hedging: false,
//!     max_retry_after: None,
//!     reduction: ServiceReduction::default(),
//! };
//! let mut policy = DecisionPolicy::new(settings, 42, 0);
//!
//! // Each batch of events results in actions.
//! let replica = ReplicaId([10, 0, 0, 1, 0, 80]);
//! let endpoint = Endpoint {
//!     replica,
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     state: EndpointState::Ready,
//!     started_at: 0,
//! };
//! let endpoint_list = Event::Endpoints {
//!     kind: EndpointListKind::Cached,
//!     endpoints: vec![endpoint],
//! };
//! let batches = vec![
//!     (5 * MS, vec![endpoint_list]),
//!     (
//!         10 * MS,
//!         vec![
//!             Event::Query {
//!                 query: QueryId(1),
//!                 group: GroupId(1),
//!                 class: ClassId(0),
//!                 tenant: TenantId(0),
//!                 expected_work: None,
//!                 time_left: 3_000 * MS,
//!             },
//!             Event::Part { part: PartId(2), group: GroupId(1), shard: ShardId(0), weight: 1.0 },
//!         ],
//!     ),
//!     (
//!         90 * MS,
//!         vec![Event::Outcome {
//!             part: PartId(2),
//!             attempt: AttemptNo(0),
//!             outcome: Outcome::Ok,
//!             elapsed: 80 * MS,
//!         }],
//!     ),
//! ];
//! let mut done = Vec::new();
//! for (now, events) in batches {
//!     let mut actions = Vec::new();
//!     policy.handle(now, &events, &mut actions);
//!     for action in actions {
//!         match action {
//!             Action::SetTimer(_) => {} // set a timer that brings Event::TimerFired
//!             other => done.push(other), // send, cancel, answer, reject, fail, ...
//!         }
//!     }
//! }
//! assert!(matches!(done[0], Action::Send { part: PartId(2), .. }));
//! assert_eq!(done[1], Action::Answer { query: QueryId(1), complete: true });
//! ```
#![forbid(unsafe_code)]

pub mod coordinator;
pub mod degradation;
pub mod front;
pub mod interface;
pub mod limits;
pub mod log;
pub mod membership;
pub mod net;
pub mod policy;
pub mod proto;
pub mod queries;
pub mod settings;
pub mod stats;
pub mod sync;
pub mod time;

#[cfg(test)]
mod test_fixtures;

pub use interface::*;
pub use policy::DecisionPolicy;
