use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const AIM: Micros = Micros::from_secs(2);

fn admission() -> AdmissionController {
    AdmissionController::new(100 * 1024 * 1024)
}

#[test]
fn cheap_queries_find_room_beside_maps_of_everything() {
    let (map, small) =
        (QueryCost::estimate(5_000, 500, 2, 8, 0, None), QueryCost::estimate(10, 500, 2, 8, 0, None));
    let mut taken = admission();
    let maps = (0..1_000).take_while(|_| taken.admit(map, AIM, Some(200.0)).is_ok()).count();
    let smalls = (0..10_000).take_while(|_| taken.admit(small, AIM, Some(200.0)).is_ok()).count();
    assert!((5..=20).contains(&maps), "{maps}");
    assert!(smalls >= 100, "{smalls}");
    let refused = taken.admit(map, AIM, Some(200.0)).expect_err("full");
    assert!(refused.retry_after >= RETRY.0 && refused.retry_after <= RETRY.1 && !refused.memory);
}

#[test]
fn nothing_known_and_nothing_under_way_refuse_nobody() {
    let everything = QueryCost::estimate(1_000_000, 500, 50, 8, 1_000, Some(200));
    assert!(
        admission().admit(everything, AIM, Some(0.1)).is_ok(),
        "alone it is served, however long it takes"
    );
    assert!(admission().admit(QueryCost::estimate(10, 500, 2, 8, 0, None), AIM, None).is_ok());
    let mut slow = admission();
    assert!((0..6).all(|_| slow.admit(QueryCost::estimate(1, 500, 1, 8, 0, None), AIM, Some(0.01)).is_ok()));
}

#[test]
fn answers_fit_the_memory() {
    let mut taken = AdmissionController::new(10 * 1024 * 1024);
    (0..200).for_each(|_| taken.record_page(300_000, 500, 500));
    let map = QueryCost::estimate(5_000, 500, 1, 8, 0, None);
    let (mut held, mut refused) = (Vec::new(), 0);
    for _ in 0..20 {
        match taken.admit(map, Micros::from_secs(600), Some(1e6)) {
            Ok(bytes) => held.push(bytes),
            Err(r) => {
                assert!(r.memory);
                refused += 1;
            }
        }
    }
    assert!(held.iter().sum::<f64>() <= 10.0 * 1024.0 * 1024.0 && refused > 0, "{held:?}");
    held.drain(..).for_each(|b| taken.release_bytes(b));
    assert!(taken.admit(map, AIM, None).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Whatever comes and goes: what is given back leaves nothing behind, and what is refused changes nothing.
    #[test]
    fn what_is_taken_is_given_back(steps in proptest::collection::vec((1_usize..6_000, 1_usize..20, any::<bool>(), 0.0_f64..500.0), 0..100)) {
        let mut taken = admission();
        let mut open = Vec::new();
        for (limit, shards, end, rate) in steps {
            let cost = QueryCost::estimate(limit, 500, shards, 8, 0, None);
            let before = taken.in_flight();
            match taken.admit(cost, AIM, Some(rate)) {
                Ok(bytes) => open.push((cost, bytes)),
                Err(_) => prop_assert_eq!(before, taken.in_flight()),
            }
            if end {
                if let Some((cost, bytes)) = open.pop() {
                    taken.release_pages(cost);
                    taken.release_bytes(bytes);
                }
            }
        }
        for (cost, bytes) in open.drain(..) {
            taken.release_pages(cost);
            taken.release_bytes(bytes);
        }
        let (pages, bytes) = taken.in_flight();
        prop_assert!(pages.abs() < 1e-6 && bytes.abs() < 1e-3);
    }
}
