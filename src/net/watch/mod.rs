//! The watch on discovery: followed from the known list on, opened anew when it ends or falls silent.

mod backoff;
mod source;

pub use backoff::Backoff;
pub use source::DiscoverySource;

use crate::coordinator::{log_rarely, Input, COUNTERS};
use crate::proto::discovery::Watch;
use crate::time::{unix_ms, Clock, Micros};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Release};
use std::time::Duration;

/// Discovery says something every 2 s: after so long without a word the watch is dead. What it misses counts as told 6 s
/// after its last word, so the other half of that is left for opening it anew.
const SILENT: Micros = Micros::from_secs(3);
/// A watch that is quiet looks this often whether discovery has moved, and so does who waits to ask again.
const LOOK: Duration = Duration::from_millis(100);
const DIAL: Duration = Duration::from_millis(500);
/// How a watch ended without an error.
enum Ended {
    /// Discovery closed it in good order.
    Closed,
    /// Discovery is elsewhere now.
    Moved,
}

/// Follows discovery for as long as the program runs. `listed` is set once a list came.
pub fn follow(
    place: &DiscoverySource,
    mut rev: u64,
    inbox: &Sender<Input>,
    clock: Clock,
    listed: &AtomicBool,
    mut waits: Backoff,
) {
    loop {
        let before = rev;
        let word = waits.first_word(place.ask_within());
        let address = place.address();
        let ended = one_watch(place, address, &mut rev, inbox, clock, listed, word);
        match &ended {
            Ok(Ended::Moved) => {
                waits.next = 0;
                continue;
            }
            Ok(Ended::Closed) => {
                log_rarely(&COUNTERS.watch_breaks, || format!("discovery: the watch ended at version {rev}"))
            }
            Err(e) => log_rarely(&COUNTERS.watch_breaks, || {
                format!("discovery: the watch broke at version {rev}: {e}")
            }),
        }
        let mut left = waits.after(rev != before, place.ask_within());
        // A reload that moves discovery counts some seconds later, however long the wait.
        while !left.is_zero() && place.address() == address {
            let step = left.min(LOOK);
            may::coroutine::sleep(step);
            left -= step;
        }
    }
}

fn one_watch(
    place: &DiscoverySource,
    address: SocketAddr,
    rev: &mut u64,
    inbox: &Sender<Input>,
    clock: Clock,
    listed: &AtomicBool,
    first_word: Micros,
) -> io::Result<Ended> {
    let mut stream = TcpStream::connect_timeout(&address, DIAL)?;
    stream.set_read_timeout(Some(LOOK))?;
    stream.write_all(Watch::request(&address.to_string(), *rev).as_bytes())?;
    let mut watch = Watch::default();
    let (mut heard, mut patience) = (clock.now(), first_word);
    loop {
        // The old address may go on talking for a while; what it says is not waited for.
        if place.address() != address {
            return Ok(Ended::Moved);
        }
        let n = match stream.read(watch.reader.input.room()) {
            Ok(0) => return Ok(Ended::Closed),
            Ok(n) => n,
            Err(e) if matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) => {
                if clock.now().since(heard) > patience {
                    return Err(e);
                }
                continue;
            }
            Err(e) => return Err(e),
        };
        watch.reader.input.filled(n);
        let now = clock.now();
        (heard, patience) = (now, SILENT);
        let (news, ended) = watch.advance(now, unix_ms()).map_err(|e| {
            COUNTERS.bad_rosters.add();
            // What the line said is not known, so changes after it would not do: the whole list is asked for.
            *rev = 0;
            io::Error::new(io::ErrorKind::InvalidData, format!("{e:?}"))
        })?;
        for one in news {
            // One that goes back brings older words; what came since the newest is asked for.
            *rev = one.revision.max(*rev);
            let _ = inbox.send(Input::EndpointUpdate(one.update));
            listed.store(true, Release);
        }
        if ended {
            return Ok(Ended::Closed);
        }
    }
}
