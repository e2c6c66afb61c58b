//! The watch on discovery: followed from the known list on, opened anew when it ends or falls silent.

use crate::coordinator::{log_throttled, Input, COUNTERS};
use crate::interface::Nanos;
use crate::proto::discovery::Watch;
use crate::time::{unix_ms, Clock, Micros};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Release};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Discovery says something every 2 s: after so long without a word the watch is dead. What it misses counts as told 6 s
/// after its last word, so the other half of that is left for opening it anew.
const SILENT: Micros = Micros::from_secs(3);
/// A watch that is quiet looks this often whether discovery has moved, and so does who waits to ask again.
const LOOK: Duration = Duration::from_millis(100);
const DIAL: Duration = Duration::from_millis(500);
/// Waits between tries, doubled from the first to the last, where an agent beside the coordinator has the lists: it
/// answers at no cost, and what it has counts as told, at its return from silence too.
const AGENT_MS: (u64, u64) = (25, 250);
/// How long the first word of such an agent is waited for, doubled likewise: it answers at once, or a watch that was asked
/// for while it was silent may never be answered. Growing, for on a machine that is slow for long nothing would be heard.
const AGENT_WORD_MS: (u64, u64) = (500, SILENT.0 / 1_000);
/// The waits where one discovery serves all coordinators, from this share of the time that the settings give a coordinator
/// between two calls up to all of it: discovery has room for few calls at once and lets the others wait in vain, so what
/// all of them ask again has to become less until some of it is served.
const SHARED: u64 = 10;
/// And how long its first word is waited for: it answers late.
const SHARED_WORD_MS: u64 = 4_500;

/// How long to wait before a watch is asked for again: growing, and drawn, so that coordinators that lost it at one
/// moment do not come back at one; and how long for the first word of it.
#[derive(Debug)]
pub struct Waits {
    next: u64,
    word: u64,
    rng: fastrand::Rng,
}

impl Waits {
    /// The first ones.
    pub fn new(seed: u64) -> Self {
        Waits { next: 0, word: AGENT_WORD_MS.0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The wait after a watch that brought a list, or brought none. `ask_within`: the time after which a coordinator that
    /// does not ask counts as told, where lists are asked for.
    fn after(&mut self, listed: bool, ask_within: Option<Nanos>) -> Duration {
        let most = |within| (Micros::from_nanos(within).0 / 1_000).max(1_000);
        let (least, most) = ask_within.map(most).map_or(AGENT_MS, |most| (most / SHARED, most));
        self.next = if listed { least } else { (self.next * 2).clamp(2 * least, most) };
        self.word = if listed { AGENT_WORD_MS.0 } else { (self.word * 2).min(AGENT_WORD_MS.1) };
        Duration::from_millis(self.rng.u64(self.next / 2..=self.next))
    }

    fn first_word(&self, ask_within: Option<Nanos>) -> Micros {
        Micros::from_millis(if ask_within.is_some() { SHARED_WORD_MS } else { self.word })
    }
}

/// Where discovery is, and how often it has to be asked: a reload may change both while it is followed.
#[derive(Debug, Clone)]
pub struct Place(Arc<Mutex<(SocketAddr, Option<Nanos>)>>);

impl Place {
    /// Discovery is here.
    pub fn new(address: SocketAddr, ask_within: Option<Nanos>) -> Self {
        Place(Arc::new(Mutex::new((address, ask_within))))
    }

    fn lock(&self) -> MutexGuard<'_, (SocketAddr, Option<Nanos>)> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Where it is now.
    pub fn address(&self) -> SocketAddr {
        self.lock().0
    }

    /// Where lists are asked for: the time after which a coordinator that does not ask counts as told.
    fn ask_within(&self) -> Option<Nanos> {
        self.lock().1
    }

    /// From now on it is there. The list in use stays; the watch goes on there from its last version.
    pub fn move_to(&self, address: SocketAddr) {
        self.lock().0 = address;
    }

    /// The settings are others.
    pub fn ask_within_is(&self, ask_within: Option<Nanos>) {
        self.lock().1 = ask_within;
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
        let word = waits.first_word(place.ask_within());
        let address = place.address();
        let ended = one_watch(place, address, &mut rev, inbox, clock, listed, word);
        match &ended {
            Ok(Ended::Moved) => {
                waits.next = 0;
                continue;
            }
            Ok(Ended::Closed) => log_throttled(&COUNTERS.watch_disconnects, || {
                format!("discovery: the watch ended at version {rev}")
            }),
            Err(e) => log_throttled(&COUNTERS.watch_disconnects, || {
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
    place: &Place,
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
        let n = match stream.read(watch.reader.input.free_space()) {
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
        watch.reader.input.commit(n);
        let now = clock.now();
        (heard, patience) = (now, SILENT);
        let (news, ended) = watch.advance(now, unix_ms()).map_err(|e| {
            COUNTERS.bad_endpoint_updates.increment();
            // What the line said is not known, so changes after it would not do: the whole list is asked for.
            *rev = 0;
            io::Error::new(io::ErrorKind::InvalidData, format!("{e:?}"))
        })?;
        for one in news {
            // One that goes back brings older words; what came since the newest is asked for.
            *rev = one.rev.max(*rev);
            let _ = inbox.send(Input::EndpointUpdate(one.roster));
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
            let mut waits: Vec<_> = (0..calls as u64).map(Waits::new).collect();
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
                    asks.insert((told + waits[n].after(false, within).as_millis() as u64, n));
                }
            }
            listed
        };
        assert!(served(None) < 60, "the check can fail: {}", served(None));
        assert_eq!(served(Some(WITHIN)), 100);
    }

    #[test]
    fn an_agent_is_asked_again_soon_and_no_two_coordinators_go_in_step() {
        let mut agent = Waits::new(1);
        let longest = (0..20).map(|_| agent.after(false, None)).max();
        assert!(longest <= Some(Duration::from_millis(AGENT_MS.1)));
        assert!(agent.after(true, None) <= Duration::from_millis(AGENT_MS.0), "a list came: begun anew");
        let first: std::collections::BTreeSet<_> =
            (0..100).map(|seed| Waits::new(seed).after(false, Some(WITHIN))).collect();
        assert!(first.len() > 80, "{} different waits of 100", first.len());
        let mut shared = Waits::new(1);
        let long: Vec<_> = (0..20).map(|_| shared.after(false, Some(WITHIN))).collect();
        assert!(long.iter().all(|w| w.as_nanos() <= u128::from(WITHIN)), "{long:?}");
    }

    #[test]
    fn an_agent_that_is_silent_is_asked_again_before_what_it_missed_counts_as_told() {
        let mut agent = Waits::new(1);
        let mut gap = agent.first_word(None);
        assert!(gap < Micros::from_secs(1), "it answers at once, or not at all: {gap:?}");
        for _ in 0..10 {
            let wait = Micros(agent.after(false, None).as_micros() as u64);
            gap = agent.first_word(None) + wait;
            assert!(SILENT + gap < Micros::from_millis(6_500), "{gap:?}");
        }
        assert!(gap > Micros::from_secs(2), "a slow machine is heard all the same");
        agent.after(true, None);
        assert!(agent.first_word(None) < Micros::from_secs(1), "begun anew");
        assert_eq!(agent.first_word(Some(WITHIN)), Micros::from_millis(SHARED_WORD_MS), "discovery is late");
    }
}
