use super::*;

const WITHIN: Nanos = 10_000_000_000;

#[test]
fn what_all_ask_of_a_shared_discovery_becomes_less_until_some_is_served() {
    // Discovery serves 12 calls a second in turn, also those whose caller left after 2 s, and turns away whom it has no
    // room for: coordinators that asked again after 25 ms to 1 s kept it busy with calls that nobody waited for.
    let served = |within: Option<Nanos>| {
        let (calls, patience, each, room) = (100, 2_000, 80, 40);
        let mut waits: Vec<_> = (0..calls as u64).map(Backoff::new).collect();
        let mut asks: std::collections::BTreeSet<_> = (0..calls).map(|n| (0, n)).collect();
        let (mut free, mut listed) = (0, 0);
        while let Some((at, n)) = asks.pop_first().filter(|a| a.0 < 30_000) {
            free = free.max(at);
            let full = free > at + room * each;
            free += if full { 0 } else { each };
            if free <= at + patience {
                listed += 1;
            } else {
                let told = at + if full { 0 } else { patience };
                asks.insert((told + waits[n].after(false, within).as_millis() as u64, n));
            }
        }
        listed
    };
    assert!(served(None) < 60, "the check can fail: {}", served(None));
    assert_eq!(served(Some(WITHIN)), 100);
}

#[test]
fn an_agent_is_asked_again_soon_and_no_two_coordinators_go_in_step() {
    let mut agent = Backoff::new(1);
    let longest = (0..20).map(|_| agent.after(false, None)).max();
    assert!(longest <= Some(Duration::from_millis(AGENT_MS.1)));
    assert!(agent.after(true, None) <= Duration::from_millis(AGENT_MS.0), "a list came: begun anew");
    let first: std::collections::BTreeSet<_> =
        (0..100).map(|seed| Backoff::new(seed).after(false, Some(WITHIN))).collect();
    assert!(first.len() > 80, "{} different waits of 100", first.len());
    let mut shared = Backoff::new(1);
    let long: Vec<_> = (0..20).map(|_| shared.after(false, Some(WITHIN))).collect();
    assert!(long.iter().all(|w| w.as_nanos() <= u128::from(WITHIN)), "{long:?}");
}

#[test]
fn an_agent_that_is_silent_is_asked_again_before_what_it_missed_counts_as_told() {
    let mut agent = Backoff::new(1);
    let mut gap = agent.first_word(None);
    assert!(gap < Micros::from_secs(1), "it answers at once, or not at all: {gap:?}");
    for _ in 0..10 {
        let wait = Micros(agent.after(false, None).as_micros() as u64);
        gap = agent.first_word(None) + wait;
        assert!(SILENT + gap < Micros::from_millis(6_500), "{gap:?}");
    }
    assert!(gap > Micros::from_secs(2), "a slow machine is heard all the same");
    agent.after(true, None);
    assert!(agent.first_word(None) < Micros::from_secs(1), "begun anew");
    assert_eq!(agent.first_word(Some(WITHIN)), Micros::from_millis(SHARED_WORD_MS), "discovery is late");
}
