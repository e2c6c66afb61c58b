//! Attempts: when they count as run, and when they are cancelled.

use crate::common::MS;
use crate::support::{
    answer, cancelled, coordinator, coordinator_with, dispatched, failed, fleet, served, settings,
    submit, IDEMPOTENT, NON_IDEMPOTENT, PARTIAL, START,
};
use quinceflow::coordinator::{Answer, AttemptKey, Input, Token};
use quinceflow::time::Micros;
use quinceflow::{Effect, Outcome, Settings};

#[test]
fn attempt_whose_write_never_started_counts_as_not_run() {
    // An attempt that waits for its connection until its timeout has not run: its query is rejected
    // and does not fail. An attempt whose write has started is written up to its last byte, even
    // after its timeout, so it may run.
    let write_inputs = [
        None,
        Some(Input::WriteStarted as fn(AttemptKey) -> Input),
        Some(Input::FullyWritten),
    ];
    for write_input in write_inputs {
        let write_started = write_input.is_some();
        let mut now = START;
        let mut coordinator = coordinator();
        let mut commands = Vec::new();
        coordinator.turn(
            now,
            [fleet(), submit(1, NON_IDEMPOTENT, 1, now)],
            &mut commands,
        );
        let key = commands.iter().find_map(dispatched);
        let mut inputs = Vec::from_iter(key.zip(write_input).map(|(key, input)| input(key)));
        while !commands.iter().any(|command| answer(command).is_some()) {
            now = now + Micros::from_millis(5);
            coordinator.turn(now, inputs.drain(..), &mut commands);
        }
        match commands
            .iter()
            .find_map(answer)
            .expect("there is an answer")
        {
            Answer::Rejected { late, .. } => assert!(*late && !write_started),
            Answer::Failed { late } => assert!(*late && write_started),
            other => panic!("the request was neither rejected nor failed: {other:?}"),
        }
    }
}

#[test]
fn retry_whose_write_has_not_started_at_the_end_of_the_deduplication_window_is_cancelled() {
    let mut settings = settings();
    settings.classes[usize::from(IDEMPOTENT)].effect = Effect::Deduplicated(100 * MS);
    for write_started in [false, true] {
        let mut now = START;
        let mut coordinator = coordinator_with(settings.clone());
        let mut commands = Vec::new();
        coordinator.turn(now, [fleet(), submit(1, IDEMPOTENT, 1, now)], &mut commands);
        let first = commands
            .drain(..)
            .find_map(|command| dispatched(&command))
            .expect("an attempt is dispatched");
        now = now + Micros::from_millis(20);
        coordinator.turn(
            now,
            [Input::FullyWritten(first), failed(first, Outcome::Reset)],
            &mut commands,
        );
        let retry = commands
            .drain(..)
            .find_map(|command| dispatched(&command))
            .expect("there is a retry within the window");
        if write_started {
            coordinator.turn(now, [Input::WriteStarted(retry)], &mut commands);
        }
        let window_end = now + Micros::from_millis(80);
        while now < window_end {
            now = now + Micros::from_millis(5);
            coordinator.turn(now, [], &mut commands);
        }
        let is_cancelled = commands
            .iter()
            .filter_map(cancelled)
            .any(|key| key == retry);
        assert_eq!(
            is_cancelled, !write_started,
            "the attempt is cancelled if its write has not started at the end of the window"
        );
        assert_eq!(coordinator.is_in_flight(retry), write_started);
    }
}

/// A query with two attempts in flight, whose client disconnects or gets its answer.
#[derive(Debug, Clone, Copy)]
struct QueryEnd {
    /// Whether the client disconnects. Otherwise the first attempt is served, and half of the parts
    /// are enough for an answer.
    client_disconnects: bool,
    /// Whether the write of the second attempt starts before that.
    write_started: bool,
}

impl QueryEnd {
    /// Checks the replies and the cancelled attempts.
    fn check(self) {
        let mut coordinator = coordinator_with(Settings {
            cancellation: false,
            ..settings()
        });
        let mut commands = Vec::new();
        let inputs = [fleet(), submit(1, PARTIAL, 2, START)];
        coordinator.turn(START, inputs, &mut commands);
        let dispatches = commands.drain(..);
        let keys: Vec<AttemptKey> = dispatches.filter_map(|c| dispatched(&c)).collect();
        assert_eq!(keys.len(), 2);

        let mut now = START + Micros::from_millis(1);
        coordinator.turn(now, self.inputs(&keys), &mut commands);
        while coordinator.pending_queries() > 0 {
            now = now + Micros::from_millis(1);
            coordinator.turn(now, [], &mut commands);
        }

        let replies = commands.iter().filter_map(answer).count();
        assert_eq!(replies, usize::from(!self.client_disconnects), "{self:?}");
        let cancelled: Vec<AttemptKey> = commands.iter().filter_map(cancelled).collect();
        assert_eq!(cancelled, self.expected_cancels(&keys), "{self:?}");
        assert_eq!(
            coordinator.attempts_in_flight(),
            usize::from(self.write_started)
        );
    }

    /// Returns the inputs that end the query.
    fn inputs(self, keys: &[AttemptKey]) -> Vec<Input> {
        let write = self.write_started.then_some(Input::WriteStarted(keys[1]));
        let end = if self.client_disconnects {
            Input::ClientDisconnected(Token(1))
        } else {
            served(keys[0])
        };
        write.into_iter().chain([end]).collect()
    }

    /// Returns the attempts that are in flight and whose write has not started.
    fn expected_cancels(self, keys: &[AttemptKey]) -> Vec<AttemptKey> {
        let first = self.client_disconnects.then_some(keys[0]);
        let second = (!self.write_started).then_some(keys[1]);
        first.into_iter().chain(second).collect()
    }
}

#[test]
fn unwritten_attempts_are_cancelled_once_the_client_has_disconnected_or_has_its_answer() {
    // Parts that wait for a connection are cancelled even if the settings allow no cancellation at
    // the servers.
    for (client_disconnects, write_started) in
        [(true, false), (true, true), (false, false), (false, true)]
    {
        let end = QueryEnd {
            client_disconnects,
            write_started,
        };
        end.check();
    }
}
