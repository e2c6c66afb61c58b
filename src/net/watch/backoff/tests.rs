//! Tests of the backoff between discovery watches.

use super::*;
use std::collections::BTreeSet;

const POLL_INTERVAL: Nanos = 10_000_000_000;

/// Simulates a shared discovery service for 30 s, and returns how many coordinators it serves with
/// an endpoint list. It handles 12 polls a second one after another, including those that the
/// coordinator has abandoned after 2 s, and rejects a poll if its queue is full.
fn coordinators_served(max_poll_interval: Option<Nanos>) -> usize {
    const COORDINATORS: usize = 100;
    const POLL_TIMEOUT_MS: u64 = 2_000;
    const SERVICE_TIME_MS: u64 = 80;
    const MAX_QUEUED: u64 = 40;
    const END_MS: u64 = 30_000;
    let mut backoffs: Vec<_> = (0..COORDINATORS as u64).map(Backoff::new).collect();
    let mut polls: BTreeSet<_> = (0..COORDINATORS)
        .map(|coordinator| (0, coordinator))
        .collect();
    let mut served = 0;
    let mut queue_end = 0;
    while let Some((polled_at, coordinator)) = polls.pop_first().filter(|poll| poll.0 < END_MS) {
        queue_end = queue_end.max(polled_at);
        let rejected = queue_end > polled_at + MAX_QUEUED * SERVICE_TIME_MS;
        queue_end += if rejected { 0 } else { SERVICE_TIME_MS };
        if queue_end <= polled_at + POLL_TIMEOUT_MS {
            served += 1;
        } else {
            let failed_at = polled_at + if rejected { 0 } else { POLL_TIMEOUT_MS };
            let delay = backoffs[coordinator].next_delay(false, max_poll_interval);
            polls.insert((failed_at + delay.as_millis() as u64, coordinator));
        }
    }
    served
}

#[test]
fn load_on_a_shared_discovery_falls_until_all_coordinators_are_served() {
    // With short delays, discovery is busy with polls that coordinators have already abandoned.
    let served_with_short_delays = coordinators_served(None);
    assert!(
        served_with_short_delays < 60,
        "short delays leave coordinators unserved: {served_with_short_delays} served"
    );
    assert_eq!(coordinators_served(Some(POLL_INTERVAL)), 100);
}

#[test]
fn agent_is_retried_soon_and_jitter_spreads_the_coordinators() {
    let mut agent = Backoff::new(1);
    let longest = (0..20).map(|_| agent.next_delay(false, None)).max();
    assert!(longest <= Some(Duration::from_millis(AGENT_DELAY.max_ms)));
    assert!(
        agent.next_delay(true, None) <= Duration::from_millis(AGENT_DELAY.min_ms),
        "the delays restart after a list was received"
    );
    let first_delays: BTreeSet<_> = (0..100)
        .map(|seed| Backoff::new(seed).next_delay(false, Some(POLL_INTERVAL)))
        .collect();
    assert!(
        first_delays.len() > 80,
        "only {} different delays of 100",
        first_delays.len()
    );
    let mut shared = Backoff::new(1);
    let delays: Vec<_> = (0..20)
        .map(|_| shared.next_delay(false, Some(POLL_INTERVAL)))
        .collect();
    assert!(
        delays
            .iter()
            .all(|delay| delay.as_nanos() <= u128::from(POLL_INTERVAL)),
        "{delays:?}"
    );
}

#[test]
fn timeout_and_delay_for_a_silent_agent_grow_within_bounds() {
    // The watch must be opened again before discovery counts the coordinator as notified of a
    // change that the silent agent did not send.
    let mut agent = Backoff::new(1);
    let mut gap = agent.first_message_timeout(None);
    assert!(
        gap < Micros::from_secs(1),
        "the first timeout for an agent is short: {gap:?}"
    );
    for _ in 0..10 {
        let delay = Micros(agent.next_delay(false, None).as_micros() as u64);
        gap = agent.first_message_timeout(None) + delay;
        assert!(
            SILENCE_TIMEOUT + gap < Micros::from_millis(6_500),
            "{gap:?}"
        );
    }
    assert!(
        gap > Micros::from_secs(2),
        "an agent on a slow machine responds within the timeout: {gap:?}"
    );
    agent.next_delay(true, None);
    assert!(
        agent.first_message_timeout(None) < Micros::from_secs(1),
        "the timeouts restart after a list was received"
    );
    assert_eq!(
        agent.first_message_timeout(Some(POLL_INTERVAL)),
        SHARED_FIRST_MESSAGE_TIMEOUT,
        "a shared discovery service responds late"
    );
}
