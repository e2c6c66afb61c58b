//! A socket that the coroutine runtime polls.

use may::io::{CoIo, WaitIo, WaitIoWaker};
use std::io;
use std::os::fd::AsRawFd;
use std::sync::Arc;

/// A non-blocking socket whose events resume the coroutine that waits for it.
///
/// It leaves the poll set before it is closed. Otherwise a socket that another thread opens in
/// between, with the same descriptor, would be removed from the poll set in its place.
#[derive(Debug)]
pub struct PolledSocket<S: AsRawFd> {
    /// The membership in the poll set. Fields are dropped in the order of their declaration, so this
    /// one must precede `socket`.
    poll: CoIo<Arc<S>>,
    /// The socket, which is closed once all shares of it are dropped.
    socket: Arc<S>,
}

impl<S: AsRawFd> PolledSocket<S> {
    /// Makes a socket non-blocking and adds it to the poll set of the runtime.
    ///
    /// # Errors
    /// Fails if the socket cannot be polled or made non-blocking.
    pub fn new(socket: S) -> io::Result<Self> {
        let socket = Arc::new(socket);
        #[expect(
            clippy::disallowed_methods,
            reason = "the share below outlives the membership in the poll set"
        )]
        let poll = CoIo::new(socket.clone())?;
        Ok(PolledSocket { poll, socket })
    }

    /// Returns the socket.
    pub fn socket(&self) -> &S {
        &self.socket
    }

    /// Returns a share of the socket, which delays its close.
    pub fn share(&self) -> Arc<S> {
        self.socket.clone()
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
