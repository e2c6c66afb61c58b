//! Tests of the startup's phases.

use super::*;

#[test]
fn a_startup_without_discovery_is_ready_after_0_4_s_and_healthy_after_3_s() {
    let started_at = Micros::from_secs(1);
    let startup = Startup::new(Arc::default(), started_at);
    let phase_after = |ms| startup.phase(started_at + Micros::from_millis(ms));
    assert_eq!(
        [0, 399, 400, 2_999, 3_000].map(phase_after),
        [
            StartupPhase::Starting,
            StartupPhase::Starting,
            StartupPhase::Ready,
            StartupPhase::Ready,
            StartupPhase::EndpointsKnown,
        ]
    );
}

#[test]
fn a_startup_ends_once_a_list_from_discovery_was_received() {
    let lifecycle: Arc<Lifecycle> = Arc::default();
    let startup = Startup::new(lifecycle.clone(), Micros::from_secs(1));
    lifecycle.advance_startup(StartupPhase::EndpointsReceived);
    assert!(!lifecycle.endpoints_known());
    startup.advance(Micros::from_secs(1));
    assert!(lifecycle.endpoints_known());
}
