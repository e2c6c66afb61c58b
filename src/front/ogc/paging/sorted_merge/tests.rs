//! Tests of sorted merges of model shards, some of which return their features in order.

use super::super::column_kind::ColumnKind;
use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value as Json;

/// A feature of a model shard.
#[derive(Debug, Clone, Copy)]
struct ModelFeature {
    key: Option<i64>,
    id: usize,
}

impl ModelFeature {
    fn text(&self) -> String {
        match self.key {
            Some(key) => format!(r#"{{"id":"d{:05}","properties":{{"k":{key}}}}}"#, self.id),
            None => format!(r#"{{"id":"d{:05}","properties":{{}}}}"#, self.id),
        }
    }

    /// Returns the position in the order. Features without a key come last in both directions.
    fn sort_key(&self, descending: bool) -> (bool, Option<i64>, usize) {
        (
            self.key.is_none(),
            self.key.map(|key| if descending { -key } else { key }),
            self.id,
        )
    }
}

/// The identifiers of the features in all responses, and the number of features that the servers
/// returned.
struct QueryResult {
    ids: Vec<usize>,
    features_read: usize,
}

fn query(limit: usize, page_size: usize, max_pages: usize, min_shard_share: f64) -> SortedQuery {
    let keys = vec![SortKey {
        property: "k".into(),
        descending: false,
    }];
    SortedQuery {
        keys,
        limit,
        page_size,
        max_pages,
        min_shard_share,
        idempotent: true,
        after: None,
    }
}

/// Returns the columns in whose order shards are returned: all of them, as numbers and texts by
/// their code points, or none.
fn agreed(sorted: &[bool]) -> Vec<AgreedColumns> {
    let columns = |sorted: &bool| match sorted {
        true => vec![ColumnKind::Number, ColumnKind::Text],
        false => AgreedColumns::new(),
    };
    sorted.iter().map(columns).collect()
}

fn fetched(shard: usize, page_size: usize, page: Option<Arc<FeaturePage>>) -> FetchedPage {
    FetchedPage {
        shard,
        page_size,
        page,
    }
}

fn page_of(texts: impl Iterator<Item = String>) -> FeaturePage {
    let mut page = FeaturePage::default();
    for text in texts {
        let start = page.body.len();
        page.body.extend(text.bytes());
        page.features.push(start..page.body.len());
    }
    page.returned_count = page.features.len();
    page
}

/// Returns the page of a model server. The target of its `next` link is the index of the next
/// feature.
fn serve(features: &[ModelFeature], fetch: &PageFetch) -> FeaturePage {
    let start = match &fetch.location {
        PageLocation::ShardStart | PageLocation::FirstPage { .. } => 0,
        PageLocation::NextLink { target, .. } => {
            target.parse::<usize>().expect("the target is a number")
        }
    };
    let rest = &features[start.min(features.len())..];
    let count = fetch.page_size.min(rest.len());
    let next_target = (count < rest.len()).then(|| (start + count).to_string());
    FeaturePage {
        next_target,
        ..page_of(rest[..count].iter().map(ModelFeature::text))
    }
}

fn ids(page: &FeaturePage) -> Vec<usize> {
    let id = |range: &std::ops::Range<usize>| {
        let json: Json =
            serde_json::from_slice(&page.body[range.clone()]).expect("a feature is valid JSON");
        json["id"].as_str().expect("the id is a string")[1..]
            .parse::<usize>()
            .expect("the id ends with a number")
    };
    page.features.iter().map(id).collect()
}

/// Runs the rounds of a response until it is finished. Returns the number of features that the
/// servers returned.
fn finish(merge: &mut SortedMerge, shards: &[Vec<ModelFeature>], limit: usize) -> usize {
    let serve_fetch = |fetch: &PageFetch| {
        let page = serve(&shards[fetch.shard], fetch);
        fetch.fetched_page(Some(Arc::new(page)))
    };
    let mut features_read = 0;
    loop {
        let pages: Vec<_> = merge.next_fetches().iter().map(serve_fetch).collect();
        let arrived = pages.iter().flat_map(|fetched| &fetched.page);
        features_read += arrived.map(|page| page.returned_count).sum::<usize>();
        assert!(merge.selected_count() <= limit);
        match merge.accept(pages) {
            MergeProgress::NeedsPages => {}
            progress => {
                assert_eq!(progress, MergeProgress::Finished);
                return features_read;
            }
        }
    }
}

/// Runs the rounds of a response until it ends. `failures` has an entry for each fetch: whether it
/// fails. Fetches after the last entry succeed.
fn finish_with_failures(
    merge: &mut SortedMerge,
    shards: &[Vec<ModelFeature>],
    failures: &mut impl Iterator<Item = bool>,
) -> MergeProgress {
    loop {
        let pages = merge.next_fetches().into_iter().map(|fetch| {
            let fails = failures.next().unwrap_or(false);
            fetch.fetched_page((!fails).then(|| Arc::new(serve(&shards[fetch.shard], &fetch))))
        });
        match merge.accept(pages.collect()) {
            MergeProgress::NeedsPages => {}
            progress => return progress,
        }
    }
}

/// Builds all responses of a query over shards that are in the order of the query or not.
fn run(shards: &[Vec<ModelFeature>], sorted: &[bool], query: &SortedQuery) -> QueryResult {
    run_with(shards, &agreed(sorted), query)
}

/// Builds all responses of a query.
fn run_with(
    shards: &[Vec<ModelFeature>],
    agreed: &[AgreedColumns],
    query: &SortedQuery,
) -> QueryResult {
    let mut result = QueryResult {
        ids: Vec::new(),
        features_read: 0,
    };
    let mut after = None;
    loop {
        let query = SortedQuery {
            after,
            ..query.clone()
        };
        let limit = query.limit;
        let mut merge = SortedMerge::new(query, agreed.to_vec());
        result.features_read += finish(&mut merge, shards, limit);
        let page = merge.to_page();
        assert!(page.returned_count <= limit);
        result.ids.extend(ids(&page));
        after = merge.resume_after();
        if after.is_none() {
            return result;
        }
    }
}

fn sorted_features(shards: &[Vec<ModelFeature>], descending: bool) -> Vec<ModelFeature> {
    let mut all: Vec<_> = shards.concat();
    all.sort_by_key(|feature| feature.sort_key(descending));
    all
}

fn sorted_ids(shards: &[Vec<ModelFeature>], descending: bool) -> Vec<usize> {
    let all = sorted_features(shards, descending);
    all.into_iter().map(|feature| feature.id).collect()
}

/// Returns shards of features with these keys. The identifiers count up from 1.
fn shards_with(keys: Vec<Vec<Option<i64>>>) -> Vec<Vec<ModelFeature>> {
    let mut id = 0;
    let mut feature = |key| {
        id += 1;
        ModelFeature { key, id }
    };
    let shard = |keys: Vec<Option<i64>>| keys.into_iter().map(&mut feature).collect();
    keys.into_iter().map(shard).collect()
}

/// Returns a strategy for the sort keys of a shard's features. Some features have no key.
fn shard_keys() -> impl Strategy<Value = Vec<Option<i64>>> {
    proptest::collection::vec(proptest::option::weighted(0.9, -5_i64..5), 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    })]

