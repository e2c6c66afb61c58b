//! Reloads of the settings.

use crate::support::{
    coordinator, failed, fleet, settings, submit, IDEMPOTENT, MAX_IN_FLIGHT, PARTIAL, START,
};
use quinceflow::coordinator::{Answer, Command, Input, Token};
use quinceflow::time::Micros;
use quinceflow::{Class, Effect, Outcome};
use std::collections::BTreeMap;

#[test]
fn pending_query_keeps_its_class_over_a_reload_and_a_new_one_has_the_reloaded_class() {
    // Attempts and effects belong to the class by its name, not by its place in the file.
    let mut now = START;
    let mut core = coordinator();
    let mut commands = Vec::new();
    core.turn(now, [fleet(), submit(1, IDEMPOTENT, 1, now)], &mut commands);
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
    let reload = Input::Settings {
        settings: Box::new(reloaded),
        max_in_flight: MAX_IN_FLIGHT,
    };
    core.turn(now, [reload, submit(2, IDEMPOTENT, 1, now)], &mut commands);
    let mut attempts_by_request = BTreeMap::new();
    let mut answers = BTreeMap::new();
    while answers.len() < 2 {
        let mut inputs = Vec::new();
        for command in commands.drain(..) {
            match command {
                Command::Dispatch { attempts, .. } => {
                    let attempt = &attempts[0];
                    *attempts_by_request
                        .entry(attempt.request_id.to_string())
                        .or_insert(0) += 1;
                    inputs.extend([
                        Input::FullyWritten(attempt.key),
                        failed(attempt.key, Outcome::Reset),
                    ]);
                }
                Command::Reply { token, answer } => {
                    answers.insert(token, answer);
                }
                _ => {}
            }
        }
        now = now + Micros::from_millis(5);
        core.turn(now, inputs, &mut commands);
    }
    assert_eq!(
        attempts_by_request,
        BTreeMap::from([("q1".to_owned(), 3), ("q2".to_owned(), 1)])
    );
    assert!(
        matches!(answers[&Token(1)], Answer::Rejected { .. }),
        "idempotent when it came"
    );
    assert!(
        matches!(answers[&Token(2)], Answer::Failed { .. }),
        "not idempotent by now"
    );
}
