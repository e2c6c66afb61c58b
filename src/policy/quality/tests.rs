//! Tests of sampling and of the measurement of answer quality.

use super::{measure_quality, should_sample, QUALITY_WINDOW};
use crate::interface::{ClassId, GroupId, Nanos, Outcome, PartId, QueryId, ReplicaId, ShardId};
use crate::queries::{Attempt, FirstAnswer, Part, Query};

const NOW: Nanos = 2 * QUALITY_WINDOW;
const RECEIVED_AT: Nanos = NOW - QUALITY_WINDOW / 2;
const ANSWERED_AT: Nanos = RECEIVED_AT + 100;
const LATE_AT: Nanos = RECEIVED_AT + 200;

fn part(weight: f64, answered_at: Option<Nanos>, outcome: Option<Outcome>) -> Part {
    let attempt = Attempt {
        replica: ReplicaId([10, 0, 0, 1, 0, 80]),
        sent_at: RECEIVED_AT,
        outcome,
    };
    Part {
        attempts: vec![attempt],
        answered_at,
        ..Part::new(PartId(1), ShardId(0), weight)
    }
}

fn answered_query(parts: Vec<Part>) -> Query {
    let first_answer = FirstAnswer {
        at: ANSWERED_AT,
        complete: false,
    };
    Query {
        first_answer: Some(first_answer),
        respond_by: ANSWERED_AT,
        parts,
        ..Query::new(QueryId(1), ClassId(0), GroupId(1), RECEIVED_AT)
    }
}

#[test]
fn quality_is_the_share_of_the_answered_or_late_weight_that_was_in_time() {
    let query = answered_query(vec![
        part(0.5, Some(ANSWERED_AT), Some(Outcome::Ok)),
        part(0.25, Some(LATE_AT), Some(Outcome::Ok)),
        part(0.125, None, Some(Outcome::Rejected)),
        part(0.125, None, None),
    ]);
    let measurement = measure_quality([&query].into_iter(), |_| false, NOW);
    assert_eq!(
        measurement.quality,
        0.5 / 0.875,
        "the lost part does not count"
    );
    assert_eq!(measurement.samples, 1.0);
    let measurement = measure_quality([&query].into_iter(), |_| true, NOW);
    assert_eq!(
        measurement.quality, 0.5,
        "the part is late if its replica answered others since"
    );
}

#[test]
fn only_settled_queries_of_the_window_are_measured() {
    let old = Query {
        received_at: NOW - QUALITY_WINDOW - 1,
        ..answered_query(vec![part(1.0, Some(LATE_AT), Some(Outcome::Ok))])
    };
    let open = Query {
        first_answer: None,
        respond_by: NOW + 1,
        ..answered_query(vec![part(1.0, None, Some(Outcome::Rejected))])
    };
    let measurement = measure_quality([&old, &open].into_iter(), |_| false, NOW);
    assert_eq!(measurement.samples, 0.0);
    assert_eq!(
        measurement.quality, 1.0,
        "without samples nothing is rejected"
    );
}

#[test]
fn all_queries_are_sampled_up_to_the_target_then_a_share_and_none_beyond_the_maximum() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut count_sampled = |samples| {
        (0..1_000)
            .filter(|_| should_sample(samples, &mut rng))
            .count()
    };
    assert_eq!(count_sampled(19), 1_000);
    assert!((150..250).contains(&count_sampled(20)));
    assert_eq!(count_sampled(200), 0);
}
