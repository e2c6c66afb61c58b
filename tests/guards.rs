//! The rules that the policy must never break, such as one final answer to each query. Each test
//! fails if the check of its rule is removed from the policy.

mod common;
use common::*;
use quinceflow::*;

#[test]
fn every_query_gets_one_final_answer_before_its_deadline() {
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let (query, parts, mut all) = harness.submit(&[0, 1]);
    all.extend(harness.run_for(3 * S));
    assert_eq!(final_actions(&all).len(), 1);
    assert!(matches!(final_actions(&all)[0], Action::Reject { query: q, .. } if q == query));
    let late = harness.complete(parts[0], 0, Outcome::Ok, 3 * S);
    assert!(
        sent_attempts(&late).is_empty() && final_actions(&late).is_empty(),
        "{late:?}"
    );
}

#[test]
fn nothing_is_sent_once_the_client_has_disconnected() {
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let (query, parts, _) = harness.submit(&[0]);
    harness.report(vec![Event::Abandoned(query)]);
    let after = harness.complete(parts[0], 0, Outcome::ConnectFailed, 50 * MS);
    assert!(sent_attempts(&after).is_empty() && final_actions(&after).is_empty());
}

#[test]
fn a_non_idempotent_part_that_may_have_run_is_neither_retried_nor_rejected() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(class(Effect::NonIdempotent)));
        let (query, parts, _) = harness.submit(&[0]);
        harness.now += 100 * MS;
        let mut after = harness.complete(parts[0], 0, outcome, 100 * MS);
        after.extend(harness.run_for(3 * S));
        assert!(sent_attempts(&after).is_empty(), "{outcome:?}");
        assert_eq!(
            final_actions(&after),
            vec![Action::Fail(query)],
            "{outcome:?}"
        );
    }
}

#[test]
fn a_non_idempotent_part_that_never_ran_is_retried() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut harness = Harness::new(settings(class(Effect::NonIdempotent)));
        let (_, parts, _) = harness.submit(&[0]);
        harness.now += 50 * MS;
        let retries = sent_attempts(&harness.complete(parts[0], 0, outcome, 50 * MS));
        assert_eq!(retries.len(), 1, "{outcome:?}");
    }
}

#[test]
fn a_deduplicated_part_is_retried_only_within_its_window() {
    let mut deduplicated = class(Effect::Deduplicated(200 * MS));
    deduplicated.latency_objective = 2 * S;
    let mut harness = Harness::new(settings(deduplicated));
    let (_, parts, _) = harness.submit(&[0]);
    harness.now += 300 * MS;
    let mut after = harness.complete(parts[0], 0, Outcome::Error, 300 * MS);
    after.extend(harness.run_for(3 * S));
    assert!(sent_attempts(&after).is_empty());
}

#[test]
fn a_draining_or_removed_replica_gets_no_new_parts() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(class(Effect::Idempotent)));
        harness.report(vec![Event::Endpoints {
            kind: EndpointListKind::Delta,
            endpoints: vec![endpoint(0, state, 0)],
        }]);
        for _ in 0..6 {
            let (_, _, actions) = harness.submit(&[0, 2]);
            assert!(sent_attempts(&actions).iter().all(|s| s.1 != replica(0)));
        }
    }
}

#[test]
fn a_replica_absent_from_a_full_list_counts_as_removed() {
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let members = vec![
        endpoint(1, EndpointState::Ready, 0),
        endpoint(2, EndpointState::Ready, 0),
    ];
    harness.report(vec![Event::Endpoints {
        kind: EndpointListKind::Full,
        endpoints: members,
    }]);
    let (_, _, actions) = harness.submit(&[0]);
    assert_eq!(sent_attempts(&actions)[0].1, replica(1));
}

/// Returns a rule with this overload factor, by which a replica warms up within 20 s and starts with
/// a fifth of its capacity.
fn slow_start(overload_factor: f64) -> SlowStartRule {
    SlowStartRule {
        overload_factor,
        overload_window: S,
        initial_capacity: 0.2,
        warm_up: 20 * S,
    }
}

