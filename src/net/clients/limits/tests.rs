//! Tests of the limits on client connections.

use super::*;

#[test]
fn client_limits_are_shares_of_the_limits_of_the_process_however_small_those_are() {
    // Clients may use more than half of the descriptors, but a quarter must be left for a burst of
    // new clients.
    let limits =
        |descriptors, mebibytes: usize| ClientLimits::new(descriptors, mebibytes * 1024 * 1024);
    for (descriptors, mebibytes) in [(256, 32), (384, 48), (1024, 192)] {
        let client_limits = limits(descriptors, mebibytes);
        assert!(
            client_limits.connections > descriptors / 2
                && client_limits.connections + descriptors / 4 < descriptors
        );
        // Regular clients may use a third of the descriptors. Idle connections must leave room for
        // new regular clients among them.
        assert!(client_limits.idle > 0 && client_limits.idle < descriptors / 3 - descriptors / 8);
        assert!(
            client_limits.bytes >= 5 * 1024 * 1024
                && client_limits.bytes < mebibytes * 1024 * 1024 / 2,
            "{client_limits:?}"
        );
    }
    assert_eq!(
        limits(40, 0),
        ClientLimits {
            connections: 24,
            idle: 6,
            bytes: 1024 * 1024,
            payload_bytes: 1024 * 1024,
        }
    );
    assert_eq!(limits(1, 32).shared(2).connections, 1);
    // Both processes of an upgrade together stay within the limits of one, and idle connections of
    // the predecessor are not evicted.
    let whole = limits(384, 48);
    let half = whole.halved();
    assert!(half.connections * 2 <= whole.connections && half.bytes * 2 <= whole.bytes);
    assert_eq!(half.idle, whole.idle);
}
