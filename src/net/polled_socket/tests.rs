use super::PolledSocket;
use crate::net::{spawn, try_read, IoOutcome, SMALL_STACK_WORDS};
use rustix::io::fcntl_dupfd_cloexec;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, OwnedFd, RawFd};
use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// A descriptor number above those that other tests use.
const UNUSED_DESCRIPTOR: RawFd = 700;
/// The time in which a socket finds that it has no input yet.
const SETTLING_TIME: Duration = Duration::from_millis(50);
/// The time within which input must be noticed.
const INPUT_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the ends of a connection; the first has the lowest free descriptor from `descriptor` on.
fn connection(descriptor: RawFd) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let peer = TcpStream::connect(address).expect("the listener accepts");
    let (accepted, _) = listener.accept().expect("the peer has connected");
    let duplicate = fcntl_dupfd_cloexec(&accepted, descriptor).expect("a descriptor is free");
    (duplicate.into(), peer)
}

/// A socket beside which another one is opened and polled in the moment in which it is closed, as
/// another thread may do.
struct ReusedDescriptor {
    socket: Option<OwnedFd>,
    opened: Sender<(PolledSocket<TcpStream>, TcpStream)>,
}

impl AsRawFd for ReusedDescriptor {
    fn as_raw_fd(&self) -> RawFd {
        self.socket.as_ref().map_or(-1, AsRawFd::as_raw_fd)
    }
}

impl Drop for ReusedDescriptor {
    fn drop(&mut self) {
        let descriptor = self.as_raw_fd();
        drop(self.socket.take());
        let (socket, peer) = connection(descriptor);
        assert_eq!(socket.as_raw_fd(), descriptor);
        let polled = PolledSocket::new(socket).expect("the socket can be polled");
        self.opened
            .send((polled, peer))
            .expect("the test receives it");
    }
}

/// Guards against a socket that is never polled again since it got the number of a closed one.
#[test]
fn a_socket_that_is_opened_while_another_is_closed_stays_polled() {
    let (opened, receiver) = channel();
    let (socket, _peer) = connection(UNUSED_DESCRIPTOR);
    let closed = ReusedDescriptor {
        socket: Some(socket.into()),
        opened,
    };
    drop(PolledSocket::new(closed).expect("the socket can be polled"));
    let (socket, mut peer) = receiver.recv().expect("a socket was opened");

    let (result, read) = channel();
    spawn(SMALL_STACK_WORDS, move || {
        while matches!(
            try_read(socket.socket(), &mut [0; 8]),
            IoOutcome::WouldBlock
        ) {
            socket.wait();
        }
        result.send(()).expect("the test waits");
    })
    .expect("the coroutine starts");
    std::thread::sleep(SETTLING_TIME);
    peer.write_all(b"x").expect("the connection is open");
    read.recv_timeout(INPUT_TIMEOUT)
        .expect("the input is noticed");
}

/// Returns whether an open socket is in a poll set of this process.
fn is_polled(socket: &impl AsFd) -> bool {
    let inode = rustix::fs::fstat(socket)
        .expect("the socket is open")
        .st_ino;
    let field = format!("ino:{inode:x} ");
    let descriptors = std::fs::read_dir("/proc/self/fdinfo").expect("the process has descriptors");
    let texts = descriptors
        .flatten()
        .filter_map(|entry| std::fs::read_to_string(entry.path()).ok());
    texts
        .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
        .any(|line| line.starts_with("tfd:") && line.contains(&field))
}

/// Guards against a socket that is closed before it leaves the poll set: its duplicate, which another
/// process may hold, would keep it there.
#[test]
fn a_client_connection_leaves_the_poll_set_before_it_is_closed() {
    let (socket, _peer) = connection(0);
    let duplicate = socket.try_clone().expect("the socket is duplicated");
    let polled = PolledSocket::new(socket).expect("the socket can be polled");
    assert!(is_polled(&duplicate));
    drop(polled);
    assert!(!is_polled(&duplicate));
}

/// Guards against the same fault in the type of the connections to servers and to discovery.
#[test]
fn a_connection_to_a_server_leaves_the_poll_set_before_it_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let polled = may::net::TcpStream::connect(address).expect("the listener accepts");
    let duplicate = polled
        .inner()
        .try_clone()
        .expect("the socket is duplicated");
    assert!(is_polled(&duplicate));
    drop(polled);
    assert!(!is_polled(&duplicate));
}
