//! The schedule of a graceful shutdown. A pure state machine: its callers pass the time and the
//! pending work, and it returns the phase. The coordinator's loop acts on the phases.
//!
//! After the signal the platform waits for the longest deadline (at most [`MAX_DEADLINE`]) and
//! [`KILL_GRACE`] before it kills a process. All accepted queries are answered [`KILL_MARGIN`]
//! before the kill. The process serves requests as before until [`CLOSING_TIME`] before the last
//! answers are due, since clients use their connections for as long as these are open.

use crate::interface::Settings;
use crate::time::Micros;

/// The longest deadline that the platform waits for before it kills a process.
const MAX_DEADLINE: Micros = Micros::from_secs(3);
/// The time from the longest deadline to the earliest kill.
const KILL_GRACE: Micros = Micros::from_millis(700);
/// The time from when the last answers are due to the earliest kill.
const KILL_MARGIN: Micros = Micros::from_millis(200);
/// The time in which idle connections are closed, which ends when the last answers are due.
const CLOSING_TIME: Micros = Micros::from_millis(300);
/// The minimum time from the signal until connections are closed, however short the deadlines are:
/// clients continue to connect for a while after the signal.
const MIN_DRAIN_TIME: Micros = Micros::from_millis(450);
/// The time before the earliest kill from which connections without a pending request or response
/// no longer delay the exit.
const LAST_RESPONSES_MARGIN: Micros = Micros::from_millis(50);
/// The time before the earliest kill from which only completely received requests delay the exit.
const COMPLETE_REQUESTS_MARGIN: Micros = Micros::from_millis(25);
/// The interval at which the pending work is checked while the process waits for the last responses
/// only.
const LAST_RESPONSES_INTERVAL: Micros = Micros::from_millis(5);
/// The maximum time from the signal to the exit, whatever is pending.
const MAX_SHUTDOWN: Micros = Micros::from_secs(8);

/// Returns the longest deadline of a class, after which no query is pending.
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

/// A phase of a graceful shutdown, in chronological order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Requests are served as before. The process may exit only if a successor accepts connections
    /// in its place.
    Draining,
    /// Connections are closed as soon as they are idle. The process may exit once none is open.
    Closing,
    /// As in [`ShutdownPhase::Closing`], but connections without a pending request or response do
    /// not delay the exit.
    LastResponses,
    /// As in [`ShutdownPhase::LastResponses`], but requests that were received only in part do not
    /// delay the exit either: their clients send them again to other coordinators.
    CompleteRequests,
    /// The process exits, whatever is pending.
    Expired,
}

/// The pending work of a process that shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingWork {
    /// The number of queries that are not answered.
    pub queries: usize,
    /// The number of connections that [`ShutdownPhase::awaited_connections`] selects.
    pub connections: usize,
}

/// The connections that delay the exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AwaitedConnections {
    /// All open connections.
    Open,
    /// The connections with a request that was received in whole or in part, or with a response to
    /// write.
    WithPendingRequest,
    /// The connections with a request that was received in whole, or with a response to write.
    WithCompleteRequest,
}

impl ShutdownPhase {
    /// Returns the connections that delay the exit.
    #[must_use]
    pub fn awaited_connections(self) -> AwaitedConnections {
        match self {
            ShutdownPhase::Draining | ShutdownPhase::Closing => AwaitedConnections::Open,
            ShutdownPhase::LastResponses => AwaitedConnections::WithPendingRequest,
            ShutdownPhase::CompleteRequests | ShutdownPhase::Expired => {
                AwaitedConnections::WithCompleteRequest
            }
        }
    }

    /// Returns whether idle connections have to be closed.
    #[must_use]
    pub fn closes_connections(self) -> bool {
        self >= ShutdownPhase::Closing
    }

    /// Returns whether the process may exit if the backlog of its listening socket is empty.
    #[must_use]
    pub fn may_exit(self, successor_accepts: bool, pending: PendingWork) -> bool {
        let drained = pending.queries == 0 && pending.connections == 0;
        drained && (successor_accepts || self.closes_connections())
    }
}

