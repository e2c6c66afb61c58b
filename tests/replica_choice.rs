//! The policy's choice among replicas: rotation, outliers, failures and their recovery.

mod common;
use common::*;
use quinceflow::*;

/// Prepares a harness for each of 20 seeds, lets it idle for `idle_time`, and returns the number of
/// seeds with which a low-priority query is then sent.
fn count_admitted_after_idle_time(idle_time: Nanos, prepare: impl Fn(&mut Harness)) -> usize {
    let mut sent = 0;
    for seed in 0..20 {
        let mut harness = Harness::with_seed(two_priorities(), seed);
        prepare(&mut harness);
        harness.run_for(idle_time);
        sent += usize::from(!sent_attempts(&harness.submit_as(1, 0, &[0]).2).is_empty());
    }
    sent
}

#[test]
fn replicas_rotate_and_one_with_an_overdue_attempt_is_skipped() {
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let mut seen = Vec::new();
    for _ in 0..4 {
        let (_, parts, actions) = harness.submit(&[0]);
        seen.push(sent_attempts(&actions)[0].1);
        harness.answer(parts[0]);
    }
    // The replica that comes first is chosen at random.
    let first = seen[0];
    let next = seen[1];
    assert_ne!(first, next);
    assert_eq!(seen, [first, next, first, next]);
    let (_, _, stuck) = harness.submit(&[0]);
    assert_eq!(sent_attempts(&stuck)[0].1, first);
    harness.run_for(1100 * MS);
    for _ in 0..4 {
        let (_, parts, actions) = harness.submit(&[0]);
        assert_eq!(sent_attempts(&actions)[0].1, next);
        harness.answer(parts[0]);
    }
}

#[test]
fn if_all_replicas_are_overdue_the_next_in_rotation_is_used_or_the_query_rejected() {
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    harness.submit(&[0]);
    harness.submit(&[0]);
    harness.run_for(1200 * MS);
    let (_, _, actions) = harness.submit_as(0, 0, &[0]);
    assert_eq!(
        sent_attempts(&actions).len() + final_actions(&actions).len(),
        1,
        "the part is sent, or the query rejected as too late: {actions:?}"
    );
}

#[test]
fn slow_answers_of_long_ago_cause_no_rejection() {
    // All answers so far were slow. If the policy rejected every query because of them, no new answer
    // could correct its estimate.
    let slow = |harness: &mut Harness| {
        for _ in 0..40 {
            let (_, parts, _) = harness.submit(&[0, 1, 2]);
            harness.now += 950 * MS;
            parts
                .iter()
                .for_each(|p| drop(harness.complete(*p, 0, Outcome::Ok, 950 * MS)));
        }
    };
    assert_eq!(count_admitted_after_idle_time(60 * S, slow), 20);
}

#[test]
fn a_failure_of_long_ago_does_not_reject_non_idempotent_queries() {
    // In a large fleet a coordinator has too few idempotent parts to probe each failed replica with
    // them, so it must send non-idempotent parts there again after a while.
    let mut sent = 0;
    for seed in 0..20 {
        let mut settings = two_priorities();
        settings.classes[1].effect = Effect::NonIdempotent;
        let mut harness = Harness::with_seed(settings, seed);
        for _ in 0..6 {
            let (_, parts, _) = harness.submit(&[0]);
            harness.now += S;
            harness.complete(parts[0], 0, Outcome::TimedOut, S);
            harness.run_for(2 * S);
        }
        harness.run_for(60 * S);
        sent += usize::from(!sent_attempts(&harness.submit_as(1, 0, &[0]).2).is_empty());
    }
    assert!(sent >= 8, "{sent} of 20 queries are sent");
}

#[test]
fn idle_connections_that_servers_drop_are_closed_before_use_and_not_counted_as_failures() {
    // The servers drop connections that are idle for a second. The policy must then close idle
    // connections before it uses them, and must not count a server as failed.
    let closes_idle = |a: &[Action]| a.iter().any(|a| matches!(a, Action::CloseIdle(_)));
    let mut closed = [0, 0];
    for (idle, closed) in [true, false].into_iter().zip(&mut closed) {
        let mut harness = Harness::new(settings(class(Effect::Idempotent)));
        for n in 0..200 {
            let (_, parts, actions) = harness.submit(&[0]);
            *closed += u32::from(closes_idle(&actions));
            // In the first run all attempts on idle connections time out, and none on new ones. The
            // second run is an overload: half of the attempts time out on either kind.
            if if idle {
                !closes_idle(&actions)
            } else {
                n % 2 == 0
            } {
                harness.now += S;
                harness.complete(parts[0], 0, Outcome::TimedOut, S);
            } else {
                harness.answer(parts[0]);
            }
            harness.now += S;
        }
    }
    assert!(closed[0] > 100 && closed[1] < 50, "{closed:?}");
}

#[test]
fn a_replica_that_rejects_is_skipped_for_a_while() {
    // A full replica rejects within milliseconds. It must not count as fast for that and get more
    // parts.
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    for _ in 0..20 {
        let (_, parts, actions) = harness.submit(&[0]);
        let is_full = sent_attempts(&actions)[0].1 == replica(0);
        let again = harness.complete(
            parts[0],
            0,
            if is_full {
                Outcome::Rejected
            } else {
                Outcome::Ok
            },
            2 * MS,
        );
        if is_full {
            assert_eq!(sent_attempts(&again)[0].1, replica(1));
            harness.complete(parts[0], 1, Outcome::Ok, 100 * MS);
            harness.now += 100 * MS;
            let (_, _, next) = harness.submit(&[0]);
            assert_eq!(
                sent_attempts(&next)[0].1,
                replica(1),
                "replica 0 is skipped while its rejection is recent"
            );
            return;
        }
    }
    panic!("no part was sent to replica 0");
}

