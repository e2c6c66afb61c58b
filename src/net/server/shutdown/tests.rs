//! Tests of the schedule of a graceful shutdown.

use super::*;
use AwaitedConnections::{Open, WithCompleteRequest, WithPendingRequest};
use ShutdownPhase::{Closing, CompleteRequests, Draining, Expired, LastResponses};

const SIGNALLED_AT: Micros = Micros::from_secs(100);

fn schedule(longest_deadline_ms: u64) -> ShutdownSchedule {
    ShutdownSchedule::new(SIGNALLED_AT, Micros::from_millis(longest_deadline_ms))
}

fn phase_after(longest_deadline_ms: u64, elapsed_ms: u64) -> ShutdownPhase {
    schedule(longest_deadline_ms).phase(SIGNALLED_AT + Micros::from_millis(elapsed_ms))
}

#[test]
fn the_phases_follow_the_longest_deadline_up_to_3_s() {
    // The earliest kill is 0.7 s after the longest deadline; the last answers are due 0.2 s before
    // the kill.
    for (deadline, answers_due) in [
        (1_000, 1_500),
        (2_000, 2_500),
        (3_000, 3_500),
        (60_000, 3_500),
    ] {
        let final_deadline = SIGNALLED_AT + Micros::from_millis(answers_due);
        assert_eq!(
            schedule(deadline).final_deadline(),
            final_deadline,
            "{deadline}"
        );
        for (elapsed, phase) in [
            (0, Draining),
            (answers_due - 301, Draining),
            (answers_due - 300, Closing),
            (answers_due + 149, Closing),
            (answers_due + 150, LastResponses),
            (answers_due + 174, LastResponses),
            (answers_due + 175, CompleteRequests),
            (7_999, CompleteRequests),
            (8_000, Expired),
            (60_000, Expired),
        ] {
            assert_eq!(
                phase_after(deadline, elapsed),
                phase,
                "{deadline} {elapsed}"
            );
        }
    }
}

#[test]
fn connections_stay_open_for_at_least_0_45_s_however_short_the_deadlines_are() {
    for deadline in [0, 1, 100, 250] {
        assert_eq!(phase_after(deadline, 449), Draining, "{deadline}");
        assert_eq!(phase_after(deadline, 450), Closing, "{deadline}");
        assert_eq!(
            phase_after(deadline, 500 + deadline + 149),
            Closing,
            "{deadline}"
        );
        assert_eq!(
            phase_after(deadline, 500 + deadline + 150),
            LastResponses,
            "{deadline}"
        );
    }
    assert_eq!(phase_after(251, 450), Draining);
    assert_eq!(phase_after(251, 451), Closing);
}

#[test]
fn all_phases_occur_in_order_for_every_deadline() {
    for deadline in (0..6_000).step_by(250) {
        let phases: Vec<_> = (0..9_000)
            .step_by(10)
            .map(|elapsed| phase_after(deadline, elapsed))
            .collect();
        assert!(
            phases.windows(2).all(|pair| pair[0] <= pair[1]),
            "{deadline}"
        );
        for phase in [Draining, Closing, LastResponses, CompleteRequests, Expired] {
            assert!(phases.contains(&phase), "{deadline} {phase:?}");
        }
    }
}

#[test]
fn a_drained_process_without_a_successor_exits_only_once_it_closes_connections() {
    let drained = PendingWork {
        queries: 0,
        connections: 0,
    };
    assert!(!Draining.may_exit(false, drained));
    assert!([Closing, LastResponses, CompleteRequests, Expired]
        .iter()
        .all(|phase| phase.may_exit(false, drained)));
}

#[test]
fn a_process_with_a_successor_exits_as_soon_as_it_is_drained() {
    let drained = PendingWork {
        queries: 0,
        connections: 0,
    };
    assert!([Draining, Closing, LastResponses, CompleteRequests]
        .iter()
        .all(|phase| phase.may_exit(true, drained)));
}

#[test]
fn pending_queries_or_connections_keep_the_process_from_exiting() {
    for pending in [
        PendingWork {
            queries: 1,
            connections: 0,
        },
        PendingWork {
            queries: 0,
            connections: 1,
        },
    ] {
        for phase in [Draining, Closing, LastResponses, CompleteRequests] {
            assert!(
                !phase.may_exit(true, pending) && !phase.may_exit(false, pending),
                "{phase:?}"
            );
        }
    }
}

#[test]
fn idle_connections_are_closed_from_closing_on_and_delay_the_exit_until_the_last_responses() {
    let phases = [Draining, Closing, LastResponses, CompleteRequests, Expired];
    assert_eq!(
        phases.map(ShutdownPhase::closes_connections),
        [false, true, true, true, true]
    );
    assert_eq!(
        phases.map(ShutdownPhase::awaited_connections),
        [
            Open,
            Open,
            WithPendingRequest,
            WithCompleteRequest,
            WithCompleteRequest
        ]
    );
}

/// Guards against a phase that begins late because nothing wakes the coordinator's loop for it:
/// [`LastResponses`] begins only 0.05 s before the kill.
#[test]
fn each_phase_is_checked_at_its_start_and_the_pending_work_often_from_the_last_responses_on() {
    let mut shutdown = GracefulShutdown::new(Micros::from_secs(1));
    let at = |elapsed_ms| SIGNALLED_AT + Micros::from_millis(elapsed_ms);
    assert_eq!(
        shutdown.next_check_at(SIGNALLED_AT),
        None,
        "no check is due before the shutdown"
    );
    assert!(shutdown.start(SIGNALLED_AT));
    for (elapsed, next) in [(0, 1_200), (1_199, 1_200), (1_200, 1_650), (1_649, 1_650)] {
        assert_eq!(
            shutdown.next_check_at(at(elapsed)),
            Some(at(next)),
            "{elapsed}"
        );
        assert!(phase_after(1_000, next) > phase_after(1_000, next - 1));
    }
    // From the last responses on the pending work is polled every 5 ms, since no event reports that
    // a response was written.
    for elapsed in [1_650, 1_700, 7_999] {
        let check = shutdown
            .next_check_at(at(elapsed))
            .expect("a check is due during a shutdown");
        assert!(check > at(elapsed) && check <= at(elapsed + 5), "{elapsed}");
    }
}
