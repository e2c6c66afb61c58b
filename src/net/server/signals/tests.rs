//! Tests of the record of signals.

use super::*;

/// Guards against a shutdown that counts from when the signal is noticed: the platform counts the
/// time to the kill from the signal.
#[test]
fn a_shutdown_counts_from_the_first_signal() {
    let signals = Signals::default();
    assert_eq!(signals.shutdown_requested_at(), None);
    signals.handle(SIGHUP, Micros(1));
    assert_eq!(signals.shutdown_requested_at(), None);
    signals.handle(SIGTERM, Micros(5));
    signals.handle(SIGINT, Micros(9));
    assert_eq!(signals.shutdown_requested_at(), Some(Micros(5)));
}
