//! Tests of when and how a query is resolved, and of the completeness of its answer.

use super::completeness::{completeness, Completeness};
use super::{due_resolution, resolve, Resolution};
use crate::interface::{
    Action, Class, ClassId, Effect, GroupId, Nanos, PartId, QueryId, ReplicaId, Settings, ShardId,
};
use crate::queries::{FirstAnswer, Part, Query, Stage};
use crate::test_fixtures;

const NOW: Nanos = 1_000;
const RESPOND_BY: Nanos = 2_000;
const DEADLINE: Nanos = 3_000;

/// Returns a class that needs 80% of the weight for a complete answer and 50% for a partial one.
fn partial_class() -> Class {
    Class {
        required_share: 0.8,
        min_share: 0.5,
        ..test_fixtures::class("map")
    }
}

/// Returns a query with parts of these weights, of which the first `answered` are answered.
fn query(weights: &[f64], answered: usize) -> Query {
    let mut parts = Vec::new();
    for (index, weight) in weights.iter().enumerate() {
        let mut part = Part::new(PartId(index as u64), ShardId(index as u32), *weight);
        part.answered_at = (index < answered).then_some(NOW);
        parts.push(part);
    }
    Query {
        stage: Stage::FirstStep,
        respond_by: RESPOND_BY,
        deadline: DEADLINE,
        parts,
        ..Query::new(QueryId(1), ClassId(0), GroupId(1), NOW)
    }
}

fn settings(class: Class) -> Settings {
    Settings {
        classes: vec![class],
        ..Settings::default()
    }
}

#[test]
fn an_answer_is_complete_only_from_the_required_share_on() {
    let class = partial_class();
    let weights = [0.4, 0.2, 0.2, 0.2];
    let expected = [
        None,
        None,
        Some(Completeness::Partial),
        Some(Completeness::Complete),
        Some(Completeness::Complete),
    ];
    for (answered, expected) in expected.into_iter().enumerate() {
        let completeness = completeness(&query(&weights, answered), &class);
        assert_eq!(completeness, expected, "{answered} answered");
    }
}

#[test]
fn a_final_answer_after_a_partial_first_one_is_partial() {
    let class = Class {
        follow_up_parts: 1,
        ..partial_class()
    };
    let mut query = query(&[1.0], 1);
    query.stage = Stage::FollowUp;
    query.parts[0].follow_up = true;
    query.first_answer = Some(FirstAnswer {
        at: NOW,
        complete: false,
    });
    assert_eq!(completeness(&query, &class), Some(Completeness::Partial));
}

#[test]
fn a_partial_answer_is_not_given_before_the_query_must_be_answered() {
    let settings = settings(partial_class());
    let query = query(&[0.4, 0.2, 0.2, 0.2], 2);
    assert_eq!(due_resolution(&query, &settings, RESPOND_BY - 1), None);
    assert_eq!(
        due_resolution(&query, &settings, RESPOND_BY),
        Some(Resolution::Answer)
    );
}

#[test]
fn a_query_is_rejected_or_fails_at_its_deadline_or_when_a_late_answer_has_no_weight() {
    let mut settings = settings(test_fixtures::class("lookup"));
    let query = query(&[0.5, 0.5], 1);
    assert_eq!(
        due_resolution(&query, &settings, RESPOND_BY),
        Some(Resolution::RejectOrFail),
        "a late answer has no weight"
    );
    settings.classes[0].late_weight = 0.5;
    assert_eq!(due_resolution(&query, &settings, RESPOND_BY), None);
    assert_eq!(
        due_resolution(&query, &settings, DEADLINE),
        Some(Resolution::RejectOrFail)
    );
}

#[test]
fn a_query_has_one_final_answer() {
    let settings = settings(test_fixtures::class("lookup"));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut query = query(&[1.0], 1);
    let mut resolve = |resolution| resolve(&mut query, resolution, &settings, &mut rng, NOW);
    let answer = Action::Answer {
        query: QueryId(1),
        complete: true,
    };
    assert_eq!(resolve(Resolution::Answer), [answer]);
    assert_eq!(resolve(Resolution::Answer), []);
    assert_eq!(resolve(Resolution::RejectOrFail), []);
}

#[test]
fn a_query_without_an_answer_fails_if_it_may_have_had_an_effect_and_is_rejected_otherwise() {
    let class = Class {
        effect: Effect::NonIdempotent,
        ..test_fixtures::class("send")
    };
    let settings = settings(class);
    let mut rng = fastrand::Rng::with_seed(1);
    let mut unsent = query(&[1.0], 0);
    let rejection = Action::Reject {
        query: QueryId(1),
        retry_after: None,
    };
    let actions = resolve(
        &mut unsent,
        Resolution::RejectOrFail,
        &settings,
        &mut rng,
        NOW,
    );
    assert_eq!(actions, [rejection]);
    let mut sent = query(&[1.0], 0);
    sent.parts[0].add_attempt(ReplicaId([10, 0, 0, 1, 0, 80]), NOW);
    let actions = resolve(
        &mut sent,
        Resolution::RejectOrFail,
        &settings,
        &mut rng,
        NOW,
    );
    assert_eq!(actions, [Action::Fail(QueryId(1))]);
}
