//! The listening sockets of the fronts: received from a predecessor or opened, and offered to a
//! successor. The hand-over protocol is in `net::handover`.

use super::generations::ProcessGenerations;
use super::ServerError;
use crate::net::handover::{self, ListeningSocket};
use crate::net::{sleep, spawn, PolledSocket, SMALL_STACK_WORDS};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// The interval at which a process checks whether its predecessor has exited.
const PREDECESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A listening socket that coroutines can wait on.
pub(super) type Listener = Arc<PolledSocket<TcpListener>>;

/// The listening socket of a front.
pub(super) struct OpenListener {
    /// The socket.
    pub(super) listener: Listener,
    /// Whether it was received from the predecessor.
    pub(super) inherited: bool,
}

/// Returns the listening socket for an address: the one received from the predecessor if there is
/// one, otherwise a new one.
pub(super) fn listener_for(
    address: SocketAddr,
    inherited: &mut Vec<ListeningSocket<TcpListener>>,
) -> Result<OpenListener, ServerError> {
    let listen_error = |source| ServerError::Listen { address, source };
    let received = inherited.iter().position(|s| s.address == address);
    let socket = match received {
        Some(index) => inherited.swap_remove(index).socket,
        None => handover::listen(address).map_err(listen_error)?,
    };
    let listener = PolledSocket::new(socket).map_err(listen_error)?;
    Ok(OpenListener {
        listener: Arc::new(listener),
        inherited: received.is_some(),
    })
}

/// A listening socket that is offered to a successor.
pub(super) struct SharedListener(Listener);

impl SharedListener {
    /// Shares a listening socket, which this process continues to use.
    pub(super) fn new(listener: Listener) -> Self {
        SharedListener(listener)
    }
}

impl AsFd for SharedListener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.socket().as_fd()
    }
}

/// Offers the listening sockets to a successor. If this process has a predecessor, the offer starts
/// once the predecessor has exited, since the predecessor waits at the same path until then.
pub(super) fn offer_to_successor(
    path: PathBuf,
    sockets: Vec<ListeningSocket<SharedListener>>,
    generations: Arc<ProcessGenerations>,
) -> Result<(), ServerError> {
    if !generations.has_predecessor() {
        offer(&path, sockets, generations);
        return Ok(());
    }
    let offer_later = move || {
        while generations.is_predecessor_running() {
            sleep(PREDECESSOR_CHECK_INTERVAL);
        }
        offer(&path, sockets, generations);
    };
    spawn(SMALL_STACK_WORDS, offer_later)
        .map(drop)
        .map_err(ServerError::Coroutine)
}

fn offer(
    path: &Path,
    sockets: Vec<ListeningSocket<SharedListener>>,
    generations: Arc<ProcessGenerations>,
) {
    let socket_count = sockets.len();
    let offered = handover::offer(path, sockets, move |successor| {
        tracing::info!(socket_count, "listening sockets handed over to successor");
        generations.set_successor(successor);
    });
    if let Err(e) = offered {
        tracing::warn!(
            path = %path.display(),
            error = %e,
            "listening sockets cannot be offered to a successor"
        );
    }
}
