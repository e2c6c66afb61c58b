//! Tests of the batching of dispatches.

use super::batch_dispatches;
use crate::coordinator::{AttemptKey, AttemptRequest, Command};
use crate::interface::{AttemptNo, PartId, ReplicaId, ShardId};
use crate::time::Micros;
use std::sync::Arc;

fn replica(number: u8) -> ReplicaId {
    ReplicaId([0, 0, 0, number, 0, 0])
}

fn dispatch(server: u8, part: u64) -> Command {
    let attempt = AttemptRequest {
        key: AttemptKey {
            part: PartId(part),
            attempt: AttemptNo(0),
        },
        request_id: "q".into(),
        shard: ShardId(0),
        payload: Arc::from([]),
        context: None,
        timeout: Micros::ZERO,
        metrics: Arc::default(),
    };
    Command::Dispatch {
        replica: replica(server),
        attempts: vec![attempt],
    }
}

/// Returns each command as text: the server with the parts sent to it, or with `idle` where its
/// idle connections are closed.
fn summary(commands: &[Command]) -> Vec<String> {
    let describe = |command: &Command| match command {
        Command::Dispatch { replica, attempts } => {
            let parts: Vec<u64> = attempts.iter().map(|attempt| attempt.key.part.0).collect();
            format!("{}:{parts:?}", replica.0[3])
        }
        Command::CloseIdle(replica) => format!("{}:idle", replica.0[3]),
        other => panic!("unexpected command: {other:?}"),
    };
    commands.iter().map(describe).collect()
}

fn commands() -> Vec<Command> {
    vec![
        dispatch(1, 1),
        Command::CloseIdle(replica(3)),
        dispatch(2, 2),
        dispatch(1, 3),
        dispatch(1, 4),
        dispatch(2, 5),
    ]
}

#[test]
fn dispatches_to_one_server_share_calls_of_at_most_max_batch_attempts() {
    let mut batched = commands();
    batch_dispatches(&mut batched, 2);
    assert_eq!(
        summary(&batched),
        ["1:[1, 3]", "3:idle", "2:[2, 5]", "1:[4]"]
    );
}

#[test]
fn each_attempt_has_its_own_call_without_batching() {
    let mut batched = commands();
    batch_dispatches(&mut batched, 1);
    assert_eq!(
        summary(&batched),
        ["1:[1]", "3:idle", "2:[2]", "1:[3]", "1:[4]", "2:[5]"]
    );
}
