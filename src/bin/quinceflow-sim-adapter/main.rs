//! The simulator adapter, which runs instances of the policy for a simulator. It reads batches of
//! events from standard input and writes a reply with the resulting actions to standard output.
//!
//! The adapter makes no decisions. All times are in nanoseconds, as in the protocol and the policy.
#![forbid(unsafe_code)]

mod error;
mod fields;
mod frame;
mod host;
mod ids;
mod record;
mod reply;

use error::AdapterError;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quinceflow-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch of the input, until its end.
fn serve() -> Result<(), AdapterError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = host::Host::default();
    while let Some(batch) = frame::Batch::read(&mut input)? {
        let reply = host.handle_batch(&batch)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|source| AdapterError::WriteReply {
                batch: batch.number,
                source,
            })?;
    }
    Ok(())
}
