//! Tests of the choice of connections to evict.

use super::*;

const NOW: Micros = Micros::from_secs(100);

/// Returns an idle connection that was accepted, and last active, `seconds` seconds ago.
fn idle_for(seconds: u64) -> ConnectionActivity {
    let accepted_at = NOW - Micros::from_secs(seconds);
    ConnectionActivity {
        accepted_at,
        last_activity_at: accepted_at,
        idle: true,
        ..Default::default()
    }
}

fn with_query(seconds: u64) -> ConnectionActivity {
    ConnectionActivity {
        received_request: true,
        submitted_query: true,
        ..idle_for(seconds)
    }
}

fn failed(seconds: u64) -> ConnectionActivity {
    let lingering_since = Some(NOW - Micros::from_secs(seconds));
    ConnectionActivity {
        lingering_since,
        idle: false,
        ..with_query(seconds)
    }
}

/// Returns the indices of the connections in the order of their evictions.
fn eviction_order(connections: &[ConnectionActivity]) -> Vec<usize> {
    let mut remaining: Vec<usize> = (0..connections.len()).collect();
    let mut order = Vec::new();
    while let Some(next) = first_to_evict(remaining.iter().copied(), NOW, |c| connections[*c]) {
        remaining.retain(|c| *c != next);
        order.push(next);
    }
    order
}

#[test]
fn failed_connections_are_evicted_first_then_those_without_a_query_then_the_longest_idle() {
    let without_query = ConnectionActivity {
        received_request: true,
        ..idle_for(3)
    };
    let connections = [
        with_query(8),
        with_query(9),
        idle_for(1),
        without_query,
        failed(1),
        failed(2),
    ];
    assert_eq!(eviction_order(&connections), [5, 4, 3, 2, 1, 0]);
}

#[test]
fn connections_that_have_a_request_in_progress_or_are_closing_are_never_evicted() {
    for connection in [
        ConnectionActivity {
            busy: true,
            idle: false,
            ..with_query(9)
        },
        ConnectionActivity {
            idle: false,
            request_started_at: Some(NOW),
            ..with_query(9)
        },
        ConnectionActivity {
            closing: true,
            ..with_query(9)
        },
        ConnectionActivity {
            aborted: true,
            ..failed(9)
        },
    ] {
        assert_eq!(eviction_priority(&connection, NOW), None, "{connection:?}");
    }
}

#[test]
fn a_connection_without_a_query_is_not_evicted_for_30_ms_after_its_accept_or_last_request() {
    let accepted_before = |ms| ConnectionActivity {
        accepted_at: NOW - Micros::from_millis(ms),
        ..idle_for(0)
    };
    assert_eq!(eviction_priority(&accepted_before(30), NOW), None);
    assert!(eviction_priority(&accepted_before(31), NOW).is_some());
    // Part of a first request does not restart the 30 ms; a complete request does.
    let last_activity_at = NOW - Micros::from_millis(10);
    let partial_request = ConnectionActivity {
        last_activity_at,
        idle: false,
        ..idle_for(1)
    };
    assert!(eviction_priority(&partial_request, NOW).is_some());
    let answered = ConnectionActivity {
        last_activity_at,
        received_request: true,
        ..idle_for(1)
    };
    assert_eq!(eviction_priority(&answered, NOW), None);
}

#[test]
fn the_longest_idle_connections_are_in_excess() {
    let connections = [
        with_query(3),
        with_query(9),
        failed(50),
        idle_for(40),
        with_query(7),
    ];
    let excess = |max_idle| excess_idle(0..connections.len(), NOW, max_idle, |c| connections[*c]);
    assert_eq!(excess(3), Vec::<usize>::new());
    assert_eq!(excess(2), [1]);
    assert_eq!(excess(0), [1, 4, 0]);
}

#[test]
fn memory_is_reclaimed_from_the_largest_connection_that_awaits_no_response() {
    let sized = |buffered_bytes, busy| ConnectionActivity {
        buffered_bytes,
        unread_bytes: 0,
        busy,
        ..ConnectionActivity::default()
    };
    let aborted = ConnectionActivity {
        aborted: true,
        ..sized(99, false)
    };
    let connections = [sized(5, false), sized(50, true), sized(7, false), aborted];
    assert_eq!(
        largest_buffers(0..connections.len(), |c| connections[*c]),
        Some(2)
    );
    assert_eq!(largest_buffers(1..2, |c| connections[*c]), None);
}

/// Guards against input behind requests in progress that holds memory without a limit.
#[test]
fn memory_is_reclaimed_from_input_behind_requests_if_nothing_else_can_be_freed() {
    let busy = |unread_bytes| ConnectionActivity {
        buffered_bytes: 90,
        unread_bytes,
        busy: true,
        ..ConnectionActivity::default()
    };
    let waiting = ConnectionActivity {
        buffered_bytes: 1,
        unread_bytes: 1,
        ..ConnectionActivity::default()
    };
    let largest = |connections: &[ConnectionActivity]| {
        largest_buffers(0..connections.len(), |c| connections[*c])
    };
    assert_eq!(largest(&[busy(5), busy(50), waiting]), Some(2));
    assert_eq!(largest(&[busy(5), busy(50), busy(0)]), Some(1));
    assert_eq!(largest(&[busy(0)]), None);
}