    #[test]
    fn all_features_are_returned_once_and_in_order(
        keys in proptest::collection::vec(shard_keys(), 1..5),
        limit in 1_usize..30,
        page_size in 1_usize..20,
        descending: bool,
        sorted in proptest::collection::vec(any::<bool>(), 5),
    ) {
        let mut shards = shards_with(keys);
        for (shard, _) in shards.iter_mut().zip(&sorted).filter(|(_, sorted)| **sorted) {
            shard.sort_by_key(|feature: &ModelFeature| feature.sort_key(descending));
        }
        let keys = vec![SortKey { property: "k".into(), descending }];
        let query = SortedQuery { keys, ..query(limit, page_size, 100_000, 1.0) };
        let result = run(&shards, &sorted[..shards.len()], &query);
        prop_assert_eq!(result.ids, sorted_ids(&shards, descending));
    }
}

/// Returns the features in the order of a server that sorts by the key alone. Features with equal
/// keys are in the order of `ranks`, and those without a key come first or last.
fn in_server_order(
    shard: &[ModelFeature],
    descending: bool,
    missing_first: bool,
    ranks: &[u8],
) -> Vec<ModelFeature> {
    let mut features = shard.to_vec();
    features.sort_by_key(|feature| {
        let key = feature.key.map(|key| if descending { -key } else { key });
        (
            key.is_none() != missing_first,
            key,
            ranks[feature.id % ranks.len()],
        )
    });
    features
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    /// Guards against features that are in no response, since servers order features with equal
    /// keys, or without a key, differently from the front.
    #[test]
    fn servers_may_place_equal_and_missing_keys_in_any_order(
        keys in proptest::collection::vec(shard_keys(), 1..4),
        limit in 1_usize..12,
        page_size in 1_usize..20,
        descending: bool,
        missing_first: bool,
        ranks in proptest::collection::vec(any::<u8>(), 1..9),
    ) {
        let shards: Vec<_> = shards_with(keys)
            .iter()
            .map(|shard| in_server_order(shard, descending, missing_first, &ranks))
            .collect();
        let keys = vec![SortKey { property: "k".into(), descending }];
        let query = SortedQuery { keys, ..query(limit, page_size, 100_000, 1.0) };
        let agreed = vec![vec![ColumnKind::Number]; shards.len()];
        let result = run_with(&shards, &agreed, &query);
        prop_assert_eq!(result.ids, sorted_ids(&shards, descending));
    }
}

