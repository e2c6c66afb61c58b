//! Tests of the query table, its records, and the attempts in flight at a replica.

use super::{
    Attempt, AttemptKey, AttemptsByAge, Part, PartPosition, Query, QueryNo, QueryTable, Stage,
};
use crate::interface::{
    Action, AttemptNo, ClassId, GroupId, Nanos, Outcome, PartId, QueryId, ReplicaId, ShardId,
};

const REPLICA: ReplicaId = ReplicaId([10, 0, 0, 1, 0, 80]);

fn query(id: u64, group: u32, received_at: Nanos) -> Query {
    Query {
        id: QueryId(id),
        class: ClassId(0),
        group: GroupId(group),
        priority: 1.0,
        admission_draw: 0.5,
        stage: Stage::Received,
        received_at,
        respond_by: received_at + 100,
        deadline: received_at + 200,
        sampled: false,
        first_answer: None,
        parts: Vec::new(),
    }
}

fn part(id: u64, weight: f64) -> Part {
    Part::new(PartId(id), ShardId(0), weight)
}

fn attempt(outcome: Option<Outcome>) -> Attempt {
    Attempt {
        replica: REPLICA,
        sent_at: 0,
        outcome,
    }
}

fn number(table: &QueryTable, id: u64) -> QueryNo {
    let found = table.numbers().find(|number| {
        table
            .get(*number)
            .is_some_and(|query| query.id == QueryId(id))
    });
    found.expect("the query is in the table")
}

#[test]
fn parts_are_added_to_the_latest_open_query_of_their_group() {
    let mut table = QueryTable::default();
    table.insert(query(1, 7, 0));
    table.insert(query(2, 7, 0));
    table.insert(query(3, 8, 0));
    table.add_part(GroupId(7), part(10, 1.0));
    table.abandon(QueryId(2)).expect("the query is open");
    table.add_part(GroupId(7), part(11, 1.0));
    table.add_part(GroupId(9), part(12, 1.0));
    let parts = |id| {
        table
            .get(number(&table, id))
            .map(|query| query.parts.iter().map(|p| p.id.0).collect())
    };
    assert_eq!(
        [1, 2, 3].map(parts),
        [Some(vec![11]), Some(vec![10]), Some(vec![])]
    );
}

#[test]
fn only_parts_of_the_current_step_count_as_answered() {
    let mut table = QueryTable::default();
    table.insert(query(1, 7, 0));
    table.add_part(GroupId(7), part(10, 0.75));
    table.complete_attempt(PartId(10), AttemptNo(0), Outcome::Ok, 5);
    let number = number(&table, 1);
    let first = table.get_open_mut(number).expect("the query is open");
    assert!(first.all_answered());
    assert_eq!(first.answered_weight(), 0.75);
    first.stage = Stage::FollowUp;
    assert!(
        !first.all_answered(),
        "no part of this step was received yet"
    );
    table.add_part(GroupId(7), part(11, 0.5));
    let query = table.get(number).expect("the table has kept the query");
    assert_eq!(
        query.step_parts().map(|part| part.id).collect::<Vec<_>>(),
        [PartId(11)]
    );
    assert_eq!(query.answered_weight(), 0.0);
}

#[test]
fn an_omitted_part_is_not_needed_for_all_requested_parts_to_be_answered() {
    let mut query = query(1, 7, 0);
    query.stage = Stage::FirstStep;
    let mut requested = part(10, 0.5);
    let mut omitted = part(11, 0.5);
    requested.answered_at = Some(5);
    omitted.requested = false;
    query.parts = vec![requested, omitted];
    assert!(query.all_requested_answered() && !query.all_answered());
}

#[test]
fn the_first_answer_to_a_part_counts_and_unknown_attempts_are_ignored() {
    let mut table = QueryTable::default();
    table.insert(query(1, 7, 0));
    table.add_part(GroupId(7), part(10, 1.0));
    let position = PartPosition {
        query: number(&table, 1),
        index: 0,
    };
    table
        .part_mut(position)
        .expect("the table has kept the part")
        .attempts = vec![attempt(None), attempt(None)];
    table.complete_attempt(PartId(10), AttemptNo(1), Outcome::Ok, 50);
    table.complete_attempt(PartId(10), AttemptNo(0), Outcome::Ok, 60);
    table.complete_attempt(PartId(10), AttemptNo(9), Outcome::Error, 70);
    table.complete_attempt(PartId(99), AttemptNo(0), Outcome::Ok, 80);
    let part = table.part(position).expect("the table has kept the part");
    assert_eq!(part.answered_at, Some(50));
    assert_eq!(
        part.attempts,
        [attempt(Some(Outcome::Ok)), attempt(Some(Outcome::Ok))]
    );
}

