//! The decisions of an aggregator that serves a query from many shards.
//!
//! A co-ordinator is handed queries, each with parts that need answers from shards, each shard held by some
//! replicas. [`Aggregator`] decides where each part goes, how long to wait, whether to try again, when to answer,
//! and which queries to refuse. It opens no socket and reads no clock: hand it the events of a moment, carry out
//! its actions in order, and wake it when it asks.
//!
//! The types are in [`interface`], the decisions in [`rules`].
//!
//! ```
//! use quinceflow::*;
//!
//! const MS: Nanos = 1_000_000;
//! let class = Class {
//!     name: "lookup".to_owned(),
//!     listed: true,
//!     aim: 1_000 * MS,
//!     aim_stretch: 0.0,
//!     deadline: 3_000 * MS,
//!     effect: Effect::Safe,
//!     points: 1.0,
//!     late_worth: 0.1,
//!     need: 1.0,
//!     floor: 1.0,
//!     follow_up: 0,
//!     max_attempts: 2,
//! };
//! let settings = Settings {
//!     aggregators: 1,
//!     tick: 5 * MS,
//!     classes: vec![class],
//!     tenants: Vec::new(),
//!     over_share_worth: 1.0,
//!     shards: 1,
//!     cells: 1,
//!     reach: 1,
//!     bundle: 1,
//!     call_cost: 0,
//!     ask_within: None,
//!     extra: None,
//!     cold: None,
//!     cancel: true,
//!     second_copies: false,
//!     retry_after: None,
//!     reduced: Reduced::default(),
//! };
//! let mut aggregator = Aggregator::new(settings, 42, 0);
//!
//! // The co-ordinator's loop: what came in, then what is to be done.
//! let replica = ReplicaId([10, 0, 0, 1, 0, 80]);
//! let member = Member { replica, zone: ZoneId(0), cell: CellId(0), state: MemberState::Ready, since: 0 };
//! let batches = vec![
//!     (5 * MS, vec![Event::List { kind: ListKind::Cached, members: vec![member] }]),
//!     (
//!         10 * MS,
//!         vec![
//!             Event::Query {
//!                 query: QueryId(1),
//!                 group: Group(1),
//!                 class: ClassId(0),
//!                 tenant: TenantId(0),
//!                 hint: None,
//!                 time_left: 3_000 * MS,
//!             },
//!             Event::Part { part: PartId(2), group: Group(1), shard: ShardId(0), weight: 1.0 },
//!         ],
//!     ),
//!     (
//!         90 * MS,
//!         vec![Event::Outcome {
//!             part: PartId(2),
//!             attempt: AttemptNo(0),
//!             outcome: Outcome::Ok,
//!             waited: 80 * MS,
//!         }],
//!     ),
//! ];
//! let mut done = Vec::new();
//! for (now, events) in batches {
//!     let mut actions = Vec::new();
//!     aggregator.handle(now, &events, &mut actions);
//!     for action in actions {
//!         match action {
//!             Action::WakeAt(_) => {} // set a timer that brings Event::Wake
//!             other => done.push(other), // send, cancel, answer, refuse, fail, ...
//!         }
//!     }
//! }
//! assert!(matches!(done[0], Action::Send { part: PartId(2), .. }));
//! assert_eq!(done[1], Action::Answer { query: QueryId(1), whole: true });
//! ```
#![forbid(unsafe_code)]

pub mod core;
pub mod front;
pub mod interface;
pub mod levels;
pub mod limits;
pub mod log;
pub mod net;
pub mod proto;
pub mod rules;
pub mod settings;
pub mod time;

pub use interface::*;
pub use rules::Aggregator;
