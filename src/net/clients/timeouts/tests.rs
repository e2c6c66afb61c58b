//! Tests of the time limits on client connections.

use super::*;

const NOW: Micros = Micros::from_secs(100);

fn ms_ago(ms: u64) -> Micros {
    NOW - Micros::from_millis(ms)
}

/// Returns an idle connection that was accepted, and last active, `ms` milliseconds ago.
fn idle_for(ms: u64) -> ConnectionActivity {
    ConnectionActivity {
        accepted_at: ms_ago(ms),
        last_activity_at: ms_ago(ms),
        idle: true,
        ..Default::default()
    }
}

fn exceeded_now(connection: ConnectionActivity) -> Option<Timeout> {
    exceeded(&connection, NOW, idle_timeout(1, 2))
}

#[test]
fn a_connection_on_which_nothing_was_received_times_out_2_2_s_after_the_accept() {
    assert_eq!(exceeded_now(idle_for(2_200)), None);
    assert_eq!(exceeded_now(idle_for(2_201)), Some(Timeout::FirstByte));
}

#[test]
fn the_time_of_the_first_request_counts_from_the_accept_and_of_others_from_their_first_byte() {
    let first = ConnectionActivity {
        idle: false,
        last_activity_at: NOW,
        ..idle_for(2_201)
    };
    assert_eq!(exceeded_now(first), Some(Timeout::Request));
    let later = |ms| ConnectionActivity {
        received_request: true,
        request_started_at: Some(ms_ago(ms)),
        idle: false,
        ..idle_for(9_000)
    };
    assert_eq!(exceeded_now(later(2_200)), None);
    assert_eq!(exceeded_now(later(2_201)), Some(Timeout::Request));
}

#[test]
fn an_idle_connection_times_out_after_30_s_or_2_5_s_if_more_than_half_are_open() {
    let idle = |ms| ConnectionActivity {
        received_request: true,
        ..idle_for(ms)
    };
    assert_eq!(exceeded(&idle(30_000), NOW, idle_timeout(50, 100)), None);
    assert_eq!(
        exceeded(&idle(30_001), NOW, idle_timeout(50, 100)),
        Some(Timeout::Idle)
    );
    assert_eq!(exceeded(&idle(2_500), NOW, idle_timeout(51, 100)), None);
    assert_eq!(
        exceeded(&idle(2_501), NOW, idle_timeout(51, 100)),
        Some(Timeout::Idle)
    );
}

#[test]
fn a_client_that_reads_no_byte_of_a_response_for_15_s_times_out() {
    let writing = |ms| ConnectionActivity {
        output_pending: true,
        idle: false,
        busy: true,
        ..idle_for(ms)
    };
    assert_eq!(exceeded_now(writing(15_000)), None);
    assert_eq!(exceeded_now(writing(15_001)), Some(Timeout::Response));
}

#[test]
fn a_lingering_connection_has_a_limit_of_1_s_and_no_other() {
    let lingering = |ms| ConnectionActivity {
        lingering_since: Some(ms_ago(ms)),
        received_request: true,
        idle: false,
        ..idle_for(9_000)
    };
    assert_eq!(exceeded_now(lingering(1_000)), None);
    assert_eq!(exceeded_now(lingering(1_001)), Some(Timeout::Linger));
}

#[test]
fn a_request_that_awaits_its_response_has_no_time_limit() {
    let busy = ConnectionActivity {
        busy: true,
        received_request: true,
        idle: false,
        ..idle_for(60_000)
    };
    assert_eq!(exceeded_now(busy), None);
}