/// Reports that replica 0 started at this time.
fn report_start(harness: &mut Harness, started_at: Nanos) {
    harness.report(vec![Event::Endpoints {
        kind: EndpointListKind::Delta,
        endpoints: vec![endpoint(0, EndpointState::Ready, started_at)],
    }]);
}

/// Returns the number of attempts sent to a replica.
fn attempts_at(actions: &[Action], replica: ReplicaId) -> usize {
    let sent = sent_attempts(actions);
    sent.iter().filter(|attempt| attempt.1 == replica).count()
}

/// Asserts that a replica that started at [`START`] was at no time sent more work within a second
/// than three times its capacity at that time. `sent` has the times of its parts, each of which is
/// 0.1 s of work.
fn assert_within_capacity(sent: &[Nanos]) {
    for (n, at) in sent.iter().enumerate() {
        let age = (at - START) as f64 / (20 * S) as f64;
        let recent = sent[..=n].iter().filter(|time| **time + S > *at);
        let work = recent.count() as f64 * 0.1;
        assert!(
            work <= 3.0 * (0.2 + 0.8 * age),
            "{work} s of work at {age:.2} of the warm-up"
        );
    }
}

#[test]
fn a_warming_replica_gets_no_more_than_the_share_of_one_coordinator() {
    let mut harness = Harness::new(Settings {
        slow_start: Some(slow_start(2.0)),
        ..settings(class(Effect::Idempotent))
    });
    // Parts take 100 ms on the replicas that are not warming up.
    for _ in 0..20 {
        let (_, parts, _) = harness.submit(&[1]);
        harness.answer(parts[0]);
    }
    let started = harness.now;
    report_start(&mut harness, started);
    let mut to_warming = 0;
    for _ in 0..50 {
        let (_, parts, actions) = harness.submit(&[0]);
        to_warming += attempts_at(&actions, replica(0));
        harness.now += 5 * MS;
        harness.complete(parts[0], 0, Outcome::Ok, 100 * MS);
    }
    // The replica may get 2 x 0.2 of one core for 1 s, half of it from this coordinator: at most two
    // parts of 100 ms.
    assert!(
        (1..=2).contains(&to_warming),
        "{to_warming} parts sent to a warming replica"
    );
    harness.now += 40 * S;
    let mut after_warm_up = 0;
    for _ in 0..10 {
        let (_, parts, actions) = harness.submit(&[0]);
        after_warm_up += attempts_at(&actions, replica(0));
        harness.answer(parts[0]);
    }
    assert!(
        after_warm_up > 0,
        "the replica is used again after its warm-up"
    );
}

#[test]
fn many_coordinators_together_do_not_overload_a_warming_replica_and_still_use_it() {
    // An even share of the replica's allowance is less than one part for each coordinator, so some of
    // them send one part and the others none.
    let count = 60;
    let settings = Settings {
        coordinators: count,
        slow_start: Some(slow_start(3.0)),
        ..settings(class(Effect::Idempotent))
    };
    let mut harnesses: Vec<Harness> = (0..count)
        .map(|n| Harness::with_seed(settings.clone(), u64::from(n)))
        .collect();
    let mut sent: Vec<Nanos> = Vec::new();
    for harness in &mut harnesses {
        report_start(harness, START);
    }
    for round in 0..60 {
        for (n, harness) in harnesses.iter_mut().enumerate() {
            harness.now = START + round * 300 * MS + n as Nanos * 5 * MS;
            let (_, parts, actions) = harness.submit(&[0]);
            let count = attempts_at(&actions, replica(0));
            sent.extend(std::iter::repeat_n(harness.now, count));
            harness.complete(parts[0], 0, Outcome::Ok, 100 * MS);
        }
    }
    sent.sort();
    assert_within_capacity(&sent);
    assert!(
        sent.len() > 20,
        "{} parts are sent during the warm-up",
        sent.len()
    );
}