/// Guards against a response that has features of a shard that it reports as missing, instead of
/// features of another shard that were dropped because of them.
#[test]
fn a_missing_shard_contributes_no_features() {
    let features = |keys: &[i64], next| page(next, keys);
    let mut merge = SortedMerge::new(query(2, 2, 10, 0.5), agreed(&[false, false]));
    let first_pages = vec![
        fetched(0, 2, features(&[1, 2], Some("a"))),
        fetched(1, 2, features(&[3, 4], None)),
    ];
    assert_eq!(merge.accept(first_pages), MergeProgress::NeedsPages);
    let progress = merge.accept(vec![fetched(0, 2, None)]);
    assert_eq!(progress, MergeProgress::NeedsPages, "shard 1 is read again");
    let fetches = merge.next_fetches();
    assert_eq!((fetches.len(), fetches[0].shard), (1, 1));
    let progress = merge.accept(vec![fetched(1, 2, features(&[3, 4], None))]);
    assert_eq!(progress, MergeProgress::Finished);
    assert_eq!(merge.missing_shards(), [0]);
    assert_eq!(sort_keys(&merge.to_page()), [3, 4]);
    assert_eq!(merge.resume_after(), None);
}

/// Returns the sort keys of a page's features.
fn sort_keys(page: &FeaturePage) -> Vec<i64> {
    let key = |range: &std::ops::Range<usize>| {
        let json: Json =
            serde_json::from_slice(&page.body[range.clone()]).expect("a feature is valid JSON");
        json["properties"]["k"]
            .as_i64()
            .expect("the key is an integer")
    };
    page.features.iter().map(key).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    })]

    /// Guards against responses that have features of a shard that they report as missing, or that
    /// omit features of the other shards.
    #[test]
    fn missing_shards_contribute_no_features(
        keys in proptest::collection::vec(shard_keys(), 1..5),
        limit in 1_usize..30,
        page_size in 1_usize..20,
        idempotent: bool,
        sorted in proptest::collection::vec(any::<bool>(), 5),
        failures in proptest::collection::vec(proptest::bool::weighted(0.2), 40),
    ) {
        let mut shards = shards_with(keys);
        for (shard, _) in shards.iter_mut().zip(&sorted).filter(|(_, sorted)| **sorted) {
            shard.sort_by_key(|feature: &ModelFeature| feature.sort_key(false));
        }
        let mut failures = failures.into_iter();
        let mut after = None;
        let mut last_returned = None;
        loop {
            let query = SortedQuery { idempotent, after, ..query(limit, page_size, 100_000, 0.0) };
            let mut merge = SortedMerge::new(query, agreed(&sorted[..shards.len()]));
            let progress = finish_with_failures(&mut merge, &shards, &mut failures);
            if progress == MergeProgress::Failed {
                prop_assert!(!idempotent, "the query failed although the other shards could be read again");
                break;
            }
            let missing = merge.missing_shards();
            let available: Vec<Vec<ModelFeature>> = shards.iter().enumerate()
                .filter(|(shard, _)| !missing.contains(shard))
                .map(|(_, features)| features.clone())
                .collect();
            let all = sorted_features(&available, false);
            let follows = |feature: &&ModelFeature| last_returned < Some(feature.sort_key(false));
            let expected: Vec<usize> = all.iter().filter(follows).map(|feature| feature.id).collect();
            let returned = ids(&merge.to_page());
            prop_assert!(returned.len() <= limit);
            prop_assert_eq!(&returned[..], &expected[..returned.len()]);
            let Some(position) = merge.resume_after() else {
                prop_assert_eq!(returned, expected);
                break;
            };
            let last = returned.last().expect("a response before the last has features");
            let last = all.iter().find(|feature| feature.id == *last).expect("the last feature is in an available shard");
            last_returned = Some(last.sort_key(false));
            after = Some(position);
        }
    }
}