#[test]
fn a_replica_counts_as_slow_over_long_intervals_between_its_uses() {
    // A slow replica still counts as slow if ten seconds pass between two attempts at it.
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let mut slow_attempts = 0;
    for n in 0..180 {
        let (_, parts, actions) = harness.submit(&[n % 3]);
        let took = if sent_attempts(&actions)[0].1 == replica(0) {
            700 * MS
        } else {
            100 * MS
        };
        slow_attempts += u32::from(n >= 90 && took > 100 * MS);
        harness.now += took;
        harness.complete(parts[0], 0, Outcome::Ok, took);
        harness.now += 2 * S;
    }
    // The slow replica has two of the three shards: rotation alone would send it 30 of 90 parts.
    assert!(
        slow_attempts < 20,
        "{slow_attempts} of 90 parts sent to the slow replica"
    );
}

#[test]
fn a_part_rejected_by_all_replicas_waits_before_its_retry() {
    // A part that both replicas have rejected is not retried at once, since their queues are still
    // full.
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    let (_, parts, _) = harness.submit(&[0]);
    let again = harness.complete(parts[0], 0, Outcome::Rejected, MS);
    assert_eq!(
        sent_attempts(&again).len(),
        1,
        "the other replica is tried: {again:?}"
    );
    let third = harness.complete(parts[0], 1, Outcome::Rejected, MS);
    assert!(sent_attempts(&third).is_empty(), "{third:?}");
    assert_eq!(
        sent_attempts(&harness.run_for(1100 * MS)).len(),
        1,
        "the part is retried after the latency objective"
    );
}

#[test]
fn resets_between_answers_eject_no_replica() {
    // Connection resets throughout a healthy fleet must not eject its replicas.
    let mut settings = settings(class(Effect::Idempotent));
    settings.slow_start = Some(SlowStartRule {
        overload_factor: 2.0,
        overload_window: S,
        initial_capacity: 0.1,
        warm_up: 20 * S,
    });
    let mut harness = Harness::new(settings);
    for n in 0..30 {
        let (_, parts, actions) = harness.submit(&[0]);
        assert_eq!(sent_attempts(&actions).len(), 1, "query {n}: {actions:?}");
        if n % 3 == 2 {
            harness.answer(parts[0]);
        } else {
            harness.now += 2 * MS;
            let again = harness.complete(parts[0], 0, Outcome::Reset, 2 * MS);
            assert_eq!(sent_attempts(&again).len(), 1, "query {n}: {again:?}");
            harness.now += 100 * MS;
            harness.complete(parts[0], 1, Outcome::Ok, 100 * MS);
        }
    }
}

#[test]
fn a_replica_that_fails_fast_gets_no_non_idempotent_parts() {
    // A replica that fails fast has few attempts in flight and seems idle. Its errors count although
    // it has also answered recently.
    let mut settings = settings(class(Effect::Idempotent));
    settings.classes.push(class(Effect::NonIdempotent));
    let mut harness = Harness::new(settings);
    let mut count_errors = |class: u16, rounds: usize, failing: bool| {
        let mut errors = 0;
        let mut attempts_at_failing = 0;
        for _ in 0..rounds {
            let (_, parts, actions) = harness.submit_as(class, 0, &[0]);
            let mut sent = sent_attempts(&actions);
            let mut attempt = 0;
            while let Some((_, to)) = sent.pop() {
                harness.now += 10 * MS;
                // Every other answer of replica 0 is an error.
                attempts_at_failing += usize::from(to == replica(0));
                let fails = failing && to == replica(0) && attempts_at_failing % 2 == 1;
                errors += usize::from(fails);
                let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                sent = sent_attempts(&harness.complete(parts[0], attempt, outcome, 10 * MS));
                attempt += 1;
            }
        }
        errors
    };
    count_errors(0, 20, false);
    assert!(count_errors(0, 40, true) > 0, "idempotent parts get errors");
    assert_eq!(count_errors(1, 40, true), 0);
}

#[test]
fn replaced_replicas_are_removed_from_the_tables() {
    // The tables of the policy have the present replicas only, however many have been replaced.
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    for n in 3..200 {
        let removed = endpoint(n, EndpointState::Removed, 0);
        let ready = endpoint(n + 1, EndpointState::Ready, 0);
        harness.report(vec![Event::Endpoints {
            kind: EndpointListKind::Delta,
            endpoints: vec![removed, ready],
        }]);
        harness.run_for(S);
    }
    let state = format!("{:?}", harness.policy);
    for record in ["Replica {", "Member {"] {
        let kept = state.matches(record).count();
        assert!((1..=40).contains(&kept), "{kept} records {record} .. }}");
    }
    assert_eq!(sent_attempts(&harness.submit(&[0, 1]).2).len(), 2);
}

#[test]
fn a_few_slow_replicas_do_not_delay_retries_elsewhere() {
    // Slow answers of a few replicas do not lengthen the wait before the other replica is tried.
    let mut harness = Harness::new(settings(class(Effect::Idempotent)));
    for (answers, took) in [(200, 20), (8, 800)] {
        for _ in 0..answers {
            let (_, parts, _) = harness.submit(&[0]);
            harness.now += took * MS;
            harness.complete(parts[0], 0, Outcome::Ok, took * MS);
        }
    }
    let (_, parts, actions) = harness.submit(&[0]);
    assert_eq!(sent_attempts(&actions).len(), 1);
    let cancel = Action::Cancel {
        part: parts[0],
        attempt: AttemptNo(0),
    };
    assert!(harness.run_for(400 * MS).contains(&cancel));
}
