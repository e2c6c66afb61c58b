//! Tests of the concurrency limit against a simulated server.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RULE: LimitRule = LimitRule::Adaptive {
    initial: 8,
    min: 2,
    max: 200,
};

/// The work of a simulated request, in milliseconds.
const WORK_MS: f64 = 10.0;

/// A request in flight at the simulated server.
struct SimulatedRequest {
    started_at: Micros,
    work_left_ms: f64,
}

/// Simulates a server that serves `slots` requests at a time, in steps of a millisecond, under more
/// load than any limit admits. Returns the maximum number of requests in flight in the second half
/// of the steps.
fn simulate(limiter: &mut ConcurrencyLimiter, slots: usize, from: u64, steps: u64) -> usize {
    let millis = Micros::from_millis;
    let mut in_flight: Vec<SimulatedRequest> = Vec::new();
    let mut max_in_flight = 0;
    for step in 0..steps {
        let now = millis(from + step);
        while limiter.has_capacity(in_flight.len(), now) {
            in_flight.push(SimulatedRequest {
                started_at: now,
                work_left_ms: WORK_MS,
            });
        }
        if step > steps / 2 {
            max_in_flight = max_in_flight.max(in_flight.len());
        }
        let share = (slots as f64 / in_flight.len().max(1) as f64).min(1.0);
        in_flight
            .iter_mut()
            .for_each(|request| request.work_left_ms -= share);
        let count = in_flight.len();
        let ended_at = now + millis(1);
        in_flight.retain(|request| {
            let complete = request.work_left_ms <= 0.0;
            if complete {
                let latency = ended_at.since(request.started_at);
                limiter.record(ended_at, RequestOutcome::Success(1), latency, count);
            }
            !complete
        });
    }
    max_in_flight
}

#[test]
fn limit_follows_the_capacity_of_the_server() {
    for slots in [2, 8, 32] {
        let mut limiter = ConcurrencyLimiter::new(RULE);
        let max_in_flight = simulate(&mut limiter, slots, 1_000, 20_000);
        assert!(
            max_in_flight >= slots,
            "all {slots} slots are used: {max_in_flight}"
        );
        assert!(
            max_in_flight <= slots * 3 + 6,
            "{slots} slots are not overloaded: {max_in_flight}"
        );
    }
    // The server loses three quarters of its slots for a while.
    let mut limiter = ConcurrencyLimiter::new(RULE);
    simulate(&mut limiter, 32, 1_000, 10_000);
    let before = limiter.limit();
    simulate(&mut limiter, 8, 11_000, 6_000);
    assert!(
        limiter.limit() < before,
        "the limit decreases: {} after {before}",
        limiter.limit()
    );
    simulate(&mut limiter, 32, 17_000, 20_000);
    assert!(
        limiter.limit() >= 32,
        "the limit recovers: {}",
        limiter.limit()
    );
}

#[test]
fn overload_decreases_the_limit_once_per_burst_and_backoff_is_bounded() {
    let secs = Micros::from_secs;
    let mut limiter = ConcurrencyLimiter::new(RULE);
    (0..50).for_each(|_| limiter.record(secs(1), RequestOutcome::Overloaded, secs(1), 8));
    assert_eq!(limiter.limit(), 5);
    (2..60).for_each(|n| limiter.record(secs(n), RequestOutcome::Overloaded, secs(1), 8));
    assert_eq!(limiter.limit(), 2, "the limit is not below its minimum");
    limiter.back_off(secs(100), secs(5));
    assert!(!limiter.has_capacity(0, secs(104)) && limiter.has_capacity(0, secs(106)));
    limiter.back_off(secs(200), secs(9_999));
    assert!(
        !limiter.has_capacity(0, secs(229)) && limiter.has_capacity(0, secs(231)),
        "the backoff is at most 30 s"
    );
    let mut fixed = ConcurrencyLimiter::new(LimitRule::Fixed(16));
    (0..50).for_each(|n| fixed.record(secs(n), RequestOutcome::Overloaded, secs(1), 8));
    assert_eq!(fixed.limit(), 16);
}

#[test]
fn mix_of_large_and_small_responses_does_not_count_as_overload() {
    let mut limiter = ConcurrencyLimiter::new(RULE);
    for n in 0..2_000 {
        let (features, latency) = if n % 2 == 0 {
            (1, 1_000)
        } else {
            (500, 30_000)
        };
        limiter.record(
            Micros::from_millis(n),
            RequestOutcome::Success(features),
            Micros(latency),
            limiter.limit(),
        );
    }
    assert!(limiter.limit() > 100, "limit {}", limiter.limit());
    let before = limiter.limit();
    limiter.record(
        Micros::from_secs(3),
        RequestOutcome::Cancelled,
        Micros(2_000),
        9,
    );
    assert_eq!(limiter.limit(), before, "an early cancellation is ignored");
    limiter.record(
        Micros::from_secs(3),
        RequestOutcome::Cancelled,
        Micros::from_secs(1),
        9,
    );
    assert!(
        limiter.limit() < before,
        "a late cancellation indicates overload"
    );
}

#[test]
fn unused_limit_does_not_increase() {
    let mut limiter = ConcurrencyLimiter::new(RULE);
    (0..1_000).for_each(|n| {
        limiter.record(
            Micros::from_millis(n),
            RequestOutcome::Success(1),
            Micros(1_000),
            1,
        )
    });
    assert_eq!(limiter.limit(), 8);
    assert!(limiter
        .throughput()
        .is_some_and(|rate| (7_000.0..9_000.0).contains(&rate)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    })]

    #[test]
    fn limit_stays_within_its_bounds(
        steps in proptest::collection::vec(
            (0_u8..3, 0_u64..10_000_000, 0_u64..500_000, 0_usize..300),
            0..300,
        )
    ) {
        let mut limiter = ConcurrencyLimiter::new(RULE);
        let mut now = Micros::ZERO;
        for (outcome_index, latency, elapsed, in_flight) in steps {
            now = now + Micros(elapsed);
            let outcomes = [
                RequestOutcome::Success(usize::from(outcome_index) * 40),
                RequestOutcome::Overloaded,
                RequestOutcome::Cancelled,
            ];
            let outcome = outcomes[usize::from(outcome_index)];
            limiter.record(now, outcome, Micros(latency), in_flight);
            prop_assert!((2..=200).contains(&limiter.limit()));
        }
    }
}
