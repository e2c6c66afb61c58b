//! The coordinator with random inputs: each attempt has one outcome, each query one final answer, and
//! the reserved slots are bounded.

use crate::support::{
    coordinator, endpoint_list, failed, fleet, served, server, submit, MAX_IN_FLIGHT,
    NON_IDEMPOTENT, PARTIAL, START,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quinceflow::coordinator::{
    Answer, AttemptKey, AttemptRequest, Command, Coordinator, Input, Token,
};
use quinceflow::time::Micros;
use quinceflow::{EndpointListKind, EndpointState, Outcome, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
enum Step {
    Submit {
        class: u16,
        parts: u32,
    },
    Wait {
        ms: u64,
    },
    AttemptEnds {
        attempt: usize,
        end: AttemptEnds,
        twice: bool,
    },
    FullyWritten {
        attempt: usize,
    },
    ClientDisconnects {
        client: usize,
    },
    Drain {
        server: u16,
        draining: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum AttemptEnds {
    Error,
    Rejected,
    Reset,
    Served,
}

impl AttemptEnds {
    fn nth(n: usize) -> Self {
        match n {
            0 => AttemptEnds::Error,
            1 => AttemptEnds::Rejected,
            2 => AttemptEnds::Reset,
            _ => AttemptEnds::Served,
        }
    }

    fn input(self, key: AttemptKey) -> Input {
        match self {
            AttemptEnds::Error => failed(key, Outcome::Error),
            AttemptEnds::Rejected => failed(key, Outcome::Rejected),
            AttemptEnds::Reset => failed(key, Outcome::Reset),
            AttemptEnds::Served => served(key),
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u16..3, 1u32..4).prop_map(|(class, parts)| Step::Submit { class, parts }),
        3 => (0u64..200).prop_map(|ms| Step::Wait { ms }),
        6 => (any::<usize>(), 0usize..5, any::<bool>()).prop_map(|(attempt, end, twice)| {
            Step::AttemptEnds { attempt, end: AttemptEnds::nth(end), twice }
        }),
        4 => any::<usize>().prop_map(|attempt| Step::FullyWritten { attempt }),
        1 => any::<usize>().prop_map(|client| Step::ClientDisconnects { client }),
        1 => (0u16..3, any::<bool>()).prop_map(|(server, draining)| Step::Drain { server, draining }),
    ]
}

struct InFlight {
    token: u64,
    fully_written: bool,
}

/// A part of a request: its token and its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RequestPart {
    token: u64,
    shard: u32,
}

/// Checks the commands of a coordinator.
#[derive(Default)]
struct CommandChecker {
    in_flight: BTreeMap<AttemptKey, InFlight>,
    /// Parts of the non-idempotent class that may have run.
    may_have_run: BTreeSet<RequestPart>,
    classes: BTreeMap<u64, u16>,
    answered: BTreeSet<u64>,
    draining: BTreeSet<ReplicaId>,
}

impl CommandChecker {
    fn check(&mut self, command: Command) {
        match command {
            Command::UpdateServer { replica, ready, .. } => {
                if ready {
                    self.draining.remove(&replica);
                } else {
                    self.draining.insert(replica);
                }
            }
            Command::Dispatch { replica, attempts } => {
                assert!(
                    !self.draining.contains(&replica),
                    "no new attempt is sent to a draining server"
                );
                attempts
                    .iter()
                    .for_each(|attempt| self.check_attempt(attempt));
            }
            Command::CancelAttempt { key, .. } => {
                let attempt = self
                    .in_flight
                    .remove(&key)
                    .expect("the attempt is in flight");
                if !attempt.fully_written {
                    self.record_not_run(attempt.token);
                }
            }
            Command::Reply { token, answer } => self.check_answer(token, &answer),
            Command::CloseIdle(_)
            | Command::RemoveServer(_)
            | Command::EndEarlierConnections { .. } => {}
        }
    }

    /// Checks that an attempt is allowed, and records that the part may run.
    fn check_attempt(&mut self, attempt: &AttemptRequest) {
        let token: u64 = attempt.request_id[1..]
            .parse()
            .expect("the request id ends with a token");
        assert!(
            !self.answered.contains(&token),
            "no attempt is sent after the answer"
        );
        let part_in_flight = self
            .in_flight
            .keys()
            .any(|key| key.part == attempt.key.part);
        assert!(
            !part_in_flight,
            "one attempt at a part is in flight at a time"
        );
        let part = RequestPart {
            token,
            shard: attempt.shard.0,
        };
        assert!(
            !self.may_have_run.contains(&part),
            "a part that may have run is not repeated"
        );
        assert!(attempt.key.attempt.0 < 3);
        if self.classes[&token] == NON_IDEMPOTENT {
            self.may_have_run.insert(part);
        }
        self.in_flight.insert(
            attempt.key,
            InFlight {
                token,
                fully_written: false,
            },
        );
    }

    /// Checks that an answer is the only one, and partial only where the class allows it.
    fn check_answer(&mut self, token: Token, answer: &Answer) {
        assert!(self.answered.insert(token.0), "a request has one answer");
        if let Answer::Served { complete, parts } = answer {
            assert!(!parts.is_empty());
            assert!(
                *complete || self.classes[&token.0] == PARTIAL,
                "only one class has partial answers"
            );
        }
    }

    /// Records that the parts of a request have not run.
    fn record_not_run(&mut self, token: u64) {
        self.may_have_run.retain(|part| part.token != token);
    }

    fn nth_attempt(&self, n: usize) -> Option<AttemptKey> {
        self.in_flight
            .keys()
            .nth(n % self.in_flight.len().max(1))
            .copied()
    }
}

/// A coordinator, its checker, and the inputs for its next turn.
struct Run {
    now: Micros,
    coordinator: Coordinator,
    checker: CommandChecker,
    inputs: Vec<Input>,
    /// The highest token so far.
    tokens: u64,
    disconnected: BTreeSet<u64>,
}

impl Run {
    fn new() -> Self {
        Run {
            now: START,
            coordinator: coordinator(),
            checker: CommandChecker::default(),
            inputs: vec![fleet()],
            tokens: 0,
            disconnected: BTreeSet::new(),
        }
    }

    /// Adds the inputs of a step.
    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Submit { class, parts } => {
                self.tokens += 1;
                self.checker.classes.insert(self.tokens, class);
                self.inputs
                    .push(submit(self.tokens, class, parts, self.now));
            }
            Step::Wait { ms } => self.now = self.now + Micros::from_millis(ms.min(20)),
            Step::AttemptEnds {
                attempt,
                end,
                twice,
            } => self.end_attempt(attempt, end, twice),
            Step::FullyWritten { attempt } => self.write_attempt(attempt),
            Step::ClientDisconnects { client } => {
                let token = client as u64 % (self.tokens + 1);
                self.disconnected.insert(token);
                self.inputs.push(Input::ClientDisconnected(Token(token)));
            }
            Step::Drain {
                server: number,
                draining,
            } => {
                let state = if draining {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                };
                self.inputs.push(endpoint_list(
                    EndpointListKind::Delta,
                    None,
                    [server(number, state)],
                ));
            }
        }
    }

    fn end_attempt(&mut self, attempt: usize, end: AttemptEnds, twice: bool) {
        let Some(key) = self.checker.nth_attempt(attempt) else {
            return;
        };
        let ended = self
            .checker
            .in_flight
            .remove(&key)
            .expect("the attempt is in flight");
        if end == AttemptEnds::Rejected {
            self.checker.record_not_run(ended.token);
        }
        self.inputs
            .extend([Input::FullyWritten(key), end.input(key)]);
        self.inputs.extend(twice.then(|| served(key)));
    }

    fn write_attempt(&mut self, attempt: usize) {
        let Some(key) = self.checker.nth_attempt(attempt) else {
            return;
        };
        self.checker
            .in_flight
            .get_mut(&key)
            .expect("the attempt is in flight")
            .fully_written = true;
        self.inputs.push(Input::FullyWritten(key));
    }

    /// Runs turns until no turn is due.
    fn settle(&mut self) {
        loop {
            let mut commands = Vec::new();
            self.coordinator
                .turn(self.now, self.inputs.drain(..), &mut commands);
            commands
                .into_iter()
                .for_each(|command| self.checker.check(command));
            if self
                .coordinator
                .next_turn_due()
                .is_none_or(|due| due > self.now)
            {
                return;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(300)
    })]

    #[test]
    fn each_query_gets_one_answer_in_time_whatever_the_inputs(steps in vec(step(), 1..80)) {
        let mut run = Run::new();
        // After the steps, the passing of time alone must end all queries and attempts.
        let idle = std::iter::repeat_n(Step::Wait { ms: 20 }, 100);
        for step in steps.into_iter().chain(idle) {
            run.apply(&step);
            run.settle();
            prop_assert!(run.coordinator.pending_queries() <= MAX_IN_FLIGHT / 2);
        }
        prop_assert_eq!(run.coordinator.pending_queries(), 0);
        prop_assert_eq!(run.coordinator.attempts_in_flight(), 0, "every attempt has had its outcome");
        for token in 1..=run.tokens {
            let ended = run.checker.answered.contains(&token) || run.disconnected.contains(&token);
            prop_assert!(ended, "there is no answer to {}", token);
        }
    }
}
