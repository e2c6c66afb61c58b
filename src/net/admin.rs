//! The second address, for operators: a thread of its own, so that a worker with too much to do delays no reply. It
//! reads atomics only.

use super::{try_read, Tried};
use crate::coordinator::{log_throttled, Counter, Metrics, COUNTERS};
use crate::proto::admin::{AdminCommand, AdminConnection};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A caller without a whole call is closed after this; the oldest goes sooner where places are short.
const MAX_CALL: Duration = Duration::from_secs(6);
/// The longest sleep, and the pause when no connection can be accepted.
const MAX_SLEEP_MS: (i64, u64) = (250, 10);

/// Descriptors kept for this address, out of so many of the process: its listener and its callers.
pub fn reserved(sockets: usize) -> usize {
    (sockets / 16).clamp(3, 33)
}

/// What is told here.
pub struct Told {
    /// The figures.
    pub figures: Arc<Metrics>,
    /// Can this process serve? If not, why.
    pub health: Box<dyn Fn() -> Result<(), &'static str> + Send>,
    /// Callers at a time.
    pub most: usize,
}

/// Answers calls for as long as the process lives.
pub fn start(address: SocketAddr, told: Told) -> Result<(), String> {
    let fault = |e: std::io::Error| format!("the second address {address}: {e}");
    let listener = TcpListener::bind(address).map_err(fault)?;
    listener.set_nonblocking(true).map_err(fault)?;
    let at = listener.local_addr().map_err(fault)?;
    std::thread::Builder::new()
        .name("second address".to_owned())
        .stack_size(128 * 1024)
        .spawn(move || {
            let mut callers = Vec::new();
            loop {
                round(&listener, &mut callers, &told);
            }
        })
        .map_err(fault)?;
    tracing::info!("operators are answered on {at}");
    Ok(())
}

struct Conn {
    stream: TcpStream,
    caller: AdminConnection,
    since: Instant,
    replied: bool,
}

/// Waits, accepts, and answers whoever has asked.
fn round(listener: &TcpListener, callers: &mut Vec<Conn>, told: &Told) {
    let mut waited: Vec<PollFd<'_>> = vec![PollFd::new(listener, PollFlags::IN)];
    waited.extend(callers.iter().map(|c| PollFd::new(&c.stream, PollFlags::IN)));
    let sleep = Timespec { tv_sec: 0, tv_nsec: MAX_SLEEP_MS.0 * 1_000_000 };
    if poll(&mut waited, Some(&sleep)).is_err() {
        return;
    }
    drop(waited);
    while let Some(stream) = accept(listener) {
        if callers.len() >= told.most {
            // One that has its reply, or else the oldest, has had its time: a caller that asks must not wait behind those
            // that do not.
            callers.remove(callers.iter().position(|c| c.replied).unwrap_or(0));
        }
        callers.push(Conn {
            stream,
            caller: AdminConnection::default(),
            since: Instant::now(),
            replied: false,
        });
        // Most calls come with their connection.
        callers.retain_mut(|c| !answered(c, told));
    }
    callers.retain_mut(|c| !answered(c, told) && c.since.elapsed() < MAX_CALL);
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept() {
        Ok((stream, _)) => stream.set_nonblocking(true).is_ok().then_some(stream),
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::Interrupted) => {
            None
        }
        Err(e) => {
            static REFUSED: Counter = Counter::new();
            log_throttled(&REFUSED, || format!("the second address: accept: {e}"));
            std::thread::sleep(Duration::from_millis(MAX_SLEEP_MS.1));
            None
        }
    }
}

/// Reads on, and replies once the call is here. True: this caller is done.
fn answered(conn: &mut Conn, told: &Told) -> bool {
    let ended = match try_read(&conn.stream, conn.caller.input.free_space()) {
        Tried::Moved(n) => {
            conn.caller.input.commit(n);
            false
        }
        Tried::Wait => false,
        Tried::Ended | Tried::Broke => true,
    };
    if conn.replied {
        // What comes behind the call is dropped until the caller has closed: a close on unread bytes is a reset, which
        // can eat the reply.
        conn.caller = AdminConnection::default();
        return ended;
    }
    let Some(call) = conn.caller.command(ended) else { return ended };
    COUNTERS.admin_calls.increment();
    let reply = match call {
        AdminCommand::Health => match (told.health)() {
            Ok(()) => "YES\n".to_owned(),
            Err(why) => format!("NO {why}\n"),
        },
        AdminCommand::Dump => format!("YES\n{}END\n", told.figures.dump()),
        AdminCommand::Unknown => "NO such call: HEALTH or DUMP\n".to_owned(),
    };
    // A fresh connection takes a few KiB at once; who lets nothing through is not waited for.
    let _ = conn.stream.write_all(reply.as_bytes());
    let _ = conn.stream.shutdown(Shutdown::Write);
    conn.replied = true;
    ended
}
