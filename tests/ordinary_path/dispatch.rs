//! Which parts are sent and omitted, and the polls for the endpoint list.

use crate::common::*;
use quinceflow::*;

#[test]
fn light_parts_are_omitted_when_their_replicas_are_slow() {
    // Light parts cost as much work as heavy ones, so they are omitted first.
    let submit = |harness: &mut Harness, id: u64| {
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
        sent_attempts(&submit(&mut harness, 100)).len(),
        6,
        "all parts are sent while there is capacity"
    );
    harness.run_for(700 * MS);
    let sent = sent_attempts(&submit(&mut harness, 200));
    assert!((2..6).contains(&sent.len()), "{sent:?}");
    assert!(
        sent.iter().any(|s| s.0 == PartId(201)),
        "the heaviest part is sent"
    );
}

#[test]
fn all_parts_of_a_wide_query_are_sent_at_once() {
    // No part waits for a probe of the load of its node, since the latest answers show the load too.
    let wide: Vec<u32> = (0..64).map(|n| n % 3).collect();
    let (_, _, actions) = Harness::new(two_priorities()).submit_as(1, 0, &wide);
    assert_eq!(sent_attempts(&actions).len(), 64);
}

/// Returns a harness with ten cells, one shard in each, and a class that needs six tenths of its
/// parts.
fn harness_of_ten_cells() -> Harness {
    let mut harness = Harness::new(Settings {
        cells: 10,
        shards: 10,
        cells_per_shard: 1,
        ..settings(Class {
            min_share: 0.6,
            ..class(Effect::Idempotent)
        })
    });
    let ready = |n| endpoint(n, EndpointState::Ready, 0);
    harness.report(vec![Event::Endpoints {
        kind: EndpointListKind::Full,
        endpoints: (0..10).map(ready).collect(),
    }]);
    harness
}

/// Lets time pass, then answers the first attempts at these parts, which took `elapsed`.
fn answer_all(harness: &mut Harness, parts: &[PartId], wait: Nanos, elapsed: Nanos) {
    harness.now += wait;
    for part in parts {
        harness.complete(*part, 0, Outcome::Ok, elapsed);
    }
}

#[test]
fn parts_that_would_be_late_are_omitted_where_they_may_be_missing() {
    // Parts of wide queries at slow nodes would be late, and would take capacity from queries that
    // need their parts there.
    let mut harness = harness_of_ten_cells();
    let all: Vec<u32> = (0..10).collect();
    for _ in 0..4 {
        let (_, parts, _) = harness.submit(&all);
        let (slow, fast) = parts.split_at(4);
        answer_all(&mut harness, fast, 40 * MS, 40 * MS);
        answer_all(&mut harness, slow, 910 * MS, 950 * MS);
    }

    let sent = sent_attempts(&harness.submit(&all).2);
    assert_eq!(
        sent.len(),
        8,
        "half of the parts that may be missing are omitted: {sent:?}"
    );
    assert!(
        (4..10).all(|n| sent.iter().any(|s| s.1 == replica(n))),
        "only parts at slow replicas are omitted"
    );

    let parts: Vec<PartId> = sent.iter().map(|attempt| attempt.0).collect();
    answer_all(&mut harness, &parts, 40 * MS, 40 * MS);
    harness.run_for(60 * S);
    assert_eq!(
        sent_attempts(&harness.submit(&all).2).len(),
        10,
        "no part is omitted for slow answers of long ago"
    );
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
