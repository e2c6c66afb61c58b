//! A coordinator with three servers and three classes, its inputs, and functions that read its
//! commands.

use crate::common::{self, MS};
use quinceflow::coordinator::{
    Answer, AttemptEnd, AttemptKey, Command, Coordinator, EndpointUpdate, Input, PartRequest,
    Request, ServerEndpoint, Token,
};
use quinceflow::time::Micros;
use quinceflow::{
    Class, Effect, EndpointListKind, EndpointState, Outcome, ReplicaId, Settings, ShardId, TenantId,
};
use std::sync::Arc;

/// The maximum number of queries in flight.
pub const MAX_IN_FLIGHT: usize = 12;
/// The time of the first turn.
pub const START: Micros = Micros::from_secs(100);

/// The number of the idempotent class in [`settings`].
pub const IDEMPOTENT: u16 = 0;
/// The number of the class whose parts must not run twice.
pub const NON_IDEMPOTENT: u16 = 1;
/// The number of the idempotent class whose queries are answered from half of their parts at the
/// objective.
pub const PARTIAL: u16 = 2;

/// Returns the settings of the three classes.
pub fn settings() -> Settings {
    let class = |number: u16, effect, min_share| Class {
        name: format!("c{number}"),
        latency_objective: 300 * MS,
        deadline: 900 * MS,
        min_share,
        max_attempts: 3,
        ..common::class(effect)
    };
    let mut settings = common::settings(class(IDEMPOTENT, Effect::Idempotent, 1.0));
    settings
        .classes
        .push(class(NON_IDEMPOTENT, Effect::NonIdempotent, 1.0));
    settings
        .classes
        .push(class(PARTIAL, Effect::Idempotent, 0.5));
    settings
}

/// Returns a coordinator with [`settings`].
pub fn coordinator() -> Coordinator {
    coordinator_with(settings())
}

/// Returns a coordinator with other settings.
pub fn coordinator_with(settings: Settings) -> Coordinator {
    Coordinator::new(settings, MAX_IN_FLIGHT, 7, START, Arc::default())
}

/// Returns a server with this number, which is also its cell and its port.
pub fn server(number: u16, state: EndpointState) -> ServerEndpoint {
    ServerEndpoint {
        name: format!("s{number}").into(),
        address: format!("127.0.0.1:{number}").into(),
        zone: 0,
        cell: number,
        shards: None,
        state,
        started_at: None,
    }
}

/// Returns the number of a server from its id, since ids are assigned in the order of the list.
pub fn server_number(replica: ReplicaId) -> u8 {
    replica.0[3]
}

/// Returns an update of the endpoint list.
pub fn endpoint_list(
    kind: EndpointListKind,
    version: Option<u64>,
    endpoints: impl IntoIterator<Item = ServerEndpoint>,
) -> Input {
    Input::EndpointUpdate(EndpointUpdate {
        kind,
        version,
        endpoints: endpoints.into_iter().collect(),
    })
}

/// Returns the list of all three servers.
pub fn fleet() -> Input {
    let servers = (0..3).map(|number| server(number, EndpointState::Ready));
    endpoint_list(EndpointListKind::Cached, None, servers)
}

/// Returns a request of the class for the first `parts` shards. Its id is `q` followed by the token.
pub fn submit(token: u64, class: u16, parts: u32, sent_at: Micros) -> Input {
    submit_with_id(&format!("q{token}"), token, class, parts, sent_at)
}

/// Returns a request as [`submit`] does, with another id.
pub fn submit_with_id(
    request_id: &str,
    token: u64,
    class: u16,
    parts: u32,
    sent_at: Micros,
) -> Input {
    let part = |shard| PartRequest {
        shard: ShardId(shard),
        weight: 1.0 / f64::from(parts),
        expected_work: None,
        context: None,
    };
    Input::Submit(Request {
        token: Token(token),
        request_id: request_id.into(),
        class: format!("c{class}").into(),
        tenant: TenantId(0),
        timeout: Micros::from_millis(900),
        sent_at,
        parts: (0..parts).map(part).collect(),
        payload: b"x".as_slice().into(),
        counted: true,
    })
}

/// Returns the input that an attempt was served.
pub fn served(key: AttemptKey) -> Input {
    Input::AttemptEnded {
        key,
        end: AttemptEnd::Served(b"v".as_slice().into()),
    }
}

/// Returns the input that an attempt failed with this outcome.
pub fn failed(key: AttemptKey, outcome: Outcome) -> Input {
    Input::AttemptEnded {
        key,
        end: AttemptEnd::Failed(outcome),
    }
}

/// Returns the first attempt that a command dispatches.
pub fn dispatched(command: &Command) -> Option<AttemptKey> {
    match command {
        Command::Dispatch { attempts, .. } => Some(attempts[0].key),
        _ => None,
    }
}

/// Returns the attempt that a command cancels.
pub fn cancelled(command: &Command) -> Option<AttemptKey> {
    match command {
        Command::CancelAttempt { key, .. } => Some(*key),
        _ => None,
    }
}

/// Returns the answer in a reply.
pub fn answer(command: &Command) -> Option<&Answer> {
    match command {
        Command::Reply { answer, .. } => Some(answer),
        _ => None,
    }
}
