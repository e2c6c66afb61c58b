//! The decision policy in a degradation level: the effects of the level, which end with it.

mod common;
use common::{class, final_actions, sent_attempts, settings, Harness, MS, S};
use quinceflow::degradation::Effects;
use quinceflow::{Action, Class, ClassId, Effect, Event, Nanos, Outcome, PartId, Settings};

/// Applies the effects of a level to the settings and sends them to the policy.
fn enter_level(harness: &mut Harness, settings: &Settings, effects: &Effects) {
    let class_mapping = (0..settings.classes.len())
        .map(|class| ClassId(class as u16))
        .collect();
    let settings = Box::new(effects.apply_to(settings));
    harness.report(vec![Event::Settings {
        settings,
        class_mapping,
    }]);
}

/// Returns settings with a class of high priority and one of low priority.
fn two_classes() -> Settings {
    let alert = Class {
        name: "alert".to_owned(),
        priority_weight: 3.0,
        ..class(Effect::Idempotent)
    };
    let mut settings = settings(alert);
    settings.classes.push(Class {
        name: "survey".to_owned(),
        ..class(Effect::Idempotent)
    });
    settings
}

/// Submits 400 queries of a class and returns the number of those admitted. Asserts that each of the
/// others is rejected at once.
fn count_admitted(harness: &mut Harness, class: u16) -> usize {
    let mut admitted = 0;
    for _ in 0..400 {
        let (_, parts, actions) = harness.submit_as(class, 0, &[0]);
        if sent_attempts(&actions).is_empty() {
            let rejected = matches!(
                final_actions(&actions)[..],
                [Action::Reject {
                    retry_after: Some(_),
                    ..
                }]
            );
            assert!(rejected, "{actions:?}");
        } else {
            admitted += 1;
            harness.answer(parts[0]);
        }
    }
    admitted
}

#[test]
fn a_level_admits_a_share_of_each_class_and_rejects_the_rest_at_once() {
    let settings = two_classes();
    for (index, other) in [(0, 1), (1, 0)] {
        let name = &settings.classes[usize::from(index)].name;
        let share = |share| Effects {
            admitted_shares: [(name.clone(), share)].into(),
            ..Effects::default()
        };
        let mut harness = Harness::new(settings.clone());
        enter_level(&mut harness, &settings, &share(0.5));
        assert_eq!(
            count_admitted(&mut harness, other),
            400,
            "the level does not limit the other class"
        );
        let admitted = count_admitted(&mut harness, index);
        assert!(
            (150..=250).contains(&admitted),
            "{admitted} of 400 queries of class {index} are admitted"
        );
        let mut harness = Harness::new(settings.clone());
        enter_level(&mut harness, &settings, &share(0.0));
        assert_eq!(count_admitted(&mut harness, index), 0);
        enter_level(&mut harness, &settings, &Effects::default());
        assert_eq!(
            count_admitted(&mut harness, index),
            400,
            "the level has ended"
        );
    }
}

#[test]
fn a_level_limits_attempts_and_never_allows_more_than_the_settings() {
    // There is time for three attempts only.
    let cases = [
        (4, None, 3),
        (4, Some(2), 2),
        (2, Some(9), 2),
        (4, Some(0), 1),
    ];
    for (max_of_settings, max_of_level, allowed) in cases {
        let settings = settings(Class {
            max_attempts: max_of_settings,
            ..class(Effect::Idempotent)
        });
        let mut harness = Harness::new(settings.clone());
        enter_level(
            &mut harness,
            &settings,
            &Effects {
                max_attempts: max_of_level,
                ..Effects::default()
            },
        );
        let (_, parts, actions) = harness.submit(&[0]);
        let mut sent = sent_attempts(&actions).len();
        for attempt in 0..10 {
            sent += sent_attempts(&harness.complete(parts[0], attempt, Outcome::ConnectFailed, MS))
                .len();
            sent += sent_attempts(&harness.run_for(100 * MS)).len();
        }
        assert_eq!(
            sent, allowed,
            "maximum of the settings {max_of_settings}, of the level {max_of_level:?}"
        );
    }
}

/// A query of three parts in a level that answers after half of the latency objective of a second.
struct PartialQuery {
    harness: Harness,
    parts: Vec<PartId>,
    partial_answer: Action,
}

