//! Levels of reduced service: from signals of overload to a level, and from a level to its effects.
//!
//! The folder owns the operators' table of levels, the controller that moves between them, and the history of its
//! transitions; it has no clock and no socket. The decision policy applies a level as settings ([`Effects::apply_to`]).
//! Nothing in the program enters a level yet; `docs/design-degradation.md` lists what comes next.

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
