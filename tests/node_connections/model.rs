//! A model of a connection's state, with which the connection is compared after random steps. The
//! seeds are fixed, so that each run has the same result.

use super::wire::{frame, frames, key, query_payload, request};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quinceflow::coordinator::{AttemptEnd, AttemptKey, AttemptRequest, ClassMetrics};
use quinceflow::proto::frames::{AttemptEvent, MultiplexedConnection};
use quinceflow::Outcome;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    }
}

#[derive(Debug, Clone)]
enum Step {
    Enqueue,
    Cancel(usize),
    Write(usize),
    /// An answer to an attempt: its end as an index, and where its frame is split in two.
    Answer {
        attempt: usize,
        end: usize,
        split: usize,
    },
    ReclaimUnwritten,
    Restart,
    Fail,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Enqueue),
        2 => any::<usize>().prop_map(Step::Cancel),
        4 => (1usize..90).prop_map(Step::Write),
        4 => (any::<usize>(), 0usize..3, any::<usize>())
            .prop_map(|(attempt, end, split)| Step::Answer { attempt, end, split }),
        1 => Just(Step::ReclaimUnwritten),
        1 => Just(Step::Restart),
        1 => Just(Step::Fail),
    ]
}

/// The state of an attempt in the model.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptState {
    /// The attempt has bytes of its frame still to be written.
    Queued,
    FullyWritten,
    /// Cancelled, or ended otherwise.
    Ended,
}

/// A frame that is not fully written.
struct QueuedFrame {
    /// The attempt that the frame carries; `None` for a frame that cancels an attempt.
    attempt: Option<usize>,
    remaining: usize,
    size: usize,
}

impl QueuedFrame {
    fn new(attempt: Option<usize>, size: usize) -> Self {
        QueuedFrame {
            attempt,
            remaining: size,
            size,
        }
    }

    fn is_unstarted(&self) -> bool {
        self.remaining == self.size
    }
}

/// The outcomes of attempts by their numbers; `None`: served.
type Ends = BTreeMap<usize, Option<Outcome>>;

/// The events of a step, and the expected ends of attempts.
#[derive(Default)]
struct StepResult {
    events: Vec<AttemptEvent>,
    expected: Ends,
}

/// A connection and the model that it is compared with.
#[derive(Default)]
struct Model {
    connection: MultiplexedConnection,
    attempts: Vec<AttemptState>,
    /// The bytes written on the current connection.
    wire: Vec<u8>,
    queue: Vec<QueuedFrame>,
    /// The attempts that the data node has received on the current connection; it answers only
    /// these.
    received: BTreeSet<usize>,
    metrics: Arc<ClassMetrics>,
    /// The number of attempts whose frame was fully written, including those cancelled before; the
    /// metrics for operators count these.
    fully_written: u64,
}

impl Model {
    /// Applies a step to the connection and to the model.
    fn apply(&mut self, step: Step) -> Result<StepResult, TestCaseError> {
        match step {
            Step::Enqueue => self.enqueue(),
            Step::Cancel(n) if !self.attempts.is_empty() => self.cancel(n % self.attempts.len()),
            Step::Write(bytes) => return self.write(bytes),
            Step::Answer {
                attempt,
                end,
                split,
            } if !self.attempts.is_empty() => {
                return self.answer(attempt % self.attempts.len(), end, split);
            }
            Step::ReclaimUnwritten => return Ok(self.reclaim_unwritten()),
            Step::Restart => self.restart()?,
            Step::Fail => return self.fail(),
            Step::Cancel(_) | Step::Answer { .. } => {}
        }
        Ok(StepResult::default())
    }

    fn enqueue(&mut self) {
        let n = self.attempts.len();
        self.connection.enqueue(&[AttemptRequest {
            metrics: self.metrics.clone(),
            ..request(n)
        }]);
        self.attempts.push(AttemptState::Queued);
        self.queue.push(QueuedFrame::new(
            Some(n),
            frame('q', &query_payload(n)).len(),
        ));
    }

    fn cancel(&mut self, n: usize) {
        self.connection.cancel(key(n));
        if std::mem::replace(&mut self.attempts[n], AttemptState::Ended) == AttemptState::Ended {
            return;
        }
        let unstarted = self
            .queue
            .iter()
            .position(|frame| frame.attempt == Some(n) && frame.is_unstarted());
        match unstarted {
            Some(at) => drop(self.queue.remove(at)),
            None => self.queue.push(QueuedFrame::new(
                None,
                frame('c', &format!("9b1f.{n}")).len(),
            )),
        }
    }

    /// Returns the attempt, unless it has ended in the model.
    fn unless_ended(&self, attempt: Option<usize>) -> Option<usize> {
        attempt.filter(|n| self.attempts[*n] != AttemptState::Ended)
    }

    fn write(&mut self, bytes: usize) -> Result<StepResult, TestCaseError> {
        let bytes = bytes.min(self.connection.output().len());
        self.wire
            .extend_from_slice(&self.connection.output()[..bytes]);
        let mut events = Vec::new();
        self.connection.record_written(bytes, &mut events);
        let mut expected = None;
        if bytes > 0 {
            let front = &mut self.queue[0];
            let started = front.is_unstarted();
            front.remaining -= bytes;
            if front.remaining == 0 {
                expected = self.remove_written_front().map(AttemptEvent::FullyWritten);
            } else if started {
                let attempt = self.unless_ended(self.queue[0].attempt);
                expected = attempt.map(|n| AttemptEvent::WriteStarted(key(n)));
            }
        }
        prop_assert_eq!(events, expected.into_iter().collect::<Vec<_>>());
        Ok(StepResult::default())
    }

