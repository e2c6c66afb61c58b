//! Tests of responses without a sort order, built from the pages of model servers.

mod model;

use super::*;
use crate::front::ogc::paging::PageSlice;
use model::{id, servers_with, ModelServers};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::HashSet;

fn fetched(shard: usize, page_size: usize, page: Option<Arc<FeaturePage>>) -> FetchedPage {
    FetchedPage {
        shard,
        page_size,
        page,
    }
}

fn limits(limit: usize) -> PagingLimits {
    PagingLimits {
        limit,
        page_size: 500,
        max_initial_shards: 8,
        max_pages: 200,
        max_bytes: usize::MAX,
        filtered_locally: false,
        min_shard_share: 1.0,
        idempotent: true,
    }
}

/// Returns the features of shards with these numbers of features, in order.
fn expected(shards: &[usize]) -> Vec<u64> {
    shards
        .iter()
        .enumerate()
        .flat_map(|(shard, count)| (0..*count).map(move |n| (shard * 1_000_000 + n) as u64))
        .collect()
}

#[test]
fn request_count_is_proportional_to_the_number_of_features_returned() {
    let shards = [20_000, 20_000];
    let mut servers = servers_with(&shards);
    let merge = servers.response(limits(2), ResumePosition::START);
    assert_eq!(
        (merge.count(), merge.number_matched(), servers.requests),
        (2, Some(40_000), 2)
    );
    for limit in [100, 300, 500, 700, 1_000, 5_000] {
        let mut servers = servers_with(&shards);
        let (features, responses) = servers.all_responses(limits(limit));
        assert_eq!(features, expected(&shards), "limit {limit}");
        // The largest page size that divides the limit evenly.
        let size = limit.div_ceil(limit.div_ceil(500));
        let pages = 40_000_usize.div_ceil(size);
        assert!(
            servers.requests * 10 <= pages * 12,
            "limit {limit}: {} requests for {pages} pages",
            servers.requests
        );
        assert!(
            responses * 10 <= 40_000_usize.div_ceil(limit) * 12,
            "limit {limit}: {responses} responses"
        );
    }
}

#[test]
fn small_shards_are_complete_after_one_or_two_rounds() {
    let shards = [3, 0, 7, 40, 1];
    let mut servers = servers_with(&shards);
    let merge = servers.response(limits(100), ResumePosition::START);
    assert_eq!(merge.count(), 51);
    assert_eq!(merge.resume_position(), None);
    assert_eq!(merge.number_matched(), Some(51));
    assert!(servers.requests <= 6, "{} requests", servers.requests);

    let many = [5; 100];
    let mut servers = ModelServers {
        reports_count: false,
        ..servers_with(&many)
    };
    let merge = servers.response(limits(1_000), ResumePosition::START);
    assert_eq!((merge.count(), merge.resume_position()), (500, None));
    assert!(servers.requests <= 100);
}

#[test]
fn non_idempotent_parts_are_fetched_once() {
    let mut servers = servers_with(&[40, 300, 300]);
    let mut merge = ConcatMerge::new(
        PagingLimits {
            idempotent: false,
            ..limits(100)
        },
        ResumePosition::START,
        3,
    );
    let mut requested = HashSet::new();
    loop {
        let fetches = merge.next_fetches();
        assert!(
            fetches
                .iter()
                .all(|fetch| requested.insert(format!("{} {:?}", fetch.shard, fetch.location))),
            "{fetches:?}"
        );
        if servers.round(&mut merge, |_| true) == MergeProgress::Finished {
            break;
        }
    }
    assert!(merge.count() > 40 && merge.is_complete());
}

/// Builds a response from three shards of ten features, of which one is missing.
fn response_without(missing: usize, min_shard_share: f64) -> (MergeProgress, ConcatMerge) {
    let mut servers = servers_with(&[10, 10, 10]);
    let limits = PagingLimits {
        min_shard_share,
        ..limits(100)
    };
    let mut merge = ConcatMerge::new(limits, ResumePosition::START, 3);
    loop {
        match servers.round(&mut merge, |fetch| fetch.shard != missing) {
            MergeProgress::NeedsPages => {}
            progress => return (progress, merge),
        }
    }
}

