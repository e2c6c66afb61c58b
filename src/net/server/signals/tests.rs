//! Tests of the record of signals.

use super::*;

/// Guards against a shutdown whose schedule starts when the signal is polled: the platform counts
/// the time until the kill from when it sends the signal.
#[test]
fn the_shutdown_request_has_the_time_of_the_first_signal() {
    let signals = Signals::default();
    assert_eq!(signals.shutdown_requested_at(), None);
    signals.handle(SIGHUP, Micros(1));
    assert_eq!(signals.shutdown_requested_at(), None);
    signals.handle(SIGTERM, Micros(5));
    signals.handle(SIGINT, Micros(9));
    assert_eq!(signals.shutdown_requested_at(), Some(Micros(5)));
}