#[test]
fn pages_of_sorted_shards_are_fetched_only_while_needed() {
    let feature = |shard: usize, n: usize| ModelFeature {
        key: Some(n as i64 * 4 + shard as i64),
        id: shard * 1_000 + n,
    };
    let shards: Vec<Vec<_>> = (0..4)
        .map(|shard| (0..1_000).map(|n| feature(shard, n)).collect())
        .collect();
    let merge = SortedMerge::new(query(20, 500, 10, 1.0), agreed(&[true; 4]));
    assert_eq!(
        merge
            .next_fetches()
            .iter()
            .map(|fetch| fetch.page_size)
            .sum::<usize>(),
        80
    );
    let result = run(&shards, &[true; 4], &query(4_000, 500, 100_000, 1.0));
    assert_eq!((result.ids.len(), result.features_read), (4_000, 4_000));
}

/// Returns a page of features with these keys, which are also their identifiers.
fn page(next: Option<&str>, keys: &[i64]) -> Option<Arc<FeaturePage>> {
    let texts = keys
        .iter()
        .map(|key| format!(r#"{{"id":{key},"properties":{{"k":{key}}}}}"#));
    Some(Arc::new(FeaturePage {
        next_target: next.map(str::to_owned),
        ..page_of(texts)
    }))
}

#[test]
fn missing_shards_too_many_pages_and_unsorted_pages_are_handled() {
    let one_missing = || vec![fetched(0, 5, page(None, &[1])), fetched(1, 5, None)];
    let mut merge = SortedMerge::new(query(5, 10, 10, 1.0), agreed(&[true, true]));
    assert_eq!(merge.accept(one_missing()), MergeProgress::Failed);
    let mut merge = SortedMerge::new(query(5, 10, 10, 0.5), agreed(&[true, true]));
    assert_eq!(merge.accept(one_missing()), MergeProgress::Finished);
    assert_eq!(
        (merge.missing_shards(), merge.resume_after()),
        (vec![1], None)
    );
    let mut merge = SortedMerge::new(query(1, 10, 3, 1.0), agreed(&[false]));
    assert_eq!(
        merge.accept(vec![fetched(0, 5, page(Some("a"), &[3]))]),
        MergeProgress::NeedsPages
    );
    assert_eq!(
        merge.accept(vec![fetched(0, 5, page(Some("b"), &[2]))]),
        MergeProgress::NeedsPages
    );
    assert_eq!(
        merge.accept(vec![fetched(0, 5, page(Some("c"), &[1]))]),
        MergeProgress::TooManyPages
    );
    // The server declares that it returns features in order but does not do so. Its shard is read
    // to the end.
    let mut merge = SortedMerge::new(query(2, 10, 9, 1.0), agreed(&[true]));
    assert_eq!(
        merge.accept(vec![fetched(0, 2, page(Some("a"), &[5, 4]))]),
        MergeProgress::NeedsPages
    );
    assert_eq!(
        merge.accept(vec![fetched(0, 2, page(None, &[1, 2]))]),
        MergeProgress::Finished
    );
    assert_eq!(
        merge
            .resume_after()
            .map(|position| position.values[0].clone()),
        Some(2.into())
    );
}

/// Guards against a cycle of links that is followed until the maximum number of pages is reached,
/// so that the client receives the error that there are too many features to sort.
#[test]
fn a_shard_with_a_cycle_of_two_links_is_missing() {
    let mut merge = SortedMerge::new(query(5, 10, 100, 0.5), agreed(&[false, false]));
    let first_pages = vec![
        fetched(0, 5, page(Some("a"), &[1])),
        fetched(1, 5, page(None, &[2])),
    ];
    let mut progress = merge.accept(first_pages);
    for next in ["b", "a", "b"] {
        assert_eq!(progress, MergeProgress::NeedsPages);
        progress = merge.accept(vec![fetched(0, 5, page(Some(next), &[3]))]);
        if progress != MergeProgress::NeedsPages {
            break;
        }
    }
    assert_eq!(progress, MergeProgress::Finished);
    assert_eq!(merge.missing_shards(), [0]);
    assert_eq!(sort_keys(&merge.to_page()), [2]);
}
