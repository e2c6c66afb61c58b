//! The policy on the ordinary path: when queries are answered and admitted, quality, the
//! controller, and parts that are omitted.

mod common;
use common::*;
use quinceflow::*;

fn partial(follow_up_parts: u32) -> Class {
    Class {
        min_share: 0.5,
        follow_up_parts,
        ..class(Effect::Idempotent)
    }
}

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
fn a_query_is_admitted_whatever_time_other_queries_had_left() {
    // A client's last retry may have more time left than its first attempt had: it must not make
    // first attempts, or those with a short time-out, look like retries past their objective.
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
            "query {n}"
        );
        harness.now += 20 * MS;
        let _ = harness.complete(PartId(id + 1), 0, Outcome::Ok, 20 * MS);
    }
}

#[test]
fn a_partial_query_is_answered_just_before_its_objective() {
    let mut harness = Harness::new(settings(partial(0)));
    let (query, parts, _) = harness.submit(&[0, 1]);
    let mut all = harness.answer(parts[0]);
    all.extend(harness.run_for(850 * MS));
    assert!(
        final_actions(&all).is_empty(),
        "not before: the second part may still be answered"
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
fn a_query_below_its_floor_at_the_objective_is_answered_once_the_floor_is_reached() {
    let mut harness = Harness::new(settings(partial(0)));
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
    let mut harness = Harness::new(settings(partial(1)));
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
fn low_priority_is_shed_for_late_answers_and_recovers() {
    let mut harness = Harness::new(two_priorities());
    // High-priority parts are answered late while their replica answers others: the share must
    // fall.
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
    // All in time again: it recovers, and does not wind up.
    for _ in 0..60 {
        let (_, parts, _) = harness.submit_as(0, 0, &[0]);
        harness.answer(parts[0]);
        harness.run_for(400 * MS);
    }
    let (_, _, actions) = harness.submit_as(1, 0, &[1]);
    assert!(!is_rejected(&actions));
}

#[test]
fn nothing_is_shed_without_samples() {
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
fn many_attempts_in_flight_at_an_idle_fleet_reject_nobody() {
    let mut harness = Harness::new(two_priorities());
    for _ in 0..8 {
        harness.submit_as(0, 0, &[0]);
    }
    let (_, _, actions) = harness.submit_as(1, 0, &[1]);
    assert!(!is_rejected(&actions), "{actions:?}");
}

#[test]
fn a_failed_poll_for_the_endpoint_list_is_retried_within_the_interval() {
    let mut settings = settings(class(Effect::Idempotent));
    settings.max_poll_interval = Some(10 * S);
    let mut policy = DecisionPolicy::new(settings, 3, START);
    let mut now = START;
    let mut polls = Vec::new();
    for n in 0..4000 {
        let mut actions = Vec::new();
        let failed = Event::Endpoints {
            kind: EndpointListKind::Failed,
            endpoints: Vec::new(),
        };
        let events = if n > 0 && polls.last() == Some(&(now - 5 * MS)) {
            vec![failed]
        } else {
            vec![Event::TimerFired]
        };
        policy.handle(now, &events, &mut actions);
        if actions.contains(&Action::Subscribe) {
            polls.push(now);
        }
        now += 5 * MS;
    }
    assert!(polls.len() >= 8, "polled {} times in 20 s", polls.len());
    assert!(polls.len() <= 60, "polled {} times in 20 s", polls.len());
    assert!(polls.windows(2).all(|w| w[1] - w[0] < 5 * S));
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

#[test]
fn light_parts_are_omitted_when_their_replicas_are_slow() {
    // Light parts cost as much as heavy ones: they are the first to be omitted.
    let ask = |harness: &mut Harness, id: u64| {
        let group = GroupId(id as u32);
        let mut events = vec![query_event(id, 0, 0, 3 * S)];
        for (n, weight) in [0.5, 0.3, 0.1, 0.04, 0.03, 0.03].into_iter().enumerate() {
            let part = PartId(id + 1 + n as u64);
            events.push(Event::Part {
                part,
                group,
                shard: ShardId(n as u32 % 3),
                weight,
            });
        }
        harness.report(events)
    };
    let mut harness = Harness::new(settings(Class {
        min_share: 0.5,
        ..class(Effect::Idempotent)
    }));
    assert_eq!(
        sent_attempts(&ask(&mut harness, 100)).len(),
        6,
        "all are requested while there is capacity"
    );
    harness.run_for(700 * MS);
    let requested = sent_attempts(&ask(&mut harness, 200));
    assert!((2..6).contains(&requested.len()), "{requested:?}");
    assert!(
        requested.iter().any(|s| s.0 == PartId(201)),
        "the heaviest is requested"
    );
}

#[test]
fn all_parts_of_a_wide_query_are_sent_at_once() {
    // No part waits for a probe of its node's load: the last answers tell the load as well.
    let wide: Vec<u32> = (0..64).map(|n| n % 3).collect();
    let (_, _, actions) = Harness::new(two_priorities()).submit_as(1, 0, &wide);
    assert_eq!(sent_attempts(&actions).len(), 64);
}

#[test]
fn a_class_is_not_rejected_for_a_guess_at_its_work() {
    // With a long objective the guess at the work of a query exceeds its client's short time-out.
    // It must not be rejected for that: only answers correct the guess.
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

#[test]
fn an_answer_from_all_parts_is_complete_however_their_weights_were_rounded() {
    // 35 parts of 0.02857 each come to 0.99995: nothing is missing, and nothing better will ever
    // come.
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
fn parts_that_would_be_late_are_omitted_where_they_may_be_missing() {
    // Parts of wide queries at slow nodes would be late, and would take the room of queries that
    // need their parts there.
    let mut settings = settings(Class {
        min_share: 0.6,
        ..class(Effect::Idempotent)
    });
    settings.cells = 10;
    settings.shards = 10;
    settings.cells_per_shard = 1;
    let mut harness = Harness::new(settings);
    let members = (0..10)
        .map(|n| endpoint(n, EndpointState::Ready, 0))
        .collect();
    harness.report(vec![Event::Endpoints {
        kind: EndpointListKind::Full,
        endpoints: members,
    }]);
    let all: Vec<u32> = (0..10).collect();
    for _ in 0..4 {
        let (_, parts, _) = harness.submit(&all);
        harness.now += 40 * MS;
        parts[4..]
            .iter()
            .for_each(|p| drop(harness.complete(*p, 0, Outcome::Ok, 40 * MS)));
        harness.now += 910 * MS;
        parts[..4]
            .iter()
            .for_each(|p| drop(harness.complete(*p, 0, Outcome::Ok, 950 * MS)));
    }
    let requested = sent_attempts(&harness.submit(&all).2);
    assert_eq!(
        requested.len(),
        8,
        "half of what may be missing is omitted: {requested:?}"
    );
    assert!(
        (4..10).all(|n| requested.iter().any(|s| s.1 == replica(n))),
        "of the slow ones only"
    );
    harness.now += 40 * MS;
    requested
        .iter()
        .for_each(|s| drop(harness.complete(s.0, 0, Outcome::Ok, 40 * MS)));
    harness.run_for(60 * S);
    assert_eq!(
        sent_attempts(&harness.submit(&all).2).len(),
        10,
        "slow answers of long ago omit none"
    );
}