/// The times at which the phases of one shutdown begin. Settings that are reloaded after the signal
/// do not change them, since they do not change when the platform kills the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownSchedule {
    signalled_at: Micros,
    /// The time from the signal until the last answers are due.
    answer_time: Micros,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that was requested at `signalled_at`. `longest_deadline`
    /// is that of a query under the settings at that time.
    #[must_use]
    pub fn new(signalled_at: Micros, longest_deadline: Micros) -> Self {
        let kill_time = longest_deadline.min(MAX_DEADLINE) + KILL_GRACE;
        ShutdownSchedule {
            signalled_at,
            answer_time: kill_time - KILL_MARGIN,
        }
    }

    /// Returns the time by which every accepted query must be answered.
    #[must_use]
    pub fn final_deadline(&self) -> Micros {
        self.signalled_at + self.answer_time
    }

    /// Returns the phase at the time `now`.
    #[must_use]
    pub fn phase(&self, now: Micros) -> ShutdownPhase {
        let latest_first = self.phase_starts().into_iter().rev();
        let current = latest_first.into_iter().find(|(at, _)| *at <= now);
        current.map_or(ShutdownPhase::Draining, |(_, phase)| phase)
    }

    /// Returns the time at which the next phase begins; `None` in the last one.
    #[must_use]
    pub fn next_phase_at(&self, now: Micros) -> Option<Micros> {
        let mut starts = self.phase_starts().into_iter();
        starts.find(|(at, _)| *at > now).map(|(at, _)| at)
    }

    /// Returns the phases after [`ShutdownPhase::Draining`] with the times at which they begin, in
    /// order.
    fn phase_starts(&self) -> [(Micros, ShutdownPhase); 4] {
        let closing = (self.answer_time - CLOSING_TIME).max(MIN_DRAIN_TIME);
        let kill_time = self.answer_time + KILL_MARGIN;
        let last_responses = kill_time - LAST_RESPONSES_MARGIN;
        let complete_requests = kill_time - COMPLETE_REQUESTS_MARGIN;
        [
            (closing, ShutdownPhase::Closing),
            (last_responses, ShutdownPhase::LastResponses),
            (complete_requests, ShutdownPhase::CompleteRequests),
            (MAX_SHUTDOWN, ShutdownPhase::Expired),
        ]
        .map(|(elapsed, phase)| (self.signalled_at + elapsed, phase))
    }
}

/// The state of the process's graceful shutdown, which starts when a signal requests it.
#[derive(Debug)]
pub struct GracefulShutdown {
    /// The longest deadline of a query under the current settings.
    longest_deadline: Micros,
    /// The schedule; `None` until the shutdown starts.
    schedule: Option<ShutdownSchedule>,
}

impl GracefulShutdown {
    /// Creates the state before a shutdown is requested.
    #[must_use]
    pub fn new(longest_deadline: Micros) -> Self {
        GracefulShutdown {
            longest_deadline,
            schedule: None,
        }
    }

    /// Records the longest deadline of a query under new settings.
    pub fn set_longest_deadline(&mut self, longest_deadline: Micros) {
        self.longest_deadline = longest_deadline;
    }

    /// Starts the shutdown that was requested at `requested_at`. Returns whether this call started
    /// it: later calls change nothing.
    pub fn start(&mut self, requested_at: Micros) -> bool {
        let started_now = self.schedule.is_none();
        self.schedule
            .get_or_insert_with(|| ShutdownSchedule::new(requested_at, self.longest_deadline));
        started_now
    }

    /// Returns the time at which the phase and the pending work are to be checked next; `None`
    /// before the shutdown. From [`ShutdownPhase::LastResponses`] on the pending work is polled
    /// every [`LAST_RESPONSES_INTERVAL`], since no event reports that a response was written.
    #[must_use]
    pub fn next_check_at(&self, now: Micros) -> Option<Micros> {
        let schedule = self.schedule?;
        let polls_work = schedule.phase(now) >= ShutdownPhase::LastResponses;
        let poll_at = polls_work.then_some(now + LAST_RESPONSES_INTERVAL);
        poll_at.into_iter().chain(schedule.next_phase_at(now)).min()
    }

    /// Returns the schedule; `None` until the shutdown starts.
    #[must_use]
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        self.schedule
    }
}

#[cfg(test)]
mod tests;
