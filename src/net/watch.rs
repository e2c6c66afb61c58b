//! The watch on discovery: followed from the known list on, opened anew when it ends or falls silent.

use crate::core::{log_rarely, Input, COUNTERS};
use crate::interface::Nanos;
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
/// Waits between tries, doubled from the first to the last, where an agent beside the coordinator has the lists: it
/// answers at no cost, and what it has counts as told.
const AGENT_MS: (u64, u64) = (25, 1_000);
/// The same where one discovery serves all coordinators, from this share of the time that the settings give a coordinator
/// between two calls up to all of it: discovery has room for few calls at once and lets the others wait in vain, so what
/// all of them ask again has to become less until some of it is served.
const SHARED: u64 = 10;

/// How long to wait before a watch is asked for again: growing, and drawn, so that coordinators that lost it at one
/// moment do not come back at one.
#[derive(Debug)]
pub struct Waits {
    bounds: (u64, u64),
    next: u64,
    rng: fastrand::Rng,
}

impl Waits {
    /// `ask_within`: the time after which a coordinator that does not ask counts as told, where lists are asked for.
    pub fn new(ask_within: Option<Nanos>, seed: u64) -> Self {
        let most = |within| (Micros::from_nanos(within).0 / 1_000).max(AGENT_MS.1);
        let bounds = ask_within.map(most).map_or(AGENT_MS, |most| (most / SHARED, most));
        Waits { bounds, next: bounds.0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The wait after a watch that brought a list, or brought none.
    fn after(&mut self, listed: bool) -> Duration {
        self.next = if listed { self.bounds.0 } else { (self.next * 2).min(self.bounds.1) };
        Duration::from_millis(self.rng.u64(self.next / 2..=self.next))
    }
}

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
pub fn follow(
    place: &Place,
    mut rev: u64,
    inbox: &Sender<Input>,
    clock: Clock,
    listed: &AtomicBool,
    mut waits: Waits,
) {
    loop {
        let before = rev;
        let ended = one_watch(place, &mut rev, inbox, clock, listed);
        match &ended {
            Ok(Ended::Moved) => {
                waits.next = waits.bounds.0;
                continue;
            }
            Ok(Ended::Closed) => {
                log_rarely(&COUNTERS.watch_breaks, || format!("discovery: the watch ended at version {rev}"))
            }
            Err(e) => log_rarely(&COUNTERS.watch_breaks, || {
                format!("discovery: the watch broke at version {rev}: {e}")
            }),
        }
        may::coroutine::sleep(waits.after(rev != before));
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

#[cfg(test)]
mod tests {
    use super::*;

    const WITHIN: Nanos = 10_000_000_000;

    #[test]
    fn what_all_ask_of_a_shared_discovery_becomes_less_until_some_is_served() {
        // Discovery serves 12 calls a second in turn, also those whose caller left after 2 s, and turns away whom it has no
        // room for: coordinators that asked again after 25 ms to 1 s kept it busy with calls that nobody waited for.
        let served = |within: Option<Nanos>| {
            let (calls, patience, each, room) = (100, 2_000, 80, 40);
            let mut waits: Vec<_> = (0..calls as u64).map(|n| Waits::new(within, n)).collect();
            let mut asks: std::collections::BTreeSet<_> = (0..calls).map(|n| (0, n)).collect();
            let (mut free, mut listed) = (0, 0);
            while let Some((at, n)) = asks.pop_first().filter(|a| a.0 < 30_000) {
                free = free.max(at);
                let full = free > at + room * each;
                free += if full { 0 } else { each };
                if free <= at + patience {
                    listed += 1;
                } else {
                    let told = at + if full { 0 } else { patience };
                    asks.insert((told + waits[n].after(false).as_millis() as u64, n));
                }
            }
            listed
        };
        assert!(served(None) < 60, "the check can fail: {}", served(None));
        assert_eq!(served(Some(WITHIN)), 100);
    }

    #[test]
    fn an_agent_is_asked_again_soon_and_no_two_coordinators_go_in_step() {
        let mut agent = Waits::new(None, 1);
        let longest = (0..20).map(|_| agent.after(false)).max();
        assert!(longest <= Some(Duration::from_millis(AGENT_MS.1)));
        assert!(agent.after(true) <= Duration::from_millis(AGENT_MS.0), "a list came: begun anew");
        let first: std::collections::BTreeSet<_> =
            (0..100).map(|seed| Waits::new(Some(WITHIN), seed).after(false)).collect();
        assert!(first.len() > 80, "{} different waits of 100", first.len());
        let long: Vec<_> = (0..20).scan(Waits::new(Some(WITHIN), 1), |w, _| Some(w.after(false))).collect();
        assert!(long.iter().all(|w| w.as_nanos() <= u128::from(WITHIN)), "{long:?}");
    }
}
