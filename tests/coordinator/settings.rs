//! Reloads of the settings.

use crate::support::{
    coordinator, failed, fleet, settings, submit, IDEMPOTENT, MAX_IN_FLIGHT, PARTIAL, START,
};
use quinceflow::coordinator::{Answer, Command, Input, Token};
use quinceflow::time::Micros;
use quinceflow::{Class, Effect, Outcome};
use std::collections::BTreeMap;

/// Returns a reload of settings in which the idempotent class has another position, is not
/// idempotent, and has one attempt.
fn reload_with_swapped_classes() -> Input {
    let mut reloaded = settings();
    let class = &mut reloaded.classes[usize::from(IDEMPOTENT)];
    *class = Class {
        effect: Effect::NonIdempotent,
        max_attempts: 1,
        ..class.clone()
    };
    reloaded
        .classes
        .swap(usize::from(IDEMPOTENT), usize::from(PARTIAL));
    Input::Settings {
        settings: Box::new(reloaded),
        max_in_flight: MAX_IN_FLIGHT,
    }
}

/// The attempts and answers in the commands of a coordinator.
#[derive(Default)]
struct Outcomes {
    attempts_by_request: BTreeMap<String, usize>,
    answers: BTreeMap<Token, Answer>,
}

impl Outcomes {
    /// Records commands and returns the inputs by which each attempt is fully written and then reset.
    fn record_and_fail_attempts(&mut self, commands: impl Iterator<Item = Command>) -> Vec<Input> {
        let mut inputs = Vec::new();
        for command in commands {
            match command {
                Command::Dispatch { attempts, .. } => {
                    let attempt = &attempts[0];
                    let id = attempt.request_id.to_string();
                    *self.attempts_by_request.entry(id).or_default() += 1;
                    inputs.push(Input::FullyWritten(attempt.key));
                    inputs.push(failed(attempt.key, Outcome::Reset));
                }
                Command::Reply { token, answer } => {
                    self.answers.insert(token, answer);
                }
                _ => {}
            }
        }
        inputs
    }
}

#[test]
fn pending_query_keeps_its_class_over_a_reload_and_a_new_one_has_the_reloaded_class() {
    // A class is identified by its name, not by its position in the file.
    let mut now = START;
    let mut coordinator = coordinator();
    let mut commands = Vec::new();
    coordinator.turn(now, [fleet(), submit(1, IDEMPOTENT, 1, now)], &mut commands);
    let reload = reload_with_swapped_classes();
    coordinator.turn(now, [reload, submit(2, IDEMPOTENT, 1, now)], &mut commands);

    let mut outcomes = Outcomes::default();
    while outcomes.answers.len() < 2 {
        let inputs = outcomes.record_and_fail_attempts(commands.drain(..));
        now = now + Micros::from_millis(5);
        coordinator.turn(now, inputs, &mut commands);
    }

    assert_eq!(
        outcomes.attempts_by_request,
        BTreeMap::from([("q1".to_owned(), 3), ("q2".to_owned(), 1)])
    );
    assert!(
        matches!(outcomes.answers[&Token(1)], Answer::Rejected { .. }),
        "the class was idempotent when the query was submitted"
    );
    assert!(
        matches!(outcomes.answers[&Token(2)], Answer::Failed { .. }),
        "the class is not idempotent since the reload"
    );
}
