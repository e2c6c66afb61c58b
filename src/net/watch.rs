//! The watch on discovery: followed from the known list on, opened anew when it ends or falls silent.

use crate::core::{log_rarely, Input, COUNTERS};
use crate::proto::discovery::Watch;
use crate::time::{unix_ms, Clock, Micros};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Release};
use std::sync::Arc;
use std::time::Duration;

/// Discovery says something every 2 s: after so long without a word the watch is dead.
const SILENT: Duration = Duration::from_millis(4_500);
const DIAL: Duration = Duration::from_millis(500);
/// Waits between tries: doubled from the first to the last.
const WAITS_MS: (u64, u64) = (25, 1_000);

/// Follows discovery for as long as the program runs. `listed` is set once a list came.
pub fn follow(
    address: SocketAddr,
    mut rev: u64,
    inbox: &Sender<Input>,
    clock: Clock,
    listed: &Arc<AtomicBool>,
) {
    let mut wait = WAITS_MS.0;
    loop {
        let before = rev;
        let ended = one_watch(address, &mut rev, inbox, clock, listed);
        log_rarely(&COUNTERS.watch_breaks, || match &ended {
            Ok(()) => format!("discovery: the watch ended at version {rev}"),
            Err(e) => format!("discovery: the watch broke at version {rev}: {e}"),
        });
        wait = if rev == before { (wait * 2).min(WAITS_MS.1) } else { WAITS_MS.0 };
        may::coroutine::sleep(Duration::from_millis(wait));
    }
}

fn one_watch(
    address: SocketAddr,
    rev: &mut u64,
    inbox: &Sender<Input>,
    clock: Clock,
    listed: &AtomicBool,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, DIAL)?;
    stream.set_read_timeout(Some(SILENT))?;
    stream.write_all(Watch::request(&address.to_string(), *rev).as_bytes())?;
    let mut watch = Watch::default();
    loop {
        let n = stream.read(watch.reader.input.room())?;
        if n == 0 {
            return Ok(());
        }
        watch.reader.input.filled(n);
        let now: Micros = clock.now();
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
            return Ok(());
        }
    }
}
