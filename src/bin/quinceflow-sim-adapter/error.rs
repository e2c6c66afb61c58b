//! Errors in the adapter's input and output, with their positions.

use crate::ids::{InstanceId, PoolId};
use std::error::Error;
use std::io;
use std::string::FromUtf8Error;
use thiserror::Error;

/// The reason why the adapter exits with a failure.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A frame or record ends before one of its fields does. `requested` is the length of the field
    /// and `available` the length of the rest, in bytes.
    #[error("{context}: {requested} bytes wanted at {offset}, {available} there")]
    Truncated {
        context: &'static str,
        requested: usize,
        offset: usize,
        available: usize,
    },
    /// A float that encodes an integer is infinite, not a number, or out of range.
    #[error("{context}: {value} at {offset} is no number")]
    NotANumber {
        context: &'static str,
        value: f32,
        offset: usize,
    },
    /// The input ends within a frame header.
    #[error("frame header: input ends after {received} bytes")]
    HeaderTruncated { received: usize },
    /// Reading a frame header failed.
    #[error("frame header: {0}")]
    ReadHeader(#[source] io::Error),
    /// The length of a frame is less than that of its fixed fields.
    #[error("frame header: length {length} is under {minimum}")]
    FrameTooShort { length: u32, minimum: u32 },
    /// Reading a frame failed.
    #[error("frame: {0}")]
    ReadFrame(#[source] io::Error),
    /// The input ends within a frame.
    #[error("frame: {announced} bytes announced, input ends after {received}")]
    FrameTruncated { announced: u32, received: usize },
    /// A batch contains more bytes than its records.
    #[error("batch {batch}: bytes left after {records} records")]
    TrailingBytes { batch: u32, records: u32 },
    /// A record is malformed.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        batch: u32,
        record: u32,
        source: Box<AdapterError>,
    },
    /// The code of a record is unknown.
    #[error("unknown event code {0}")]
    UnknownRecord(u8),
    /// The kind of an endpoint list is unknown.
    #[error("MEMBERSHIP: unknown kind {0}")]
    UnknownListKind(u8),
    /// The state of an endpoint is unknown.
    #[error("POOL: unknown state {0}")]
    UnknownState(u8),
    /// The outcome of an attempt is unknown.
    #[error("VERDICT: unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The settings of an instance are not valid UTF-8.
    #[error("NEW_INSTANCE: boot-info: {}", .0.utf8_error())]
    SettingsEncoding(#[source] FromUtf8Error),
    /// The settings of an instance are malformed.
    #[error("batch {batch}: boot-info: {source}")]
    Settings {
        batch: u32,
        source: Box<dyn Error + Send + Sync>,
    },
    /// A record that is for an instance comes before any record that selects one.
    #[error("batch {batch}: an event comes before any ON record")]
    NoCurrentInstance { batch: u32 },
    /// An endpoint list refers to a pool that was not defined.
    #[error("batch {batch}: MEMBERSHIP names no POOL {pool}")]
    UnknownPool { batch: u32, pool: PoolId },
    /// An event is for an instance that was not created.
    #[error("batch {batch}: no instance {instance} was started")]
    UnknownInstance { batch: u32, instance: InstanceId },
    /// Writing a reply failed.
    #[error("reply {batch}: {source}")]
    WriteReply { batch: u32, source: io::Error },
}
