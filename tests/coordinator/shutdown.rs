//! The final deadline of a shutdown.

use crate::support::{coordinator, dispatched, fleet, submit, IDEMPOTENT, NON_IDEMPOTENT, START};
use quinceflow::coordinator::{Answer, Command, Input, Token};
use quinceflow::time::Micros;

#[test]
fn query_submitted_after_the_shutdown_began_is_answered_by_the_final_deadline() {
    // After SIGTERM the timeout of an accepted query must end before the process is killed.
    let mut now = START;
    let mut coordinator = coordinator();
    let final_deadline = now + Micros::from_millis(400);
    coordinator.set_final_deadline(final_deadline);
    let mut commands = Vec::new();
    coordinator.turn(now, [fleet(), submit(1, IDEMPOTENT, 1, now)], &mut commands);
    while coordinator.pending_queries() > 0 {
        now = now + Micros::from_millis(5);
        coordinator.turn(now, [], &mut commands);
    }
    assert!(now <= final_deadline);
    coordinator.turn(
        final_deadline,
        [submit(2, IDEMPOTENT, 1, final_deadline)],
        &mut commands,
    );
    assert_eq!(
        coordinator.pending_queries(),
        0,
        "the query is too late to be accepted"
    );
}

#[test]
fn query_pending_when_the_shutdown_begins_is_answered_by_the_final_deadline() {
    // Clients whose timeout is after the kill get an answer before it instead of a reset.
    let mut coordinator = coordinator();
    let mut commands = Vec::new();
    coordinator.turn(
        START,
        [fleet(), submit(1, NON_IDEMPOTENT, 1, START)],
        &mut commands,
    );
    let written = commands
        .drain(..)
        .find_map(|command| dispatched(&command))
        .map(Input::FullyWritten);
    let final_deadline = START + Micros::from_millis(30);
    coordinator.turn(START + Micros::from_millis(1), written, &mut commands);
    coordinator.set_final_deadline(final_deadline);
    assert_eq!(
        coordinator.next_turn_due().map(|due| due <= final_deadline),
        Some(true)
    );
    coordinator.turn(final_deadline, [], &mut commands);
    let replies: Vec<&Command> = commands
        .iter()
        .filter(|command| matches!(command, Command::Reply { .. }))
        .collect();
    assert!(
        matches!(
            replies[..],
            [Command::Reply {
                token: Token(1),
                answer: Answer::Failed { .. }
            }]
        ),
        "the attempt may have run: {replies:?}"
    );
    assert_eq!(coordinator.pending_queries(), 0);
}
