//! Interface between a coordinator and its policy: settings, events and actions, as plain data.
//!
//! All times are [`Nanos`] of the caller's clock.

mod action;
mod class;
mod endpoint;
mod event;
mod ids;
mod outcome;
mod reduction;
mod settings;

pub use action::Action;
pub use class::{Class, Effect};
pub use endpoint::{Endpoint, EndpointListKind, EndpointState};
pub use event::Event;
pub use ids::{
    AttemptNo, CellId, ClassId, GroupId, PartId, QueryId, ReplicaId, ShardId, TenantId, ZoneId,
};
pub use outcome::Outcome;
pub use reduction::ServiceReduction;
pub use settings::{RetryBudget, Settings, SlowStartRule, Tenant};

/// A point in time or a span of it, in nanoseconds of the caller's clock.
pub type Nanos = u64;
