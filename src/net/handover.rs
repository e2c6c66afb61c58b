//! Hand-over of the listening sockets to a new version of the program that is started while the old
//! one is running. `net::server` decides when sockets are requested and offered.
//!
//! The old process (the predecessor) waits on a Unix socket in `$TMPDIR` and passes its listening
//! sockets to the new process (the successor) as ancillary data (`SCM_RIGHTS`). The connection
//! stays open for as long as both are running, so that each detects the exit of the other, whatever
//! its cause.

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// The first line that each side sends, which names the protocol version.
const HELLO: &str = "quinceflow hand-over 1";
/// The successor's acknowledgement that it received the sockets.
const ACKNOWLEDGEMENT: &[u8] = b"taken\n";
/// The timeout of each read and write, so that a peer that hangs does not prevent a start.
const IO_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of sockets in a message; a process has one or two fronts.
const MAX_SOCKETS: usize = 4;
/// The maximum length of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;
/// The stack of a thread that waits for the other process, in bytes.
const STACK_BYTES: usize = 64 * 1024;
/// The backlog of a listening socket, in connections.
const BACKLOG: i32 = 4096;

/// The reason why the sockets were not handed over.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The peer's first line is not `HELLO`.
    #[error("the peer uses another version of the hand-over protocol")]
    IncompatibleVersion,
    /// The message has no sockets, or not exactly one for each address.
    #[error("the message does not have one socket for each address")]
    SocketMismatch,
    /// A word of the message is not a socket address.
    #[error("{0:?} is not a socket address")]
    InvalidAddress(String),
    /// The sockets do not fit into a message.
    #[error("too many sockets for one message")]
    TooManySockets,
    /// The peer cannot be reached, hangs or has exited.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A listening socket with its configured address.
#[derive(Debug)]
pub struct ListeningSocket<S> {
    /// The configured address; its port may be 0.
    pub address: SocketAddr,
    /// The socket.
    pub socket: S,
}

/// The listening sockets of a predecessor.
#[derive(Debug)]
pub struct Handover {
    /// The sockets.
    pub sockets: Vec<ListeningSocket<TcpListener>>,
    /// The process that sent the sockets.
    pub predecessor: PeerProcess,
}

/// Returns the path of the Unix socket at which the process that listens at `address` waits for its
/// successor. Returns `None` if `$TMPDIR` is not set, since a directory that all users share would
/// not be safe.
#[must_use]
pub fn socket_path(address: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    Some(PathBuf::from(directory).join(format!(
        "quinceflow-{}-{}.sock",
        address.ip(),
        address.port()
    )))
}

/// The other process of a hand-over.
#[derive(Debug, Clone)]
pub struct PeerProcess {
    /// Whether the connection to the process is open.
    alive: Arc<AtomicBool>,
}

impl PeerProcess {
    /// Returns whether the process has not exited yet.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        self.alive.load(Relaxed)
    }

    /// Starts a thread that waits until the peer's end of the connection closes.
    fn watch(mut connection: UnixStream) -> io::Result<Self> {
        connection.set_read_timeout(None)?;
        let peer = PeerProcess {
            alive: Arc::new(AtomicBool::new(true)),
        };
        let alive = peer.alive.clone();
        std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || {
                wait_for_close(&mut connection);
                alive.store(false, Relaxed);
            })?;
        Ok(peer)
    }
}

fn wait_for_close(connection: &mut UnixStream) {
    let mut ignored = [0; 64];
    loop {
        match connection.read(&mut ignored) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}

/// Requests the listening sockets of the process that waits at this path. Returns `None` if there
/// is no such process, or if the hand-over fails, which is logged.
#[must_use]
pub fn request_handover(path: &Path) -> Option<Handover> {
    match try_request_handover(path) {
        Ok(handover) => Some(handover),
        Err(HandoverError::Io(e))
            if matches!(
                e.kind(),
                io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
            ) =>
        {
            None
        }
        Err(e) => {
            tracing::warn!(
                path = %path.display(),
                error = %e,
                "socket hand-over from predecessor failed"
            );
            None
        }
    }
}

fn try_request_handover(path: &Path) -> Result<Handover, HandoverError> {
    let mut connection = UnixStream::connect(path)?;
    set_timeouts(&connection)?;
    writeln!(connection, "{HELLO}")?;
    let sockets = receive_sockets(&connection)?;
    connection.write_all(ACKNOWLEDGEMENT)?;
    Ok(Handover {
        sockets,
        predecessor: PeerProcess::watch(connection)?,
    })
}

fn set_timeouts(connection: &UnixStream) -> io::Result<()> {
    connection.set_read_timeout(Some(IO_TIMEOUT))?;
    connection.set_write_timeout(Some(IO_TIMEOUT))
}

/// Receives the message sent by [`send_sockets`].
fn receive_sockets(
    connection: &UnixStream,
) -> Result<Vec<ListeningSocket<TcpListener>>, HandoverError> {
    let mut text = [0; MAX_MESSAGE_BYTES];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let buffers = &mut [IoSliceMut::new(&mut text)];
    let message = recvmsg(connection, buffers, &mut control, RecvFlags::CMSG_CLOEXEC)
        .map_err(io::Error::from)?;
    let mut sockets: Vec<OwnedFd> = Vec::new();
    for part in control.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = part {
            sockets.extend(descriptors);
        }
    }
    let addresses = parse_addresses(&text[..message.bytes])?;
    if sockets.is_empty() || addresses.len() != sockets.len() {
        return Err(HandoverError::SocketMismatch);
    }
    let listening_socket = |(address, socket)| ListeningSocket {
        address,
        socket: TcpListener::from(socket),
    };
    Ok(addresses
        .into_iter()
        .zip(sockets)
        .map(listening_socket)
        .collect())
}

