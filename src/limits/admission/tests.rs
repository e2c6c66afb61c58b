//! Tests of the admission of queries by their cost.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OBJECTIVE: Micros = Micros::from_secs(2);
const MIB: usize = 1024 * 1024;

fn controller() -> AdmissionController {
    AdmissionController::new(100 * MIB)
}

/// Returns a query without filter or sort order, with the default page size and number of parallel
/// shards.
fn shape(limit: usize, shards: usize) -> QueryShape {
    QueryShape {
        limit,
        page_size: 500,
        shards,
        parallel_shards: 8,
        filter_cost: 0,
        max_sorted_pages: None,
    }
}

fn cost(limit: usize, shards: usize) -> QueryCost {
    QueryCost::estimate(&shape(limit, shards))
}

#[test]
fn cheap_queries_are_admitted_when_expensive_ones_are_rejected() {
    let expensive = cost(5_000, 2);
    let cheap = cost(10, 2);
    let mut admission = controller();
    let expensive_admitted = (0..1_000)
        .take_while(|_| admission.admit(expensive, OBJECTIVE, Some(200.0)).is_ok())
        .count();
    let cheap_admitted = (0..10_000)
        .take_while(|_| admission.admit(cheap, OBJECTIVE, Some(200.0)).is_ok())
        .count();
    assert!(
        (5..=20).contains(&expensive_admitted),
        "expensive: {expensive_admitted}"
    );
    assert!(cheap_admitted >= 100, "cheap: {cheap_admitted}");
    let rejection = admission
        .admit(expensive, OBJECTIVE, Some(200.0))
        .expect_err("the servers have no capacity left");
    assert!(rejection.retry_after >= MIN_RETRY_AFTER && rejection.retry_after <= MAX_RETRY_AFTER);
    assert_eq!(rejection.reason, RejectionReason::Throughput);
}

#[test]
fn queries_are_admitted_with_unknown_throughput_or_little_in_flight() {
    let shape = QueryShape {
        filter_cost: 1_000,
        max_sorted_pages: Some(200),
        ..shape(1_000_000, 50)
    };
    let expensive = QueryCost::estimate(&shape);
    assert!(
        controller().admit(expensive, OBJECTIVE, Some(0.1)).is_ok(),
        "an expensive query is admitted while nothing is in flight"
    );
    assert!(controller().admit(cost(10, 2), OBJECTIVE, None).is_ok());
    let mut slow = controller();
    assert!((0..6).all(|_| slow.admit(cost(1, 1), OBJECTIVE, Some(0.01)).is_ok()));
}

#[test]
fn reserved_bytes_do_not_exceed_the_memory() {
    let mut admission = AdmissionController::new(10 * MIB);
    (0..200).for_each(|_| admission.record_page(300_000, 500, 500));
    let expensive = cost(5_000, 1);
    let mut reserved = Vec::new();
    let mut rejected = 0;
    for _ in 0..20 {
        match admission.admit(expensive, Micros::from_secs(600), Some(1e6)) {
            Ok(bytes) => reserved.push(bytes),
            Err(rejection) => {
                assert_eq!(rejection.reason, RejectionReason::Memory);
                rejected += 1;
            }
        }
    }
    assert!(
        reserved.iter().sum::<f64>() <= 10.0 * 1024.0 * 1024.0 && rejected > 0,
        "{reserved:?}"
    );
    reserved
        .drain(..)
        .for_each(|bytes| admission.release_bytes(bytes));
    assert!(admission.admit(expensive, OBJECTIVE, None).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    })]

    /// For any sequence of queries, a rejection changes nothing, and releasing all admitted queries
    /// leaves nothing in flight.
    #[test]
    fn releasing_all_admitted_queries_leaves_nothing_in_flight(
        steps in proptest::collection::vec(
            (1_usize..6_000, 1_usize..20, any::<bool>(), 0.0_f64..500.0),
            0..100,
        )
    ) {
        let mut admission = controller();
        let mut admitted = Vec::new();
        for (limit, shards, release, throughput) in steps {
            let cost = cost(limit, shards);
            let before = admission.in_flight();
            match admission.admit(cost, OBJECTIVE, Some(throughput)) {
                Ok(bytes) => admitted.push((cost, bytes)),
                Err(_) => prop_assert_eq!(before, admission.in_flight()),
            }
            if release {
                if let Some((cost, bytes)) = admitted.pop() {
                    admission.release_pages(cost);
                    admission.release_bytes(bytes);
                }
            }
        }
        for (cost, bytes) in admitted.drain(..) {
            admission.release_pages(cost);
            admission.release_bytes(bytes);
        }
        let InFlight { pages, bytes } = admission.in_flight();
        prop_assert!(pages.abs() < 1e-6 && bytes.abs() < 1e-3);
    }
}
