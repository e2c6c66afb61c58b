//! Many client connections that one thread drives.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The pause between two rounds over all connections.
const ROUND_PAUSE: Duration = Duration::from_millis(2);

/// A client connection and the bytes that it sends.
struct Member {
    stream: TcpStream,
    to_send: Vec<u8>,
    sent: usize,
    open: bool,
}

/// Client connections that send given bytes and read everything.
pub struct Crowd {
    members: Vec<Member>,
}

impl Crowd {
    /// Connects `count` clients; `bytes` returns what each of them sends.
    pub fn connect(address: SocketAddr, count: usize, bytes: impl Fn(usize) -> Vec<u8>) -> Crowd {
        let connect = |index| {
            let stream = TcpStream::connect(address).expect("the process accepts connections");
            stream
                .set_nonblocking(true)
                .expect("the blocking mode is set");
            Member {
                stream,
                to_send: bytes(index),
                sent: 0,
                open: true,
            }
        };
        Crowd {
            members: (0..count).map(connect).collect(),
        }
    }

    /// Lets all clients send at most `step` bytes in a round, for this time.
    pub fn run(&mut self, duration: Duration, step: usize) {
        let started = Instant::now();
        while started.elapsed() < duration {
            for member in self.members.iter_mut().filter(|member| member.open) {
                member.advance(step);
            }
            std::thread::sleep(ROUND_PAUSE);
        }
    }

    /// Returns the number of connections that the process has not closed.
    pub fn open_count(&self) -> usize {
        self.members.iter().filter(|member| member.open).count()
    }
}

impl Member {
    fn advance(&mut self, step: usize) {
        let end = (self.sent + step).min(self.to_send.len());
        match self.stream.write(&self.to_send[self.sent..end]) {
            Ok(written) => self.sent += written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.open = false,
        }
        match self.stream.read(&mut [0; 16 * 1024]) {
            Ok(0) => self.open = false,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.open = false,
        }
    }
}