    /// Removes the front of the queue, which is fully written, and returns the attempt that it
    /// carried, unless that attempt has ended.
    fn remove_written_front(&mut self) -> Option<AttemptKey> {
        let attempt = self.queue.remove(0).attempt;
        self.received.extend(attempt);
        self.fully_written += u64::from(attempt.is_some());
        let in_flight = self.unless_ended(attempt)?;
        self.attempts[in_flight] = AttemptState::FullyWritten;
        Some(key(in_flight))
    }

    fn answer(&mut self, n: usize, end: usize, split: usize) -> Result<StepResult, TestCaseError> {
        let mut result = StepResult::default();
        if !self.received.contains(&n) {
            return Ok(result);
        }
        let word = ["served", "broke", "skipped"][end];
        let bytes = frame('a', &format!("9b1f.{n} {word} 1 -\nvalue"));
        let (first, second) = bytes.split_at(split % bytes.len());
        for half in [first, second] {
            self.connection.input().extend(half);
            prop_assert!(self.connection.process_input(&mut result.events).is_ok());
        }
        self.connection.confirm_last_answer(&mut result.events);
        let before = std::mem::replace(&mut self.attempts[n], AttemptState::Ended);
        if before == AttemptState::FullyWritten {
            result.expected.insert(
                n,
                [None, Some(Outcome::Error), Some(Outcome::Rejected)][end],
            );
        }
        Ok(result)
    }

    fn reclaim_unwritten(&mut self) -> StepResult {
        let mut result = StepResult::default();
        self.connection.reclaim_unwritten(&mut result.events);
        let (reclaimed, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|frame| frame.is_unstarted() && frame.attempt.is_some());
        self.queue = kept;
        for n in reclaimed.into_iter().filter_map(|frame| frame.attempt) {
            result.expected.insert(n, Some(Outcome::NotSent));
            self.attempts[n] = AttemptState::Ended;
        }
        result
    }

    fn restart(&mut self) -> Result<(), TestCaseError> {
        let allowed = !self.attempts.contains(&AttemptState::FullyWritten)
            && self.attempts.contains(&AttemptState::Queued);
        prop_assert_eq!(self.connection.restart_unsent(), allowed);
        if allowed {
            let attempts = &self.attempts;
            self.queue.retain(|frame| {
                frame
                    .attempt
                    .is_some_and(|n| attempts[n] != AttemptState::Ended)
            });
            self.queue
                .iter_mut()
                .for_each(|frame| frame.remaining = frame.size);
            self.wire.clear();
            self.received.clear();
        }
        Ok(())
    }

    fn fail(&mut self) -> Result<StepResult, TestCaseError> {
        let mut result = StepResult::default();
        self.connection.fail_all(&mut result.events);
        for (n, state) in self.attempts.iter_mut().enumerate() {
            match std::mem::replace(state, AttemptState::Ended) {
                AttemptState::Ended => continue,
                AttemptState::FullyWritten => result.expected.insert(n, Some(Outcome::Reset)),
                AttemptState::Queued => result.expected.insert(n, Some(Outcome::ConnectFailed)),
            };
        }
        prop_assert!(self.connection.is_idle());
        self.queue.clear();
        self.wire.clear();
        self.received.clear();
        Ok(result)
    }

    /// Checks the conditions that hold after every step.
    fn check(&self, result: StepResult) -> Result<(), TestCaseError> {
        let ends = ends(&result.events);
        prop_assert_eq!(
            ends.len(),
            result.events.len(),
            "each attempt has one end: {:?}",
            result.events
        );
        prop_assert_eq!(ends, result.expected);
        prop_assert_eq!(self.metrics.attempts.get(), self.fully_written);
        let written = frames(&self.wire);
        for (n, state) in self.attempts.iter().enumerate() {
            if *state == AttemptState::FullyWritten {
                let id = format!("9b1f.{n} ");
                let queries = written
                    .iter()
                    .filter(|frame| frame.0 == 'q' && frame.1.starts_with(&id));
                prop_assert_eq!(queries.count(), 1, "attempt {} is {:?}", n, state);
            }
        }
        Ok(())
    }
}

/// Returns the ends of attempts among the events.
fn ends(events: &[AttemptEvent]) -> Ends {
    let end = |event: &AttemptEvent| match event {
        AttemptEvent::Ended(key, AttemptEnd::Served(value)) => {
            assert_eq!(&value[..], b"value");
            Some((key.part.0 as usize, None))
        }
        AttemptEvent::Ended(key, AttemptEnd::Failed(outcome)) => {
            Some((key.part.0 as usize, Some(*outcome)))
        }
        AttemptEvent::WriteStarted(_) | AttemptEvent::FullyWritten(_) => None,
    };
    events.iter().filter_map(end).collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_attempt_ends_once_and_according_to_what_was_written(steps in vec(step(), 1..60)) {
        let mut model = Model::default();
        for step in steps.into_iter().chain([Step::Fail]) {
            let result = model.apply(step)?;
            model.check(result)?;
        }
    }

    #[test]
    fn arbitrary_bytes_from_a_node_cause_no_panic(
        chunks in vec(vec(any::<u8>(), 0..400), 0..20),
        text in "[ -~\r\n]{0,600}",
    ) {
        let mut connection = MultiplexedConnection::default();
        let mut events = Vec::new();
        for chunk in chunks.iter().map(Vec::as_slice).chain([text.as_bytes()]) {
            connection.input().extend(chunk);
            if connection.process_input(&mut events).is_err() {
                break;
            }
        }
    }
}