impl PartialQuery {
    /// Submits the query, answers its first `received` parts, and checks that it has no final
    /// action until 25 ms before half of the latency objective.
    fn run_until_half_of_the_objective(received: usize) -> Self {
        let settings = settings(Class {
            min_share: 0.6,
            ..class(Effect::Idempotent)
        });
        let effects = Effects {
            answer_after: Some(0.5),
            ..Effects::default()
        };
        let mut harness = Harness::new(settings.clone());
        enter_level(&mut harness, &settings, &effects);
        let (query, parts, _) = harness.submit(&[0, 1, 2]);
        for part in &parts[..received] {
            harness.answer(*part);
        }
        let time_left = 500 * MS - received as u64 * 100 * MS - 25 * MS;
        let before = final_actions(&harness.run_for(time_left));
        assert_eq!(
            before,
            [],
            "no answer is given before half of the latency objective"
        );
        Self {
            harness,
            parts,
            partial_answer: Action::Answer {
                query,
                complete: false,
            },
        }
    }

    /// Returns the final actions of the next milliseconds.
    fn final_actions_within(&mut self, milliseconds: u64) -> Vec<Action> {
        final_actions(&self.harness.run_for(milliseconds * MS))
    }
}

#[test]
fn a_level_answers_early_with_partial_results() {
    let mut query = PartialQuery::run_until_half_of_the_objective(2);
    let expected = vec![query.partial_answer.clone()];
    assert_eq!(
        query.final_actions_within(100),
        expected,
        "2 of 3 parts are received"
    );
}

#[test]
fn a_level_never_answers_below_the_minimum_share() {
    let mut query = PartialQuery::run_until_half_of_the_objective(1);
    assert_eq!(
        query.final_actions_within(100),
        [],
        "1 of 3 parts is received"
    );
    // Later parts are still waited for, up to the latency objective.
    assert_eq!(query.final_actions_within(200), []);
    assert_eq!(
        final_actions(&query.harness.answer(query.parts[1])),
        [query.partial_answer],
        "an answer is given as soon as the minimum share is reached"
    );
}

#[test]
fn a_level_cancels_the_late_parts_that_would_be_sampled() {
    for skip_late_samples in [false, true] {
        let settings = settings(Class {
            min_share: 0.3,
            ..class(Effect::Idempotent)
        });
        let mut harness = Harness::new(settings.clone());
        enter_level(
            &mut harness,
            &settings,
            &Effects {
                skip_late_samples,
                ..Effects::default()
            },
        );
        let (_, parts, _) = harness.submit(&[0, 1]);
        harness.answer(parts[0]);
        let actions = harness.run_for(S);
        let is_answer = |action: &Action| matches!(action, Action::Answer { .. });
        let answered = actions
            .iter()
            .position(is_answer)
            .expect("there is an answer");
        let cancels =
            |action: &Action| matches!(action, Action::Cancel { part, .. } if *part == parts[1]);
        let cancelled = actions[answered..].iter().any(cancels);
        assert_eq!(cancelled, skip_late_samples);
    }
}

#[test]
fn a_level_extends_retry_after_which_stays_spread_and_within_its_maximum() {
    let settings = settings(class(Effect::Idempotent));
    for (retry_after_factor, min) in [
        (1.0, S / 2),
        (2.0, 3 * S / 4),
        (4.0, 7 * S / 8),
        (0.0, S / 2),
    ] {
        let mut harness = Harness::new(settings.clone());
        let admitted_shares = [("lookup".to_owned(), 0.0)].into();
        let effects = Effects {
            admitted_shares,
            retry_after_factor,
            ..Effects::default()
        };
        enter_level(&mut harness, &settings, &effects);
        let retry_after = |_| match final_actions(&harness.submit(&[0]).2)[..] {
            [Action::Reject {
                retry_after: Some(wait),
                ..
            }] => wait,
            ref other => panic!("{other:?}"),
        };
        let waits: Vec<Nanos> = (0..200).map(retry_after).collect();
        let low = *waits.iter().min().expect("there is at least one wait");
        let high = *waits.iter().max().expect("there is at least one wait");
        assert!(
            low >= min && high <= S,
            "factor {retry_after_factor}: Retry-After is {low} to {high}"
        );
        assert!(
            high - low > (S - min) * 9 / 10,
            "factor {retry_after_factor}: Retry-After is spread from {low} to {high}"
        );
    }
}
