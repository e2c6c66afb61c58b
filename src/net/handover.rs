//! A new version beside the old one: the old process hands its listening sockets over a Unix socket in `$TMPDIR`, and
//! the line between the two stays open for as long as both live.

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

/// What both say first: a peer that says something else is of another version, and each goes its own way.
const HELLO: &str = "quinceflow hand-over 1";
/// What the new process says once it has the sockets.
const TAKEN: &[u8] = b"taken\n";
/// A peer that hangs is not waited for: a start must not depend on it.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Sockets that one message carries: a process has a front or two.
const MAX_SOCKETS: usize = 4;
/// Most bytes of a message.
const MAX_MESSAGE: usize = 1024;
/// Stack of a thread that waits for the other process.
const STACK: usize = 64 * 1024;

/// A listening socket and the address that its operator gave it.
pub type ListeningSocket<L> = (SocketAddr, L);

/// Where the process that listens at this address waits for the next one; nowhere without `$TMPDIR`, since a folder that
/// all users share is no place for it.
pub fn socket_path(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    Some(PathBuf::from(folder).join(format!("quinceflow-{}-{}.sock", address.ip(), address.port())))
}

/// Has the other process gone? Its end of the line tells, however it went.
#[derive(Debug, Clone)]
pub struct PeerProcess(Arc<AtomicBool>);

impl PeerProcess {
    /// It lives.
    pub fn lives(&self) -> bool {
        self.0.load(Relaxed)
    }
}

/// Asks the process that waits here for its sockets. `None`: nobody is there, or nobody that can be used.
pub fn take_over(place: &Path) -> Option<(Vec<ListeningSocket<TcpListener>>, PeerProcess)> {
    match try_take_over(place) {
        Ok(taken) => Some(taken),
        Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => None,
        Err(e) => {
            tracing::warn!("no hand-over: {e}");
            None
        }
    }
}

fn try_take_over(place: &Path) -> io::Result<(Vec<ListeningSocket<TcpListener>>, PeerProcess)> {
    let mut line = UnixStream::connect(place)?;
    line.set_read_timeout(Some(MAX_WAIT))?;
    line.set_write_timeout(Some(MAX_WAIT))?;
    writeln!(line, "{HELLO}")?;
    let mut text = [0; MAX_MESSAGE];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let message = recvmsg(&line, &mut [IoSliceMut::new(&mut text)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut sockets: Vec<OwnedFd> = Vec::new();
    for part in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = part {
            sockets.extend(rights);
        }
    }
    let fault = |why: &str| io::Error::new(io::ErrorKind::InvalidData, why.to_owned());
    let words = std::str::from_utf8(&text[..message.bytes]).ok().and_then(|t| t.strip_prefix(HELLO));
    let words = words.ok_or_else(|| fault("the other process is of another version"))?;
    let addresses: Vec<SocketAddr> = words.split_whitespace().filter_map(|w| w.parse().ok()).collect();
    if sockets.is_empty() || addresses.len() != sockets.len() {
        return Err(fault("sockets and addresses do not match"));
    }
    line.write_all(TAKEN)?;
    let listening = addresses.into_iter().zip(sockets.into_iter().map(TcpListener::from)).collect();
    Ok((listening, watch(line)?))
}

/// Waits on a thread for the end of the line.
fn watch(mut line: UnixStream) -> io::Result<PeerProcess> {
    line.set_read_timeout(None)?;
    let peer = PeerProcess(Arc::new(AtomicBool::new(true)));
    let lives = peer.0.clone();
    std::thread::Builder::new().stack_size(STACK).spawn(move || {
        let mut rest = [0; 64];
        loop {
            match line.read(&mut rest) {
                Ok(0) => break,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        lives.store(false, Relaxed);
    })?;
    Ok(peer)
}

/// Waits for the next process, for as long as this one lives. `taken` learns of each that has the sockets.
pub fn offer<L: AsFd + Send + 'static>(
    place: PathBuf,
    listening: Vec<ListeningSocket<L>>,
    taken: impl Fn(PeerProcess) + Send + 'static,
) -> io::Result<()> {
    // Made under a name of its own and then put in place: what stands there may be stale, or a predecessor's.
    let own = place.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&own);
    let door = UnixListener::bind(&own)?;
    std::fs::rename(&own, &place)?;
    std::thread::Builder::new().stack_size(STACK).spawn(move || {
        let mut last: Option<PeerProcess> = None;
        for line in door.incoming().flatten() {
            // One at a time: limits are split between two.
            if last.as_ref().is_some_and(PeerProcess::lives) {
                continue;
            }
            match give(line, &listening) {
                Ok(peer) => {
                    last = Some(peer.clone());
                    taken(peer);
                }
                Err(e) => tracing::warn!("no hand-over: {e}"),
            }
        }
    })?;
    Ok(())
}

/// Gives the sockets to whoever says the right words.
fn give<L: AsFd>(mut line: UnixStream, listening: &[ListeningSocket<L>]) -> io::Result<PeerProcess> {
    line.set_read_timeout(Some(MAX_WAIT))?;
    line.set_write_timeout(Some(MAX_WAIT))?;
    let mut said = [0; HELLO.len() + 1];
    line.read_exact(&mut said)?;
    if said.strip_suffix(b"\n") != Some(HELLO.as_bytes()) {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the other process is of another version"));
    }
    let words: Vec<String> = listening.iter().map(|l| l.0.to_string()).collect();
    let text = format!("{HELLO} {}", words.join(" "));
    let sockets: Vec<BorrowedFd<'_>> = listening.iter().map(|l| l.1.as_fd()).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(io::Error::other("too many sockets"));
    }
    sendmsg(&line, &[IoSlice::new(text.as_bytes())], &mut control, SendFlags::NOSIGNAL)?;
    let mut said = [0; TAKEN.len()];
    line.read_exact(&mut said)?;
    watch(line)
}

/// A listening socket of one's own. SO_REUSEPORT: a process that could not get the sockets can still start beside this.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    use rustix::net::{bind, listen, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    bind(&socket, &address)?;
    listen(&socket, 1024)?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests;
