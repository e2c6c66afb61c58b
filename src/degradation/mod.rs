//! Graceful degradation: from signals of overload to a level of service, and from a level to its
//! effects.
//!
//! This module contains the operators' table of levels, the controller that moves between levels,
//! and the history of its transitions. It has no clock and no socket: callers pass the time and the
//! readings. The decision policy carries out the effects, which reach it as settings
//! ([`Effects::apply_to`]). Nothing in the program enters a level yet; `docs/design-degradation.md`
//! lists the next steps.
//!
//! Times are [`Micros`](crate::time::Micros); the durations of the operators' table are
//! milliseconds.

mod controller;
mod effects;
mod signal;
mod table;
mod validate;

pub use controller::{DegradationController, Transition};
pub use effects::Effects;
pub use signal::{Signal, SignalReadings, SignalValue, SIGNAL_COUNT};
pub use table::{Condition, DegradationTable, Level};
pub use validate::{DegradationTableError, LevelFault};
