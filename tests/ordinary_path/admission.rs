//! Which queries are admitted, and which are rejected.

use crate::common::*;
use quinceflow::*;

#[test]
fn a_query_is_admitted_whatever_time_other_queries_had_left() {
    // The last retry of a client may have more time left than its first attempt had. It must not
    // make first attempts, or those with a short timeout, look like retries past their objective.
    let mut harness = Harness::new(settings(Class {
        late_weight: 0.0,
        ..class(Effect::Idempotent)
    }));
    for (n, left) in [
        2_500, 3_600, 2_500, 2_500, 2_500, 2_500, 2_500, 900, 2_500, 700,
    ]
    .into_iter()
    .enumerate()
    {
        let id = 100 + 2 * n as u64;
        let part = Event::Part {
            part: PartId(id + 1),
            group: GroupId(id as u32),
            shard: ShardId(0),
            weight: 1.0,
        };
        let actions = harness.report(vec![query_event(id, 0, 0, left * MS), part]);
        assert_eq!(
            (sent_attempts(&actions).len(), is_rejected(&actions)),
            (1, false),
            "query {n} is admitted"
        );
        harness.now += 20 * MS;
        let _ = harness.complete(PartId(id + 1), 0, Outcome::Ok, 20 * MS);
    }
}

#[test]
fn a_class_without_late_weight_is_rejected_at_its_objective_with_retry_after() {
    let mut harness = Harness::new(settings(Class {
        late_weight: 0.0,
        ..class(Effect::Idempotent)
    }));
    let (query, _, mut all) = harness.submit(&[0]);
    all.extend(harness.run_for(S));
    let [Action::Reject {
        query: q,
        retry_after: Some(wait),
    }] = final_actions(&all)[..]
    else {
        panic!("{all:?}")
    };
    assert_eq!(q, query);
    assert!((S / 2..=S).contains(&wait));
}

#[test]
fn low_priority_is_rejected_for_late_answers_and_recovers() {
    let mut harness = Harness::new(two_priorities());
    // High-priority parts are answered late while their replica answers others in time, so the share
    // of admitted low-priority queries must fall.
    let mut rejections = 0;
    for _ in 0..60 {
        let (_, late, _) = harness.submit_as(0, 0, &[0]);
        let (_, quick, actions) = harness.submit_as(1, 0, &[1]);
        rejections += usize::from(is_rejected(&actions));
        if !sent_attempts(&actions).is_empty() {
            harness.answer(quick[0]);
        }
        harness.run_for(1200 * MS);
        harness.complete(late[0], 0, Outcome::Ok, 1300 * MS);
    }
    assert!(rejections > 10, "{rejections} of 60 rejected");
    // All answers are in time again: the share recovers, and the controller does not wind up.
    for _ in 0..60 {
        let (_, parts, _) = harness.submit_as(0, 0, &[0]);
        harness.answer(parts[0]);
        harness.run_for(400 * MS);
    }
    let (_, _, actions) = harness.submit_as(1, 0, &[1]);
    assert!(!is_rejected(&actions));
}

#[test]
fn nothing_is_rejected_without_samples() {
    let mut harness = Harness::new(two_priorities());
    for _ in 0..100 {
        let (_, parts, actions) = harness.submit_as(1, 0, &[0]);
        assert!(!is_rejected(&actions));
        harness.answer(parts[0]);
        harness.run_for(200 * MS);
    }
}

#[test]
fn a_query_with_a_few_ticks_less_time_left_is_admitted() {
    // The network delay varies the time left of a first attempt.
    let mut settings = settings(class(Effect::Idempotent));
    settings.classes[0].deadline = 5 * S;
    let mut harness = Harness::new(settings);
    for (n, short) in [0, 3 * MS, 8 * MS].into_iter().enumerate() {
        let id = 600 + 10 * n as u64;
        let query = query_event(id, 0, 0, 3 * S - short);
        let part = Event::Part {
            part: PartId(id + 1),
            group: GroupId(id as u32),
            shard: ShardId(0),
            weight: 1.0,
        };
        let actions = harness.report(vec![query, part]);
        assert_eq!(sent_attempts(&actions).len(), 1, "{actions:?}");
        harness.answer(PartId(id + 1));
    }
}

#[test]
fn many_attempts_in_flight_at_an_idle_fleet_cause_no_rejection() {
    let mut harness = Harness::new(two_priorities());
    for _ in 0..8 {
        harness.submit_as(0, 0, &[0]);
    }
    let (_, _, actions) = harness.submit_as(1, 0, &[1]);
    assert!(!is_rejected(&actions), "{actions:?}");
}

#[test]
fn a_class_is_not_rejected_for_the_initial_estimate_of_its_work() {
    // With a long objective the initial estimate of a query's work exceeds the short timeout of its
    // client. The class must not be rejected for that, since only answers correct the estimate.
    let mut harness = Harness::new(settings(Class {
        latency_objective: 20 * S,
        deadline: 30 * S,
        ..class(Effect::Idempotent)
    }));
    let part = Event::Part {
        part: PartId(2),
        group: GroupId(1),
        shard: ShardId(0),
        weight: 1.0,
    };
    let actions = harness.report(vec![query_event(1, 0, 0, 1_500 * MS), part]);
    assert_eq!(
        (sent_attempts(&actions).len(), is_rejected(&actions)),
        (1, false)
    );
}
