//! Requests and frames as the tests build and read them.

use quinceflow::coordinator::{AttemptKey, AttemptRequest};
use quinceflow::proto::frames::{AttemptEvent, MultiplexedConnection};
use quinceflow::time::Micros;
use quinceflow::{AttemptNo, PartId, ShardId};
use std::sync::Arc;

/// Returns the key of attempt `n`.
pub fn key(n: usize) -> AttemptKey {
    AttemptKey {
        part: PartId(n as u64),
        attempt: AttemptNo(0),
    }
}

/// Returns the request of attempt `n`.
pub fn request(n: usize) -> AttemptRequest {
    let payload: &[u8] = b"c41e77d0";
    AttemptRequest {
        key: key(n),
        request_id: "9b1f".into(),
        shard: ShardId(n as u32),
        payload: payload.into(),
        context: None,
        timeout: Micros(240_000),
        metrics: Arc::default(),
    }
}

/// Returns the payload of a query frame with one attempt.
pub fn query_payload(n: usize) -> String {
    format!("9b1f.{n} {n} d=240 8\nc41e77d0")
}

/// Returns a frame of this kind and payload.
pub fn frame(kind: char, payload: &str) -> Vec<u8> {
    let length = (payload.len() as u32 + 1).to_be_bytes();
    [&length[..], kind.to_string().as_bytes(), payload.as_bytes()].concat()
}

/// Returns a connection with these attempts in flight, each frame fully written.
pub fn connection_with_written(queries: &[&[AttemptRequest]]) -> MultiplexedConnection {
    let mut connection = MultiplexedConnection::default();
    for requests in queries {
        connection.enqueue(requests);
    }
    write_all(&mut connection);
    connection
}

/// Writes all output and returns the bytes and the events.
pub fn write_all(connection: &mut MultiplexedConnection) -> (Vec<u8>, Vec<AttemptEvent>) {
    let mut wire = Vec::new();
    let mut events = Vec::new();
    while !connection.output().is_empty() {
        wire.extend_from_slice(connection.output());
        connection.record_written(connection.output().len(), &mut events);
    }
    (wire, events)
}

/// Returns the kind and payload of each complete frame in the bytes that a data node has received.
pub fn frames(mut bytes: &[u8]) -> Vec<(char, String)> {
    let mut frames = Vec::new();
    while let Some(length) = bytes.first_chunk::<4>() {
        let Some(body) = bytes.get(4..4 + u32::from_be_bytes(*length) as usize) else {
            break;
        };
        frames.push((
            char::from(body[0]),
            String::from_utf8_lossy(&body[1..]).into_owned(),
        ));
        bytes = &bytes[4 + body.len()..];
    }
    frames
}
