//! Tests of the schedule of polls for the endpoint list.

use super::PollSchedule;
use crate::interface::EndpointListKind;

const INTERVAL: u64 = 8_000;

#[test]
fn a_poll_is_due_at_once_and_then_after_each_half_of_the_longest_interval() {
    let mut poll = PollSchedule::new(Some(INTERVAL), 100);
    assert!(poll.take_due(Some(INTERVAL), 100));
    assert!(!poll.take_due(Some(INTERVAL), 100 + INTERVAL / 2 - 1));
    assert!(poll.take_due(Some(INTERVAL), 100 + INTERVAL / 2));
    assert!(
        !PollSchedule::new(None, 100).take_due(None, 100),
        "no poll is due where the list is pushed"
    );
}

#[test]
fn a_list_stops_polling_unless_it_is_cached() {
    for (kind, due) in [
        (EndpointListKind::Cached, true),
        (EndpointListKind::Full, false),
        (EndpointListKind::Delta, false),
    ] {
        let mut poll = PollSchedule::new(Some(INTERVAL), 100);
        poll.record_list(kind);
        assert_eq!(poll.due_at().is_some(), due, "{kind:?}");
    }
}

#[test]
fn a_failed_poll_is_repeated_within_a_fraction_of_the_longest_interval() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..100 {
        let mut poll = PollSchedule::new(Some(INTERVAL), 0);
        poll.record_failure(Some(INTERVAL), 100, &mut rng);
        let wait = poll.due_at().expect("a poll is scheduled") - 100;
        assert!((INTERVAL / 32..=INTERVAL / 8).contains(&wait), "{wait}");
    }
}