#[test]
fn a_missing_shard_is_reported_and_skipped_only_above_the_minimum_share() {
    let (progress, merge) = response_without(1, 0.5);
    assert_eq!(progress, MergeProgress::Finished);
    assert_eq!(merge.count(), 20);
    assert_eq!(merge.missing_shards(), [1]);
    assert!(!merge.is_complete());
    assert!(merge.has_enough_shards());
    assert_eq!(merge.number_matched(), None);
    assert_eq!(merge.resume_position(), None);

    let (progress, _) = response_without(0, 1.0);
    assert_eq!(progress, MergeProgress::Failed);

    // The features before the missing shard are a complete response. The next response starts at
    // that shard.
    let (progress, merge) = response_without(1, 1.0);
    assert_eq!(progress, MergeProgress::Finished);
    assert_eq!(merge.count(), 10);
    assert!(merge.is_complete());
    assert_eq!(
        merge.resume_position().map(|position| position.shard),
        Some(1)
    );
}

/// Returns a page of one feature for each eight characters of `text`.
fn page(text: &str, next: Option<&str>, matched: Option<u64>) -> Option<Arc<FeaturePage>> {
    let features = (0..text.len() / 8).map(|n| n * 8..n * 8 + 8).collect();
    Some(Arc::new(FeaturePage {
        server: "s".into(),
        body: text.into(),
        features,
        returned_count: text.len() / 8,
        next_target: next.map(str::to_owned),
        number_matched: matched,
    }))
}

#[test]
fn duplicate_features_link_cycles_and_changing_counts_are_handled() {
    let mut merge = ConcatMerge::new(
        PagingLimits {
            idempotent: false,
            ..limits(10)
        },
        ResumePosition::START,
        1,
    );
    assert_eq!(
        merge.accept(
            vec![fetched(0, 2, page("0000000100000001", Some("x"), Some(9)))],
            id
        ),
        MergeProgress::NeedsPages
    );
    assert_eq!(
        merge.accept(
            vec![fetched(0, 2, page("00000002", Some("x"), Some(8)))],
            id
        ),
        MergeProgress::Finished
    );
    // The features before the cycle are a complete response. The next response starts at the page
    // where the cycle was found.
    assert_eq!(
        (merge.count(), merge.duplicates(), merge.number_matched()),
        (2, 1, None)
    );
    assert!(merge.resume_position().is_some());
}

#[test]
fn a_page_larger_than_requested_is_used_up_if_only_duplicates_follow() {
    // The last of the features is a duplicate.
    let mut merge = ConcatMerge::new(limits(2), ResumePosition::START, 1);
    assert_eq!(
        merge.accept(
            vec![fetched(
                0,
                2,
                page("000000010000000200000001", Some("x"), None)
            )],
            id
        ),
        MergeProgress::Finished
    );
    assert_eq!(
        (
            merge.count(),
            merge.resume_position().map(|position| position.skip)
        ),
        (2, Some(0))
    );
}

#[test]
fn a_shard_whose_links_lead_to_no_new_features_is_missing() {
    let mut merge = ConcatMerge::new(
        PagingLimits {
            min_shard_share: 0.5,
            idempotent: false,
            ..limits(10)
        },
        ResumePosition::START,
        1,
    );
    assert_eq!(
        merge.accept(vec![fetched(0, 2, page("00000001", Some("x"), None))], id),
        MergeProgress::NeedsPages
    );
    assert_eq!(
        merge.accept(vec![fetched(0, 2, page("00000001", Some("y"), None))], id),
        MergeProgress::Finished
    );
    assert_eq!(
        (merge.count(), merge.is_complete(), merge.missing_shards()),
        (0, false, vec![0])
    );
}