#[test]
fn only_attempts_in_flight_are_cancelled() {
    let mut part = part(10, 1.0);
    part.attempts = vec![attempt(Some(Outcome::Error)), attempt(None)];
    let cancel = Action::Cancel {
        part: PartId(10),
        attempt: AttemptNo(1),
    };
    assert_eq!(part.cancellations().collect::<Vec<_>>(), [cancel]);
    assert_eq!(part.in_flight().count(), 1);
}

#[test]
fn only_three_outcomes_prove_that_an_attempt_never_ran() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        assert!(!attempt(Some(outcome)).may_have_run(), "{outcome:?}");
    }
    for outcome in [
        Outcome::Ok,
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        assert!(attempt(Some(outcome)).may_have_run(), "{outcome:?}");
    }
    assert!(
        attempt(None).may_have_run(),
        "an attempt in flight may have run"
    );
}

#[test]
fn a_weight_that_is_negative_or_not_finite_counts_as_zero() {
    for weight in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(part(10, weight).weight, 0.0);
    }
}

#[test]
fn parts_are_found_after_they_were_reordered_and_reindexed() {
    let mut table = QueryTable::default();
    table.insert(query(1, 7, 0));
    table.add_part(GroupId(7), part(10, 0.1));
    table.add_part(GroupId(7), part(11, 0.9));
    let number = number(&table, 1);
    table
        .get_mut(number)
        .expect("the table has kept the query")
        .parts
        .reverse();
    table.reindex(number);
    table.complete_attempt(PartId(10), AttemptNo(0), Outcome::Ok, 5);
    let answered = |index| {
        table
            .part(PartPosition {
                query: number,
                index,
            })
            .map(Part::is_answered)
    };
    assert_eq!([answered(0), answered(1)], [Some(false), Some(true)]);
}

#[test]
fn closed_queries_are_removed_except_recent_samples() {
    let mut table = QueryTable::default();
    for (id, sampled, received_at) in [
        (1, false, 100),
        (2, true, 100),
        (3, true, 10),
        (4, false, 10),
    ] {
        table.insert(Query {
            sampled,
            ..query(id, id as u32, received_at)
        });
        table.add_part(GroupId(id as u32), part(10 * id, 1.0));
    }
    for id in [1, 2, 3] {
        table.abandon(QueryId(id)).expect("the query is open");
    }
    table.remove_closed(50);
    let remaining: Vec<u64> = table
        .numbers()
        .filter_map(|n| table.get(n))
        .map(|query| query.id.0)
        .collect();
    assert_eq!(remaining, [2, 4]);
    assert_eq!(
        table.open().map(|query| query.id.0).collect::<Vec<_>>(),
        [4]
    );
    assert_eq!(
        table.samples().map(|query| query.id.0).collect::<Vec<_>>(),
        [2]
    );
    assert_eq!(
        table.parts.len(),
        2,
        "the parts of removed queries are removed"
    );
}

#[test]
fn attempts_at_a_replica_are_ordered_by_age() {
    let key = |part| AttemptKey {
        part: PartId(part),
        attempt: AttemptNo(0),
    };
    let mut attempts = AttemptsByAge::default();
    assert!(attempts.is_empty() && attempts.oldest().is_none());
    attempts.insert(20, key(1));
    attempts.insert(10, key(2));
    attempts.insert(10, key(3));
    assert_eq!((attempts.len(), attempts.oldest()), (3, Some(10)));
    attempts.remove(key(2));
    attempts.remove(key(2));
    assert_eq!((attempts.len(), attempts.oldest()), (2, Some(10)));
    attempts.remove(key(3));
    assert_eq!(attempts.oldest(), Some(20));
}
