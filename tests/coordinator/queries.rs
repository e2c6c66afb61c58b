//! Queries from admission to the final answer.

use crate::common::MS;
use crate::support::{
    answer, coordinator, coordinator_with, dispatched, fleet, served, settings, submit,
    submit_with_id, IDEMPOTENT, PARTIAL, START,
};
use quinceflow::coordinator::{Answer, Command, Input, Token, COUNTERS};
use quinceflow::time::Micros;
use quinceflow::Settings;

#[test]
fn request_id_is_free_again_once_no_query_and_no_attempt_uses_it() {
    let mut coordinator = coordinator();
    let named = |token, id: &str| submit_with_id(id, token, IDEMPOTENT, 1, START);
    let is_duplicate = |commands: &[Command], of: u64| {
        commands.iter().any(|command| {
            matches!(command, Command::Reply { token, answer: Answer::DuplicateRequestId } if token.0 == of)
        })
    };
    let mut commands = Vec::new();
    coordinator.turn(
        START,
        [fleet(), named(1, "a"), named(2, "a"), named(3, "b")],
        &mut commands,
    );
    assert!(
        is_duplicate(&commands, 2) && !is_duplicate(&commands, 1) && !is_duplicate(&commands, 3)
    );
    coordinator.turn(START, [Input::ClientDisconnected(Token(1))], &mut commands);
    coordinator.turn(
        START + Micros::from_millis(1),
        [named(4, "a")],
        &mut commands,
    );
    assert!(
        !is_duplicate(&commands, 4),
        "the client has disconnected, and the attempt was cancelled"
    );
}

#[test]
fn query_expired_on_arrival_and_late_turn_violate_no_invariant() {
    // Neither violates the invariant that the policy lets no query's deadline pass.
    let mut coordinator = coordinator();
    let mut commands = Vec::new();
    coordinator.turn(
        START,
        [fleet(), submit(1, IDEMPOTENT, 1, START)],
        &mut commands,
    );
    let late = START + Micros::from_secs(2);
    coordinator.turn(late, [submit(2, IDEMPOTENT, 1, START)], &mut commands);
    let replies = commands
        .iter()
        .filter(|command| matches!(command, Command::Reply { .. }))
        .count();
    assert_eq!((replies, coordinator.pending_queries()), (2, 0));
    assert_eq!(COUNTERS.broken_invariants.get(), 0);
}

/// Whether a command is a reply with a partial answer.
fn is_partial_answer(command: &Command) -> bool {
    matches!(
        answer(command),
        Some(Answer::Served {
            complete: false,
            ..
        })
    )
}

#[test]
fn partial_answer_is_given_10_ms_before_the_objective() {
    // The policy reserves three ticks for the turn, the rendering and the network. With a tick of
    // 1 ms that is too little time for a partial answer to arrive before the objective.
    let mut now = START;
    let mut coordinator = coordinator_with(Settings {
        tick: MS,
        ..settings()
    });
    let mut commands = Vec::new();
    coordinator.turn(now, [fleet(), submit(1, PARTIAL, 2, now)], &mut commands);
    let first = commands
        .iter()
        .find_map(dispatched)
        .expect("both are dispatched");
    coordinator.turn(
        now,
        [Input::FullyWritten(first), served(first)],
        &mut commands,
    );
    for ms in 1..=291 {
        now = START + Micros::from_millis(ms);
        coordinator.turn(now, [], &mut commands);
        assert!(
            ms > 200 || !commands.iter().any(is_partial_answer),
            "the other part is still awaited after {ms} ms"
        );
    }
    assert!(
        commands.iter().any(is_partial_answer),
        "10 ms are left for the response"
    );
}
