//! The timetable of a graceful shutdown. Pure: it is fed the time and what is pending, and tells the phase.
//!
//! The platform kills a process no sooner than its longest deadline, or 3 s if that is shorter, and 0.7 s after the signal.
//! Everything that is accepted is answered 0.2 s before that. Until 0.3 s before the last answers the process serves on as
//! before, since its clients use their connections for as long as these are open.

use crate::interface::Settings;
use crate::time::Micros;

/// The longest deadline that the platform waits for before it kills a process.
const MAX_DEADLINE: Micros = Micros::from_secs(3);
/// The platform kills a process no sooner than this after the longest deadline.
const KILL_GRACE: Micros = Micros::from_millis(700);
/// The last answers are given this long before the kill,
const KILL_MARGIN: Micros = Micros::from_millis(200);
/// and connections are closed from this long before the last answers on.
const CLOSING_TIME: Micros = Micros::from_millis(300);
/// Connections are closed no sooner than this after the signal, however short all deadlines are: new connections go on
/// coming for 0.2 to 0.4 s after SIGTERM.
const MIN_DRAINING: Micros = Micros::from_millis(450);
/// Connections whose clients are owed nothing do not keep the process from exiting this long before the kill.
const EXIT_MARGIN: Micros = Micros::from_millis(50);
/// The process exits this long after the signal, whatever is pending.
const MAX_SHUTDOWN: Micros = Micros::from_secs(8);

/// The longest deadline of a class: no query is pending for longer.
pub(super) fn longest_deadline(settings: &Settings) -> Micros {
    Micros::from_nanos(
        settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0),
    )
}

/// A phase of a graceful shutdown, in the order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served as before. Only a process with a successor may exit, as it accepts nothing.
    Draining,
    /// Connections are closed as soon as they are idle; the process may exit once none is open.
    Closing,
    /// As before, but the process may exit although connections are open whose clients are owed nothing.
    LastResponses,
    /// The process exits, whatever is pending.
    Expired,
}

/// What a process that shuts down still has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingWork {
    /// Queries that are not answered.
    pub queries: usize,
    /// Open connections, or from [`ShutdownPhase::LastResponses`] on those whose clients are owed a response.
    pub connections: usize,
}

impl ShutdownPhase {
    /// Whether idle connections are to be closed.
    #[must_use]
    pub fn closes_connections(self) -> bool {
        self >= ShutdownPhase::Closing
    }

    /// Whether connections whose clients are owed nothing count as pending.
    #[must_use]
    pub fn waits_for_idle_connections(self) -> bool {
        self < ShutdownPhase::LastResponses
    }

    /// Whether the process may exit once no connection is left in the backlog of its listening socket.
    #[must_use]
    pub fn may_exit(self, successor_accepts: bool, pending: PendingWork) -> bool {
        let drained = pending.queries == 0 && pending.connections == 0;
        drained && (successor_accepts || self.closes_connections())
    }
}

/// When the phases of one shutdown begin. Settings that are reloaded after the signal do not change it, since they do not
/// change when the platform kills the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled_at: Micros,
    /// The time from the signal to the last answers.
    answer_time: Micros,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that was requested at this time, by its longest deadline then.
    #[must_use]
    pub fn new(signalled_at: Micros, longest_deadline: Micros) -> Self {
        let kill_time = longest_deadline.min(MAX_DEADLINE) + KILL_GRACE;
        ShutdownSchedule {
            signalled_at,
            answer_time: kill_time - KILL_MARGIN,
        }
    }

    /// When every query that is accepted must have its answer.
    #[must_use]
    pub fn final_deadline(&self) -> Micros {
        self.signalled_at + self.answer_time
    }

    /// The phase at this time.
    #[must_use]
    pub fn phase(&self, now: Micros) -> ShutdownPhase {
        let elapsed = now.since(self.signalled_at);
        if elapsed >= MAX_SHUTDOWN {
            return ShutdownPhase::Expired;
        }
        if elapsed >= self.answer_time + KILL_MARGIN - EXIT_MARGIN {
            return ShutdownPhase::LastResponses;
        }
        if elapsed >= (self.answer_time - CLOSING_TIME).max(MIN_DRAINING) {
            return ShutdownPhase::Closing;
        }
        ShutdownPhase::Draining
    }
}

/// The shutdown of a process, which may not have been requested yet.
#[derive(Debug)]
pub struct GracefulShutdown {
    /// The longest deadline of a query under the present settings.
    longest_deadline: Micros,
    schedule: Option<ShutdownSchedule>,
}

impl GracefulShutdown {
    /// A shutdown that has not been requested.
    #[must_use]
    pub fn new(longest_deadline: Micros) -> Self {
        GracefulShutdown {
            longest_deadline,
            schedule: None,
        }
    }

    /// Notes the longest deadline under new settings.
    pub fn set_longest_deadline(&mut self, longest_deadline: Micros) {
        self.longest_deadline = longest_deadline;
    }

    /// Starts the shutdown, as it was requested. Returns whether it had not started before.
    pub fn start(&mut self, now: Micros) -> bool {
        let starts = self.schedule.is_none();
        self.schedule
            .get_or_insert_with(|| ShutdownSchedule::new(now, self.longest_deadline));
        starts
    }

    /// The schedule, once the shutdown has started.
    #[must_use]
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        self.schedule
    }
}

#[cfg(test)]
mod tests;
