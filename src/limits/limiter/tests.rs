use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RULE: LimitRule = LimitRule::Adaptive { initial: 8, min: 2, max: 200 };

/// A server of so many slots, each request 10 ms of work, asked by more clients than any limit allows: each step is a
/// millisecond. Answers the limit at the end and the most that were under way in the last half.
fn play(limiter: &mut ConcurrencyLimiter, slots: usize, from: u64, steps: u64) -> usize {
    let ms = Micros::from_millis;
    let mut under_way: Vec<(Micros, f64)> = Vec::new();
    let mut most = 0;
    for step in 0..steps {
        let now = ms(from + step);
        while limiter.has_capacity(under_way.len(), now) {
            under_way.push((now, 10.0));
        }
        if step > steps / 2 {
            most = most.max(under_way.len());
        }
        let share = (slots as f64 / under_way.len().max(1) as f64).min(1.0);
        under_way.iter_mut().for_each(|r| r.1 -= share);
        let beside = under_way.len();
        under_way.retain(|(began, left)| {
            if *left <= 0.0 {
                limiter.record(now + ms(1), RequestOutcome::Success(1), (now + ms(1)).since(*began), beside);
            }
            *left > 0.0
        });
    }
    most
}

#[test]
fn the_limit_follows_what_a_server_bears() {
    for slots in [2, 8, 32] {
        let mut limiter = ConcurrencyLimiter::new(RULE);
        let most = play(&mut limiter, slots, 1_000, 20_000);
        assert!(most >= slots, "{slots} slots are used: {most}");
        assert!(most <= slots * 3 + 6, "{slots} slots are not overrun: {most}");
    }
    // Three quarters of its cores are lost for a while.
    let mut limiter = ConcurrencyLimiter::new(RULE);
    play(&mut limiter, 32, 1_000, 10_000);
    let before = limiter.limit();
    play(&mut limiter, 8, 11_000, 6_000);
    assert!(limiter.limit() < before, "{} after {before}", limiter.limit());
    play(&mut limiter, 32, 17_000, 20_000);
    assert!(limiter.limit() >= 32, "it comes back: {}", limiter.limit());
}

#[test]
fn overload_cuts_once_a_jam_and_wishes_are_followed_within_reason() {
    let s = Micros::from_secs;
    let mut limiter = ConcurrencyLimiter::new(RULE);
    (0..50).for_each(|_| limiter.record(s(1), RequestOutcome::Overloaded, s(1), 8));
    assert_eq!(limiter.limit(), 5);
    (2..60).for_each(|n| limiter.record(s(n), RequestOutcome::Overloaded, s(1), 8));
    assert_eq!(limiter.limit(), 2, "never none");
    limiter.hold(s(100), s(5));
    assert!(!limiter.has_capacity(0, s(104)) && limiter.has_capacity(0, s(106)));
    limiter.hold(s(200), s(9_999));
    assert!(!limiter.has_capacity(0, s(229)) && limiter.has_capacity(0, s(231)), "not for hours");
    let mut fixed = ConcurrencyLimiter::new(LimitRule::Fixed(16));
    (0..50).for_each(|n| fixed.record(s(n), RequestOutcome::Overloaded, s(1), 8));
    assert_eq!(fixed.limit(), 16);
}

#[test]
fn large_answers_beside_small_ones_are_no_jam() {
    let mut limiter = ConcurrencyLimiter::new(RULE);
    for n in 0..2_000 {
        let (features, took) = if n % 2 == 0 { (1, 1_000) } else { (500, 30_000) };
        limiter.record(
            Micros::from_millis(n),
            RequestOutcome::Success(features),
            Micros(took),
            limiter.limit(),
        );
    }
    assert!(limiter.limit() > 100, "{}", limiter.limit());
    let before = limiter.limit();
    limiter.record(Micros::from_secs(3), RequestOutcome::Cancelled, Micros(2_000), 9);
    assert_eq!(limiter.limit(), before, "its client left early");
    limiter.record(Micros::from_secs(3), RequestOutcome::Cancelled, Micros::from_secs(1), 9);
    assert!(limiter.limit() < before, "it waited for long");
}

#[test]
fn what_is_not_used_does_not_grow() {
    let mut limiter = ConcurrencyLimiter::new(RULE);
    (0..1_000)
        .for_each(|n| limiter.record(Micros::from_millis(n), RequestOutcome::Success(1), Micros(1_000), 1));
    assert_eq!(limiter.limit(), 8);
    assert!(limiter.throughput().is_some_and(|r| (7_000.0..9_000.0).contains(&r)));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn a_limit_stays_within_its_bounds(steps in proptest::collection::vec((0_u8..3, 0_u64..10_000_000, 0_u64..500_000, 0_usize..300), 0..300)) {
        let mut limiter = ConcurrencyLimiter::new(RULE);
        let mut now = Micros::ZERO;
        for (how, took, passed, beside) in steps {
            now = now + Micros(passed);
            let how = [RequestOutcome::Success(usize::from(how) * 40), RequestOutcome::Overloaded, RequestOutcome::Cancelled][usize::from(how)];
            limiter.record(now, how, Micros(took), beside);
            prop_assert!((2..=200).contains(&limiter.limit()));
        }
    }
}
