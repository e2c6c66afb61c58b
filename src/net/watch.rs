//! The watch on discovery: followed from the known list on, opened anew when it ends or falls silent.

use crate::core::{log_rarely, Input, COUNTERS};
use crate::proto::discovery::Watch;
use crate::time::{unix_ms, Clock, Micros};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Release};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Discovery says something every 2 s: after so long without a word the watch is dead.
const SILENT: Micros = Micros::from_millis(4_500);
/// A watch that is quiet looks this often whether discovery has moved.
const LOOK: Duration = Duration::from_millis(100);
const DIAL: Duration = Duration::from_millis(500);
/// Waits between tries: doubled from the first to the last.
const WAITS_MS: (u64, u64) = (25, 1_000);

/// Where discovery is: a reload may move it while it is followed.
#[derive(Debug, Clone)]
pub struct Place(Arc<Mutex<SocketAddr>>);

impl Place {
    /// Discovery is here.
    pub fn new(address: SocketAddr) -> Self {
        Place(Arc::new(Mutex::new(address)))
    }

    /// Where it is now.
    pub fn address(&self) -> SocketAddr {
        *self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// From now on it is there. The list in use stays; the watch goes on there from its last version.
    pub fn move_to(&self, address: SocketAddr) {
        *self.0.lock().unwrap_or_else(|e| e.into_inner()) = address;
    }
}

/// How a watch ended without an error.
enum Ended {
    /// Discovery closed it in good order.
    Closed,
    /// Discovery is elsewhere now.
    Moved,
}

/// Follows discovery for as long as the program runs. `listed` is set once a list came.
pub fn follow(place: &Place, mut rev: u64, inbox: &Sender<Input>, clock: Clock, listed: &AtomicBool) {
    let mut wait = WAITS_MS.0;
    loop {
        let before = rev;
        let ended = one_watch(place, &mut rev, inbox, clock, listed);
        match &ended {
            Ok(Ended::Moved) => {
                wait = WAITS_MS.0;
                continue;
            }
            Ok(Ended::Closed) => {
                log_rarely(&COUNTERS.watch_breaks, || format!("discovery: the watch ended at version {rev}"))
            }
            Err(e) => log_rarely(&COUNTERS.watch_breaks, || {
                format!("discovery: the watch broke at version {rev}: {e}")
            }),
        }
        wait = if rev == before { (wait * 2).min(WAITS_MS.1) } else { WAITS_MS.0 };
        may::coroutine::sleep(Duration::from_millis(wait));
    }
}

fn one_watch(
    place: &Place,
    rev: &mut u64,
    inbox: &Sender<Input>,
    clock: Clock,
    listed: &AtomicBool,
) -> io::Result<Ended> {
    let address = place.address();
    let mut stream = TcpStream::connect_timeout(&address, DIAL)?;
    stream.set_read_timeout(Some(LOOK))?;
    stream.write_all(Watch::request(&address.to_string(), *rev).as_bytes())?;
    let mut watch = Watch::default();
    let mut heard = clock.now();
    loop {
        // The old address may go on talking for a while; what it says is not waited for.
        if place.address() != address {
            return Ok(Ended::Moved);
        }
        let n = match stream.read(watch.reader.input.room()) {
            Ok(0) => return Ok(Ended::Closed),
            Ok(n) => n,
            Err(e) if matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) => {
                if clock.now().since(heard) > SILENT {
                    return Err(e);
                }
                continue;
            }
            Err(e) => return Err(e),
        };
        watch.reader.input.filled(n);
        let now = clock.now();
        heard = now;
        let (news, ended) = watch.advance(now, unix_ms()).map_err(|e| {
            COUNTERS.bad_rosters.add();
            // What the line said is not known, so changes after it would not do: the whole list is asked for.
            *rev = 0;
            io::Error::new(io::ErrorKind::InvalidData, format!("{e:?}"))
        })?;
        for one in news {
            *rev = one.rev;
            let _ = inbox.send(Input::Roster(one.roster));
            listed.store(true, Release);
        }
        if ended {
            return Ok(Ended::Closed);
        }
    }
}