#[test]
fn no_answer_is_given_below_the_minimum_share_or_marked_complete_when_partial() {
    let mut partial = class(Effect::Idempotent);
    partial.min_share = 0.6;
    let mut harness = Harness::new(settings(partial));
    let (_, parts, _) = harness.submit(&[0, 1, 2]);
    harness.answer(parts[0]);
    harness.answer(parts[0]);
    let early = harness.run_for(850 * MS);
    assert!(
        !early.iter().any(|a| matches!(a, Action::Answer { .. })),
        "one third is below the minimum share"
    );
    harness.complete(parts[1], 0, Outcome::Ok, S);
    let answer = final_actions(&harness.run_for(3 * S));
    assert!(
        answer
            .iter()
            .all(|a| !matches!(a, Action::Answer { complete: true, .. })),
        "{answer:?}"
    );
}

#[test]
fn retries_stay_within_the_budget() {
    let mut settings = settings(class(Effect::Idempotent));
    settings.retry_budget = Some(RetryBudget {
        free: 2.0,
        ratio: 0.0,
        window: 10 * S,
    });
    let mut harness = Harness::new(settings);
    let mut retries = 0;
    for shard in [0, 1, 2, 0, 1, 2] {
        let (_, parts, _) = harness.submit(&[shard]);
        harness.now += 10 * MS;
        retries +=
            sent_attempts(&harness.complete(parts[0], 0, Outcome::ConnectFailed, 10 * MS)).len();
    }
    assert_eq!(retries, 2);
}

#[test]
fn attempts_are_capped_and_one_at_a_time_without_hedging() {
    let mut settings = settings(class(Effect::Idempotent));
    settings.classes[0].max_attempts = 2;
    let mut harness = Harness::new(settings);
    let (query, parts, actions) = harness.submit(&[0]);
    assert_eq!(sent_attempts(&actions).len(), 1);
    assert!(
        sent_attempts(&harness.run_for(800 * MS)).is_empty(),
        "the first attempt is still in flight"
    );
    assert_eq!(
        sent_attempts(&harness.complete(parts[0], 0, Outcome::Cancelled, 800 * MS)).len(),
        1
    );
    let last = harness.complete(parts[0], 1, Outcome::ConnectFailed, 10 * MS);
    assert!(sent_attempts(&last).is_empty());
    assert!(
        matches!(final_actions(&last)[..], [Action::Reject { query: q, .. }] if q == query),
        "{last:?}"
    );
}

#[test]
fn events_with_unknown_ids_are_ignored_and_queries_that_cannot_be_served_end() {
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let unknown_part = |shard, weight| Event::Part {
        part: PartId(900),
        group: GroupId(77),
        shard: ShardId(shard),
        weight,
    };
    let events = vec![
        Event::Abandoned(QueryId(500)),
        unknown_part(0, 0.5),
        Event::Outcome {
            part: PartId(501),
            attempt: AttemptNo(9),
            outcome: Outcome::TimedOut,
            elapsed: S,
        },
    ];
    assert!(harness.report(events).is_empty());
    let (query, _, actions) = harness.submit_as(40, 0, &[0]);
    assert_eq!(actions, vec![Action::Fail(query)]);
    let (query, _, mut actions) = harness.submit(&[4_000_000]);
    actions.extend(harness.run_for(3 * S));
    assert!(
        matches!(final_actions(&actions)[..], [Action::Reject { query: q, .. }] if q == query),
        "{actions:?}"
    );
    harness.report(vec![Event::Endpoints {
        kind: EndpointListKind::Full,
        endpoints: Vec::new(),
    }]);
    let (_, _, mut actions) = harness.submit(&[0]);
    actions.extend(harness.run_for(3 * S));
    assert!(sent_attempts(&actions).is_empty());
    assert_eq!(final_actions(&actions).len(), 1);
}