#[test]
fn an_interrupted_shard_is_restarted_once_if_idempotent() {
    let mut servers = servers_with(&[700]);
    let mut merge = ConcatMerge::new(limits(1_000), ResumePosition::START, 1);

    let progress = servers.round(&mut merge, |_| true);
    assert_eq!(progress, MergeProgress::NeedsPages);
    let progress = servers.round(&mut merge, |_| false);
    assert_eq!(
        progress,
        MergeProgress::NeedsPages,
        "the shard is restarted after the first failure"
    );
    assert_eq!(merge.count(), 0);
    assert_eq!(merge.next_fetches()[0].location, PageLocation::ShardStart);

    let progress = servers.round(&mut merge, |_| true);
    assert_eq!(progress, MergeProgress::NeedsPages);
    let progress = servers.round(&mut merge, |_| false);
    assert_eq!(
        progress,
        MergeProgress::Finished,
        "the shard is not restarted after the second failure"
    );
    assert_eq!(merge.count(), 500);
}

#[test]
fn an_interrupted_shard_is_not_restarted_unless_idempotent() {
    let mut servers = servers_with(&[700]);
    let limits = PagingLimits {
        idempotent: false,
        ..limits(1_000)
    };
    let mut merge = ConcatMerge::new(limits, ResumePosition::START, 1);

    let progress = servers.round(&mut merge, |_| true);
    assert_eq!(progress, MergeProgress::NeedsPages);
    let progress = servers.round(&mut merge, |_| false);
    assert_eq!(
        progress,
        MergeProgress::Finished,
        "the shard is not restarted"
    );
    assert_eq!(merge.count(), 500);
}

/// Guards against a response that has features of a shard that it reports as missing, if the parts
/// of the query are not idempotent and the shard is therefore not restarted.
#[test]
fn an_interrupted_shard_that_is_missing_contributes_no_features_unless_idempotent() {
    let mut servers = servers_with(&[700, 10]);
    let limits = PagingLimits {
        idempotent: false,
        min_shard_share: 0.5,
        ..limits(1_000)
    };
    let mut merge = ConcatMerge::new(limits, ResumePosition::START, 2);

    let progress = servers.round(&mut merge, |_| true);
    assert_eq!(progress, MergeProgress::NeedsPages);
    let progress = servers.round(&mut merge, |_| false);
    assert_eq!(progress, MergeProgress::Finished);
    assert_eq!((merge.count(), merge.missing_shards()), (10, vec![0]));
}

/// Guards against a response that has features of a shard that it reports as missing, if an earlier
/// response started the shard: the response ends before the missing page, and the next one reports
/// the shard as missing.
#[test]
fn a_resumed_shard_that_is_interrupted_is_missing_from_the_next_response() {
    let mut servers = servers_with(&[700, 10]);
    let limits = PagingLimits {
        min_shard_share: 0.5,
        ..limits(200)
    };
    let first = servers.response(limits, ResumePosition::START);
    let resume = first
        .resume_position()
        .expect("there is a next response")
        .clone();

    let larger_limits = PagingLimits {
        limit: 400,
        ..limits
    };
    let mut second = ConcatMerge::new(larger_limits, resume, 2);
    let progress = servers.round(&mut second, |_| true);
    assert_eq!(progress, MergeProgress::NeedsPages);
    let progress = servers.round(&mut second, |_| false);
    assert_eq!(progress, MergeProgress::Finished);
    assert_eq!((second.count(), second.is_complete()), (200, true));

    let resume = second
        .resume_position()
        .expect("there is a next response")
        .clone();
    let mut third = ConcatMerge::new(limits, resume, 2);
    while servers.round(&mut third, |fetch| fetch.shard != 0) == MergeProgress::NeedsPages {}
    assert_eq!((third.count(), third.is_complete()), (10, false));
    assert_eq!(third.missing_shards(), [0]);
}

