//! The reply to a batch: the actions of all instances.

use crate::ids::InstanceId;
use quinceflow::Action;

/// The codes that denote the kinds of records in a reply.
mod code {
    pub const SEND: u8 = 65;
    pub const REJECT: u8 = 66;
    pub const FAIL: u8 = 67;
    pub const CANCEL: u8 = 68;
    pub const SET_TIMER: u8 = 69;
    pub const CLOSE_IDLE: u8 = 71;
    pub const SUBSCRIBE: u8 = 75;
    pub const ANSWER: u8 = 77;
    /// The selection of the instance whose actions follow.
    pub const FROM: u8 = 78;
}

/// The size of a frame's length field, in bytes. The length is that of the bytes after the field.
const LENGTH_BYTES: usize = 4;

/// An unfinished reply.
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// Creates an empty reply to the batch with this number.
    pub fn new(batch: u32) -> Self {
        let mut bytes = vec![0; LENGTH_BYTES];
        bytes.extend(batch.to_le_bytes());
        Reply { bytes }
    }

    /// Selects the instance to which the following actions belong.
    pub fn select_instance(&mut self, instance: InstanceId) {
        self.push_record(code::FROM, &[&instance.0.to_le_bytes()]);
    }

    /// Appends an action.
    pub fn push_action(&mut self, action: &Action) {
        match action {
            Action::Send {
                part,
                replica,
                timeout,
                ..
            } => {
                self.push_record(
                    code::SEND,
                    &[&part.0.to_le_bytes(), &replica.0, &timeout.to_le_bytes()],
                );
            }
            Action::Cancel { part, attempt } => {
                self.push_record(
                    code::CANCEL,
                    &[&part.0.to_le_bytes(), &attempt.0.to_le_bytes()],
                );
            }
            Action::Answer { query, complete } => {
                self.push_record(
                    code::ANSWER,
                    &[&query.0.to_le_bytes(), &[u8::from(*complete)]],
                );
            }
            Action::Reject { query, retry_after } => {
                let retry_after = retry_after.unwrap_or(0);
                self.push_record(
                    code::REJECT,
                    &[&query.0.to_le_bytes(), &retry_after.to_le_bytes()],
                );
            }
            Action::Fail(query) => self.push_record(code::FAIL, &[&query.0.to_le_bytes()]),
            Action::SetTimer(at) => {
                self.push_record(code::SET_TIMER, &[&at.to_le_bytes(), &0u64.to_le_bytes()]);
            }
            Action::CloseIdle(replica) => self.push_record(code::CLOSE_IDLE, &[&replica.0]),
            Action::Subscribe => self.push_record(code::SUBSCRIBE, &[&[1]]),
        }
    }

    /// Sets the length of the frame, and returns the encoded frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        self.bytes
    }

    /// Appends a record: its code, its length and its fields.
    fn push_record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|field| field.len()).sum();
        self.bytes.push(code);
        self.bytes.extend((length as u32).to_le_bytes());
        fields
            .iter()
            .for_each(|field| self.bytes.extend_from_slice(field));
    }
}
