//! What can be wrong with the input, and where.

use std::error::Error;
use std::io;
use std::string::FromUtf8Error;
use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Fields of a frame or record reach beyond its end.
    #[error("{context}: {requested} bytes wanted at {offset}, {available} there")]
    Truncated {
        context: &'static str,
        requested: usize,
        offset: usize,
        available: usize,
    },
    /// A number that travels as a float is none.
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
    /// A frame says that it is shorter than its fixed fields.
    #[error("frame header: length {length} is under {minimum}")]
    FrameTooShort { length: u32, minimum: u32 },
    /// Reading a frame failed.
    #[error("frame: {0}")]
    ReadFrame(#[source] io::Error),
    /// The input ends within a frame.
    #[error("frame: {announced} bytes announced, input ends after {received}")]
    FrameTruncated { announced: u32, received: usize },
    /// A batch holds more than its records.
    #[error("batch {batch}: bytes left after {records} records")]
    TrailingBytes { batch: u32, records: u32 },
    /// A record is malformed.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        batch: u32,
        record: u32,
        source: Box<AdapterError>,
    },
    /// A record of a code that there is none of.
    #[error("unknown event code {0}")]
    UnknownRecord(u8),
    /// A list of a kind that there is none of.
    #[error("MEMBERSHIP: unknown kind {0}")]
    UnknownListKind(u8),
    /// A replica in a state that there is none of.
    #[error("POOL: unknown state {0}")]
    UnknownState(u8),
    /// An attempt that ended as none can.
    #[error("VERDICT: unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The settings of an instance are no text.
    #[error("NEW_INSTANCE: boot-info: {}", .0.utf8_error())]
    SettingsEncoding(#[source] FromUtf8Error),
    /// The settings of an instance are malformed.
    #[error("batch {batch}: boot-info: {source}")]
    Settings {
        batch: u32,
        source: Box<dyn Error + Send + Sync>,
    },
    /// An event that is no instance's.
    #[error("batch {batch}: an event comes before any ON record")]
    NoCurrentInstance { batch: u32 },
    /// A list that refers to endpoints that were not sent.
    #[error("batch {batch}: MEMBERSHIP names no POOL {pool}")]
    UnknownPool { batch: u32, pool: u16 },
    /// An event for an instance that was not started.
    #[error("batch {batch}: no instance {instance} was started")]
    UnknownInstance { batch: u32, instance: u16 },
    /// Writing a reply failed.
    #[error("reply {batch}: {source}")]
    WriteReply { batch: u32, source: io::Error },
}