/// Asserts that a response has no features of the shards that it reports as missing. Returns the
/// features of the response.
fn features_without_missing_shards(merge: &ConcatMerge) -> Vec<u64> {
    let end = merge
        .resume_position()
        .map_or(usize::MAX, |position| position.shard);
    let passed = |shard: &usize| *shard < end;
    let missing: Vec<usize> = merge.missing_shards().into_iter().filter(passed).collect();
    let texts = merge.slices().iter().flat_map(PageSlice::texts);
    let features: Vec<u64> = texts.map(|text| id(text) - 1).collect();
    let shard_of = |feature: &u64| (*feature / 1_000_000) as usize;
    assert!(
        features
            .iter()
            .map(shard_of)
            .all(|shard| !missing.contains(&shard)),
        "the response has features of missing shards {missing:?}: {features:?}"
    );
    features
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    })]

    /// Guards against responses that have features of a shard that they report as missing,
    /// whichever pages cannot be fetched.
    #[test]
    fn missing_shards_contribute_no_features(
        shards in proptest::collection::vec(0_usize..60, 1..6),
        limit in 1_usize..80,
        page_size in 1_usize..30,
        idempotent: bool,
        failures in proptest::collection::vec(proptest::bool::weighted(0.3), 60),
    ) {
        let mut servers = servers_with(&shards);
        let limits = PagingLimits {
            page_size,
            idempotent,
            min_shard_share: 0.0,
            ..limits(limit)
        };
        let mut failures = failures.into_iter();
        let mut returned = Vec::new();
        let mut missing = HashSet::new();
        let mut position = Some(ResumePosition::START);
        while let Some(start) = position {
            let mut merge = ConcatMerge::new(limits, start, shards.len());
            loop {
                let fetches = merge.next_fetches();
                let pages = fetches.iter().map(|fetch| {
                    let fails = failures.next().unwrap_or(false);
                    fetch.fetched_page((!fails).then(|| servers.page(fetch)))
                });
                match merge.accept(pages.collect(), id) {
                    MergeProgress::NeedsPages => {}
                    progress => {
                        prop_assert_eq!(progress, MergeProgress::Finished);
                        break;
                    }
                }
            }
            returned.extend(features_without_missing_shards(&merge));
            let end = merge.resume_position().map_or(usize::MAX, |position| position.shard);
            missing.extend(merge.missing_shards().into_iter().filter(|shard| *shard < end));
            position = merge.resume_position().cloned();
        }
        let is_available = |feature: &u64| !missing.contains(&((*feature / 1_000_000) as usize));
        let available: Vec<u64> = returned.iter().copied().filter(is_available).collect();
        let expected: Vec<u64> = expected(&shards).into_iter().filter(is_available).collect();
        prop_assert_eq!(available, expected);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    /// Also checks that the number of requests is proportional to the number of pages, for all
    /// sizes of shards, pages and responses.
    #[test]
    fn every_feature_is_returned_once_and_in_order(
        shards in proptest::collection::vec(0_usize..400, 1..12),
        limit in 1_usize..300,
        page_size in 1_usize..100,
        max_initial_shards in 1_usize..12,
        reports_count: bool,
        max_page_size in prop_oneof![Just(10_000_usize), 1_usize..50],
    ) {
        let mut servers = ModelServers { reports_count, max_page_size, ..servers_with(&shards) };
        let limits = PagingLimits {
            page_size,
            max_initial_shards,
            max_pages: 10_000,
            ..limits(limit)
        };
        let (features, responses) = servers.all_responses(limits);
        prop_assert_eq!(features, expected(&shards));
        let min_page_size = limit.min(page_size).min(max_page_size);
        let pages: usize = shards.iter().map(|n| n.div_ceil(min_page_size).max(1)).sum();
        let max_requests = 3 * pages + shards.len() + 2 * responses;
        prop_assert!(servers.requests <= max_requests, "{} requests for {pages} pages", servers.requests);
    }
}

/// Guards against a response without `numberMatched` because of duplicates in pages that were
/// discarded when the shard was restarted.
#[test]
fn duplicates_of_discarded_pages_do_not_hide_the_number_matched() {
    let mut merge = ConcatMerge::new(limits(10), ResumePosition::START, 1);
    let with_duplicate = page("0000000100000001", Some("x"), Some(2));
    assert_eq!(
        merge.accept(vec![fetched(0, 2, with_duplicate)], id),
        MergeProgress::NeedsPages
    );
    assert_eq!(
        merge.accept(vec![fetched(0, 2, None)], id),
        MergeProgress::NeedsPages
    );
    let complete = page("0000000100000002", None, Some(2));
    assert_eq!(
        merge.accept(vec![fetched(0, 10, complete)], id),
        MergeProgress::Finished
    );
    assert_eq!((merge.count(), merge.number_matched()), (2, Some(2)));
}
