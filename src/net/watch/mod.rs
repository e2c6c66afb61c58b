//! The watch on the discovery service, which continues from the last known revision and is opened
//! again whenever it ends or falls silent. Passes endpoint lists to the coordinator; the protocol
//! is in `proto::discovery`.
//!
//! The counters of ended watches and rejected lists are global, as the documentation of `net`
//! explains.

mod backoff;
mod source;

pub use backoff::Backoff;
pub use source::DiscoverySource;

use super::lifecycle::{Lifecycle, StartupPhase};
use super::sleep;
use crate::coordinator::{log_throttled, Input, COUNTERS};
use crate::proto::discovery::{EndpointListUpdate, WatchError, WatchResponse};
use crate::time::{unix_ms, Clock, Micros};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The time without a message after which a watch counts as dead; discovery sends a message every 2
/// s. It counts a coordinator as notified of a change 6 s after the last message that the
/// coordinator received, so half of that time is left to open the watch again.
const SILENCE_TIMEOUT: Micros = Micros::from_secs(3);
/// The interval at which a watcher that waits, for a message or before the next watch, checks
/// whether the address of discovery has changed.
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of a connect to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The end of a watch without an error.
enum WatchEnd {
    /// Discovery closed the connection in an orderly way.
    Closed,
    /// A reload has changed the address of discovery.
    AddressChanged,
}

/// The end of a watch by an error.
#[derive(Debug, thiserror::Error)]
enum WatchFailure {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Protocol(#[from] WatchError),
}

/// The coroutine that follows discovery and passes its endpoint lists to the coordinator.
pub struct Watcher {
    /// The discovery service to follow.
    pub source: DiscoverySource,
    /// The last known revision; 0 requests the complete list.
    pub revision: u64,
    /// The coordinator's inbox, which receives the endpoint lists.
    pub inbox: Sender<Input>,
    /// The clock of the lists' timestamps.
    pub clock: Clock,
    /// The life cycle of the service, advanced when discovery has sent a list.
    pub lifecycle: Arc<Lifecycle>,
    /// The delays between watches.
    pub backoff: Backoff,
}

impl Watcher {
    /// Opens one watch after another for as long as the process runs.
    pub fn run(mut self) {
        loop {
            let revision_before = self.revision;
            let address = self.source.address();
            let result = self.watch_once(address);
            if matches!(result, Ok(WatchEnd::AddressChanged)) {
                self.backoff.reset_delay();
                continue;
            }
            self.log_end(&result);
            let list_received = self.revision != revision_before;
            let delay = self
                .backoff
                .next_delay(list_received, self.source.max_poll_interval());
            self.sleep_unless_address_changes(delay, address);
        }
    }

    fn log_end(&self, result: &Result<WatchEnd, WatchFailure>) {
        let revision = self.revision;
        log_throttled(&COUNTERS.watch_disconnects, || match result {
            Ok(_) => tracing::info!(revision, "discovery watch closed by the server"),
            Err(e) => tracing::warn!(revision, error = %e, "discovery watch failed"),
        });
    }

    /// Sleeps for `delay`, or until the address of discovery is no longer `address`: a reload that
    /// changes it must take effect within seconds.
    fn sleep_unless_address_changes(&self, delay: Duration, address: SocketAddr) {
        let mut remaining = delay;
        while !remaining.is_zero() && self.source.address() == address {
            let step = remaining.min(ADDRESS_CHECK_INTERVAL);
            sleep(step);
            remaining -= step;
        }
    }

    /// Opens one watch and follows it to its end.
    fn watch_once(&mut self, address: SocketAddr) -> Result<WatchEnd, WatchFailure> {
        let mut timeout = self
            .backoff
            .first_message_timeout(self.source.max_poll_interval());
        let mut stream = self.open(address)?;
        let mut response = WatchResponse::default();
        let mut last_received = self.clock.now();
        loop {
            // The service at the old address may still send messages, which are ignored.
            if self.source.address() != address {
                return Ok(WatchEnd::AddressChanged);
            }
            let bytes_read = match stream.read(response.reader.input.free_space()) {
                Ok(0) => return Ok(WatchEnd::Closed),
                Ok(n) => n,
                Err(e) if is_timeout(&e) && self.clock.now().since(last_received) <= timeout => {
                    continue
                }
                Err(e) => return Err(e.into()),
            };
            response.reader.input.commit(bytes_read);
            last_received = self.clock.now();
            timeout = SILENCE_TIMEOUT;
            if self.process(&mut response, last_received)? {
                return Ok(WatchEnd::Closed);
            }
        }
    }

    fn open(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(ADDRESS_CHECK_INTERVAL))?;
        let request = WatchResponse::request(&address.to_string(), self.revision);
        stream.write_all(request.as_bytes())?;
        Ok(stream)
    }

    /// Passes the lists that were completely received to the coordinator. Returns whether the
    /// response has ended.
    fn process(&mut self, response: &mut WatchResponse, now: Micros) -> Result<bool, WatchError> {
        let progress = response.advance(now, unix_ms()).inspect_err(|_| {
            COUNTERS.bad_endpoint_updates.increment();
            // Later deltas may depend on the content of the invalid message, so the next watch
            // requests the complete list.
            self.revision = 0;
        })?;
        for update in progress.updates {
            self.publish(update);
        }
        Ok(progress.ended)
    }

    fn publish(&mut self, list: EndpointListUpdate) {
        // Discovery may return to an older revision; the next watch continues from the newest one.
        self.revision = list.revision.max(self.revision);
        let _ = self.inbox.send(Input::EndpointUpdate(list.update));
        self.lifecycle
            .advance_startup(StartupPhase::EndpointsReceived);
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}
