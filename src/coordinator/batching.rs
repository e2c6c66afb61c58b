//! Batching of dispatches: one call to a server carries several attempts where the settings allow
//! it.

use super::messages::Command;

/// Joins the dispatches to one server into calls of at most `max_batch` attempts, each at the
/// position of its first attempt. Commands of other kinds keep their positions.
pub(super) fn batch_dispatches(commands: &mut Vec<Command>, max_batch: usize) {
    if max_batch < 2 {
        return;
    }
    let mut batched: Vec<Command> = Vec::with_capacity(commands.len());
    for command in commands.drain(..) {
        if !append_to_batch(&command, &mut batched, max_batch) {
            batched.push(command);
        }
    }
    *commands = batched;
}

/// Appends the attempts of a dispatch to the first call to the same server with free capacity;
/// returns whether there was one.
fn append_to_batch(command: &Command, batched: &mut [Command], max_batch: usize) -> bool {
    let Command::Dispatch { replica, attempts } = command else {
        return false;
    };
    for earlier in batched {
        let Command::Dispatch {
            replica: called,
            attempts: batch,
        } = earlier
        else {
            continue;
        };
        if called == replica && batch.len() < max_batch {
            batch.extend(attempts.iter().cloned());
            return true;
        }
    }
    false
}

#[cfg(test)]
mod tests;
