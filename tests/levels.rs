//! What a level of reduced service has the module take back, and give again once it is left.

mod common;
use common::*;
use quinceflow::levels::Effects;
use quinceflow::*;

/// Tells the module the level, as its settings.
fn enter(harness: &mut Harness, set: &Settings, effects: &Effects) {
    let heirs = (0..set.classes.len()).map(|c| ClassId(c as u16)).collect();
    harness.report(vec![Event::Settings { settings: Box::new(effects.on(set)), class_mapping: heirs }]);
}

/// An alert of high worth, and a survey of low worth.
fn two_classes() -> Settings {
    let mut set =
        settings(Class { name: "alert".to_owned(), priority_weight: 3.0, ..class(Effect::Idempotent) });
    set.classes.push(Class { name: "survey".to_owned(), ..class(Effect::Idempotent) });
    set
}

/// Of 400 queries of a class how many are sent; the others are refused at once.
fn admitted(harness: &mut Harness, class: u16) -> usize {
    let mut sent = 0;
    for _ in 0..400 {
        let (_, parts, actions) = harness.submit_as(class, 0, &[0]);
        if sent_attempts(&actions).is_empty() {
            assert!(
                matches!(final_actions(&actions)[..], [Action::Reject { retry_after: Some(_), .. }]),
                "{actions:?}"
            );
        } else {
            sent += 1;
            harness.answer(parts[0]);
        }
    }
    sent
}

#[test]
fn a_level_admits_a_share_of_each_class_and_refuses_the_rest_at_once() {
    let set = two_classes();
    for class in 0..2 {
        let mut harness = Harness::new(set.clone());
        let name = set.classes[class].name.clone();
        enter(&mut harness, &set, &Effects { admit: [(name, 0.5)].into(), ..Effects::default() });
        let (of_other, of_this) =
            (admitted(&mut harness, 1 - class as u16), admitted(&mut harness, class as u16));
        assert_eq!(of_other, 400, "the class that is not named");
        assert!((150..=250).contains(&of_this), "{of_this} of 400 of class {class}");
        let mut harness = Harness::new(set.clone());
        enter(
            &mut harness,
            &set,
            &Effects { admit: [(set.classes[class].name.clone(), 0.0)].into(), ..Effects::default() },
        );
        assert_eq!(admitted(&mut harness, class as u16), 0);
        enter(&mut harness, &set, &Effects::default());
        assert_eq!(admitted(&mut harness, class as u16), 400, "the level is left");
    }
}

#[test]
fn a_level_bounds_attempts_and_never_allows_more_than_the_settings() {
    // Three is what there is time for here.
    for (of_settings, of_level, allowed) in [(4, None, 3), (4, Some(2), 2), (2, Some(9), 2), (4, Some(0), 1)]
    {
        let set = settings(Class { max_attempts: of_settings, ..class(Effect::Idempotent) });
        let mut harness = Harness::new(set.clone());
        enter(&mut harness, &set, &Effects { most_attempts: of_level, ..Effects::default() });
        let (_, parts, actions) = harness.submit(&[0]);
        let mut sent = sent_attempts(&actions).len();
        for attempt in 0..10 {
            sent += sent_attempts(&harness.complete(parts[0], attempt, Outcome::ConnectFailed, MS)).len();
            sent += sent_attempts(&harness.run_for(100 * MS)).len();
        }
        assert_eq!(sent, allowed, "with {of_settings} and {of_level:?}");
    }
}

#[test]
fn a_level_answers_early_from_what_is_in_but_never_under_the_floor() {
    let set = settings(Class { min_share: 0.6, ..class(Effect::Idempotent) });
    for (come, early) in [(2, true), (1, false)] {
        let mut harness = Harness::new(set.clone());
        enter(&mut harness, &set, &Effects { answer_after: Some(0.5), ..Effects::default() });
        let (query, parts, _) = harness.submit(&[0, 1, 2]);
        for part in &parts[..come] {
            harness.answer(*part);
        }
        let answer = Action::Answer { query, complete: false };
        let before = final_actions(&harness.run_for(500 * MS - come as u64 * 100 * MS - 25 * MS));
        assert_eq!(before, [], "not before half of the aim");
        let then = final_actions(&harness.run_for(100 * MS));
        assert_eq!(then, if early { vec![answer.clone()] } else { vec![] }, "{come} of 3 are in");
        if !early {
            // What comes after that is still waited for, up to the aim.
            assert!(final_actions(&harness.run_for(200 * MS)).is_empty());
            assert_eq!(final_actions(&harness.answer(parts[1])), vec![answer], "as soon as the floor is in");
        }
    }
}

#[test]
fn a_level_calls_late_parts_of_samples_off() {
    for quiet in [false, true] {
        let set = settings(Class { min_share: 0.3, ..class(Effect::Idempotent) });
        let mut harness = Harness::new(set.clone());
        enter(&mut harness, &set, &Effects { quiet, ..Effects::default() });
        let (_, parts, _) = harness.submit(&[0, 1]);
        harness.answer(parts[0]);
        let actions = harness.run_for(S);
        let answered = actions.iter().position(|a| matches!(a, Action::Answer { .. })).expect("an answer");
        let late = |a: &Action| matches!(a, Action::Cancel { part, .. } if *part == parts[1]);
        let called_off = actions[answered..].iter().any(late);
        assert_eq!(called_off, quiet);
    }
}

#[test]
fn refused_clients_are_told_longer_waits_that_stay_spread_and_within_what_they_follow() {
    let set = settings(class(Effect::Idempotent));
    for (come_back, least) in [(1.0, S / 2), (2.0, 3 * S / 4), (4.0, 7 * S / 8), (0.0, S / 2)] {
        let mut harness = Harness::new(set.clone());
        let admit = [("lookup".to_owned(), 0.0)].into();
        enter(&mut harness, &set, &Effects { admit, come_back, ..Effects::default() });
        let told = |_| match final_actions(&harness.submit(&[0]).2)[..] {
            [Action::Reject { retry_after: Some(wait), .. }] => wait,
            ref other => panic!("{other:?}"),
        };
        let waits: Vec<Nanos> = (0..200).map(told).collect();
        let (low, high) = (*waits.iter().min().expect("some"), *waits.iter().max().expect("some"));
        assert!(low >= least && high <= S, "{come_back}: {low} to {high}");
        assert!(high - low > (S - least) * 9 / 10, "{come_back}: spread from {low} to {high}");
    }
}
