//! Tests of the life cycle's transitions.

use super::*;
use ShutdownEvent::{Close, DrainWithSuccessor, DrainWithoutSuccessor};

#[test]
fn the_list_of_service_phases_is_in_the_order_of_their_discriminants() {
    for (index, phase) in ServicePhase::ALL.into_iter().enumerate() {
        assert_eq!(phase as usize, index);
    }
}

#[test]
fn the_startup_never_returns_to_an_earlier_phase() {
    let lifecycle = Lifecycle::default();
    assert!(!lifecycle.is_ready() && !lifecycle.endpoints_known());
    lifecycle.advance_startup(StartupPhase::Ready);
    assert!(
        lifecycle.is_ready() && !lifecycle.endpoints_received() && !lifecycle.endpoints_known()
    );
    lifecycle.advance_startup(StartupPhase::EndpointsReceived);
    assert!(lifecycle.is_ready() && lifecycle.endpoints_received() && !lifecycle.endpoints_known());
    lifecycle.advance_startup(StartupPhase::EndpointsKnown);
    lifecycle.advance_startup(StartupPhase::Ready);
    assert!(lifecycle.is_ready() && lifecycle.endpoints_known());
}

#[test]
fn a_process_that_drains_without_a_successor_accepts_and_keeps_connections_until_it_closes() {
    let lifecycle = Lifecycle::default();
    assert_eq!(lifecycle.service_phase(), ServicePhase::Serving);
    assert_eq!(
        lifecycle.handle_shutdown_event(DrainWithoutSuccessor),
        ServicePhase::Draining
    );
    let draining = lifecycle.service_phase();
    assert!(
        draining.is_draining()
            && draining.accepts_connections()
            && !draining.closes_after_response()
    );
    assert_eq!(
        lifecycle.handle_shutdown_event(Close),
        ServicePhase::Closing
    );
    let closing = lifecycle.service_phase();
    assert!(
        closing.is_draining() && closing.accepts_connections() && closing.closes_after_response()
    );
}

#[test]
fn a_process_accepts_no_connections_while_a_successor_does_and_again_after_its_exit() {
    let lifecycle = Lifecycle::default();
    let handed_over = lifecycle.handle_shutdown_event(DrainWithSuccessor);
    assert_eq!(handed_over, ServicePhase::HandedOver);
    assert!(!handed_over.accepts_connections() && handed_over.closes_after_response());
    assert_eq!(
        lifecycle.handle_shutdown_event(DrainWithoutSuccessor),
        ServicePhase::Draining
    );
    // A process that closes connections continues to do so, whether or not the successor is alive.
    lifecycle.handle_shutdown_event(DrainWithSuccessor);
    assert_eq!(
        lifecycle.handle_shutdown_event(Close),
        ServicePhase::ClosingHandedOver
    );
    assert!(!lifecycle.service_phase().accepts_connections());
    assert_eq!(
        lifecycle.handle_shutdown_event(DrainWithoutSuccessor),
        ServicePhase::Closing
    );
    assert!(lifecycle.service_phase().closes_after_response());
}

#[test]
fn no_event_leads_back_to_serving_or_out_of_closing() {
    for phase in ServicePhase::ALL {
        for event in [DrainWithoutSuccessor, DrainWithSuccessor, Close] {
            let next = phase.next(event);
            assert!(next.is_draining(), "{phase:?} {event:?}");
            let closing = |p| matches!(p, ServicePhase::Closing | ServicePhase::ClosingHandedOver);
            assert!(!closing(phase) || closing(next), "{phase:?} {event:?}");
        }
    }
}

#[test]
fn the_health_check_fails_while_endpoints_are_unknown_and_during_a_shutdown() {
    let lifecycle = Lifecycle::default();
    for phase in [StartupPhase::Ready, StartupPhase::EndpointsReceived] {
        lifecycle.advance_startup(phase);
        assert_eq!(lifecycle.health(), Err(Unhealthy::EndpointsUnknown));
    }
    lifecycle.advance_startup(StartupPhase::EndpointsKnown);
    assert_eq!(lifecycle.health(), Ok(()));
    lifecycle.handle_shutdown_event(DrainWithoutSuccessor);
    assert_eq!(lifecycle.health(), Err(Unhealthy::Draining));
    assert!(!lifecycle.is_ready());
    let texts = [Unhealthy::Draining, Unhealthy::EndpointsUnknown].map(|reason| reason.to_string());
    assert_eq!(
        texts,
        ["it is told to end", "the servers are not known yet"]
    );
}
