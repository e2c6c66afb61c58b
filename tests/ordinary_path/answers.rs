//! When queries are answered, and as complete or partial.

use crate::common::*;
use crate::support::partial_class;
use quinceflow::*;

#[test]
fn a_query_with_all_parts_is_answered_at_once_as_complete() {
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let (query, parts, _) = harness.submit(&[0, 1]);
    assert!(final_actions(&harness.answer(parts[0])).is_empty());
    assert_eq!(
        final_actions(&harness.answer(parts[1])),
        vec![Action::Answer {
            query,
            complete: true
        }]
    );
}

#[test]
fn a_partial_query_is_answered_just_before_its_objective() {
    let mut harness = Harness::new(settings(partial_class(0)));
    let (query, parts, _) = harness.submit(&[0, 1]);
    let mut all = harness.answer(parts[0]);
    all.extend(harness.run_for(850 * MS));
    assert!(
        final_actions(&all).is_empty(),
        "no answer is given before, since the second part may still be answered"
    );
    assert_eq!(
        final_actions(&harness.run_for(45 * MS)),
        vec![Action::Answer {
            query,
            complete: false
        }]
    );
}

#[test]
fn a_query_below_its_minimum_share_at_the_objective_is_answered_once_it_reaches_it() {
    let mut harness = Harness::new(settings(partial_class(0)));
    let (query, parts, _) = harness.submit(&[0, 1]);
    assert!(final_actions(&harness.run_for(S)).is_empty());
    assert_eq!(
        final_actions(&harness.answer(parts[0])),
        vec![Action::Answer {
            query,
            complete: false
        }]
    );
}

#[test]
fn a_follow_up_answer_is_complete_only_after_a_complete_first_answer() {
    let mut harness = Harness::new(settings(partial_class(1)));
    let (query, parts, _) = harness.submit(&[0, 1]);
    let first = harness.answer(parts[0]);
    assert!(final_actions(&first).is_empty());
    let before = harness.run_for(S);
    assert_eq!(
        final_actions(&before),
        vec![Action::Answer {
            query,
            complete: false
        }]
    );
    let group = GroupId(query.0 as u32);
    let second = Event::Part {
        part: PartId(800),
        group,
        shard: ShardId(0),
        weight: 1.0,
    };
    assert_eq!(sent_attempts(&harness.report(vec![second])).len(), 1);
    harness.now += 20 * MS;
    let last = harness.complete(PartId(800), 0, Outcome::Ok, 20 * MS);
    assert_eq!(
        final_actions(&last),
        vec![Action::Answer {
            query,
            complete: false
        }]
    );
}

#[test]
fn an_answer_from_all_parts_is_complete_however_their_weights_were_rounded() {
    // The weights of 35 parts of 0.02857 each add up to 0.99995, although no part is missing and no
    // better answer can follow.
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let parts: Vec<PartId> = (2..37).map(PartId).collect();
    let part = |p: &PartId| Event::Part {
        part: *p,
        group: GroupId(1),
        shard: ShardId(0),
        weight: 0.028_57,
    };
    harness.report(
        std::iter::once(query_event(1, 0, 0, 3 * S))
            .chain(parts.iter().map(part))
            .collect(),
    );
    let answers: Vec<Action> = parts
        .iter()
        .flat_map(|p| harness.complete(*p, 0, Outcome::Ok, 10 * MS))
        .collect();
    assert_eq!(
        final_actions(&answers),
        vec![Action::Answer {
            query: QueryId(1),
            complete: true
        }]
    );
}

#[test]
fn the_same_events_give_the_same_actions_and_instances_share_nothing() {
    let run = |other: bool| {
        let mut harness = Harness::new(two_priorities());
        let mut second = Harness::new(two_priorities());
        let mut all = Vec::new();
        for n in 0..40 {
            let (_, parts, actions) = harness.submit_as(n % 2, 0, &[0, 1, 2]);
            all.extend(actions);
            all.extend(harness.answer(parts[0]));
            all.extend(harness.run_for(150 * MS));
            if other {
                second.submit(&[1]);
                second.run_for(70 * MS);
            }
        }
        all
    };
    assert_eq!(run(false), run(true));
}
