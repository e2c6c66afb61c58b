//! Hosts instances of the module and speaks the bench's wire on standard input and output. Decides nothing.
#![forbid(unsafe_code)]

mod codec;
mod host;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("quinceflow-sim-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), codec::Malformed> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = host::Host::default();
    while let Some(batch) = codec::read_batch(&mut input)? {
        let reply = host.answer(&batch)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| codec::Malformed(format!("reply {}: {e}", batch.number)))?;
    }
    Ok(())
}