/// Parses the addresses after [`HELLO`], which are in the order of the sockets.
fn parse_addresses(message: &[u8]) -> Result<Vec<SocketAddr>, HandoverError> {
    let text = std::str::from_utf8(message)
        .ok()
        .and_then(|text| text.strip_prefix(HELLO));
    let addresses = text.ok_or(HandoverError::IncompatibleVersion)?;
    let address = |word: &str| {
        let invalid = |_| HandoverError::InvalidAddress(word.to_owned());
        word.parse().map_err(invalid)
    };
    addresses.split_whitespace().map(address).collect()
}

/// Starts a thread that waits for successors for as long as this process runs. Calls
/// `on_handed_over` for each successor that has acknowledged the sockets.
///
/// # Errors
/// Fails if the Unix socket cannot be created at this path, or the thread cannot be started.
pub fn offer<S: AsFd + Send + 'static>(
    path: &Path,
    sockets: Vec<ListeningSocket<S>>,
    on_handed_over: impl Fn(PeerProcess) + Send + 'static,
) -> io::Result<()> {
    // The socket is created under a unique name and then renamed, since a stale socket or that of
    // the predecessor may exist at the path.
    let own_path = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&own_path);
    let listener = UnixListener::bind(&own_path)?;
    std::fs::rename(&own_path, path)?;
    std::thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || serve_successors(&listener, &sockets, on_handed_over))?;
    Ok(())
}

fn serve_successors<S: AsFd>(
    listener: &UnixListener,
    sockets: &[ListeningSocket<S>],
    on_handed_over: impl Fn(PeerProcess),
) {
    let mut successor: Option<PeerProcess> = None;
    for connection in listener.incoming().flatten() {
        // One successor at a time, since the limits are shared by two processes, not more.
        if successor.as_ref().is_some_and(PeerProcess::is_alive) {
            continue;
        }
        match hand_over(connection, sockets) {
            Ok(peer) => {
                successor = Some(peer.clone());
                on_handed_over(peer);
            }
            Err(e) => tracing::warn!(error = %e, "socket hand-over to successor failed"),
        }
    }
}

/// Hands the sockets over to a peer and waits for its acknowledgement. Fails if the peer's first
/// line is not [`HELLO`].
fn hand_over<S: AsFd>(
    mut connection: UnixStream,
    sockets: &[ListeningSocket<S>],
) -> Result<PeerProcess, HandoverError> {
    set_timeouts(&connection)?;
    let mut hello = [0; HELLO.len() + 1];
    connection.read_exact(&mut hello)?;
    if hello.strip_suffix(b"\n") != Some(HELLO.as_bytes()) {
        return Err(HandoverError::IncompatibleVersion);
    }
    send_sockets(&connection, sockets)?;
    let mut acknowledgement = [0; ACKNOWLEDGEMENT.len()];
    connection.read_exact(&mut acknowledgement)?;
    Ok(PeerProcess::watch(connection)?)
}

/// Sends [`HELLO`] with the addresses of the sockets as text, and the sockets as ancillary data.
fn send_sockets<S: AsFd>(
    connection: &UnixStream,
    sockets: &[ListeningSocket<S>],
) -> Result<(), HandoverError> {
    let addresses: Vec<String> = sockets.iter().map(|s| s.address.to_string()).collect();
    let text = format!("{HELLO} {}", addresses.join(" "));
    let descriptors: Vec<BorrowedFd<'_>> = sockets.iter().map(|s| s.socket.as_fd()).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
        return Err(HandoverError::TooManySockets);
    }
    let buffers = &[IoSlice::new(text.as_bytes())];
    sendmsg(connection, buffers, &mut control, SendFlags::NOSIGNAL).map_err(io::Error::from)?;
    Ok(())
}

/// Opens a listening socket. `SO_REUSEPORT` allows a process that received no sockets to start
/// while this one is running.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    use rustix::net::{bind, listen, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(&socket, &address)?;
    listen(&socket, BACKLOG)?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests;
