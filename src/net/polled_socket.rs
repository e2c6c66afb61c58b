//! A socket that the coroutine runtime polls.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io;
use std::os::fd::AsRawFd;

/// A non-blocking socket whose events resume the coroutine that waits for it.
#[derive(Debug)]
pub struct PolledSocket<S: AsRawFd> {
    poll: CoIo<S>,
}

impl<S: AsRawFd> PolledSocket<S> {
    /// Makes a socket non-blocking and adds it to the poll set of the runtime.
    ///
    /// # Errors
    /// Fails if the socket cannot be polled or made non-blocking.
    pub fn new(socket: S) -> io::Result<Self> {
        Ok(PolledSocket {
            poll: CoIo::new(socket)?,
        })
    }

    /// Returns the socket.
    pub fn socket(&self) -> &S {
        self.poll.inner()
    }

    /// Waits until the socket has an event or a waker is used. Returns at once if one of these
    /// happened since the last wait.
    pub fn wait(&self) {
        self.poll.wait_io();
    }

    /// Returns a waker that ends the current or the next wait.
    pub fn waker(&self) -> WaitIoWaker {
        self.poll.waker()
    }
}

#[cfg(test)]
mod tests;
