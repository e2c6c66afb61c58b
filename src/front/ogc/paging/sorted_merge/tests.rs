//! Sorted merges against a model of sorted and unsorted shards.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Shards of features `(key, id)`, given in pages; those of `ordered` in order.
fn run(
    shards: &[Vec<(Option<i64>, usize)>],
    ordered: &[bool],
    limit: usize,
    page: usize,
    down: bool,
) -> (Vec<usize>, usize) {
    let by = vec![SortKey { property: "k".into(), descending: down }];
    let text = |f: &(Option<i64>, usize)| match f.0 {
        Some(k) => format!(r#"{{"id":"d{:05}","properties":{{"k":{k}}}}}"#, f.1),
        None => format!(r#"{{"id":"d{:05}","properties":{{}}}}"#, f.1),
    };
    let (mut all, mut after, mut read) = (Vec::new(), None, 0);
    loop {
        let mut ranking = SortedMerge::new(by.clone(), limit, page, 100_000, 1.0, after, ordered);
        loop {
            let asks = ranking.next_fetches();
            let came = asks.iter().map(|ask| {
                let from = match &ask.location {
                    PageLocation::ShardStart => 0,
                    PageLocation::NextLink { target, .. } => target.parse::<usize>().expect("a number"),
                };
                let features = &shards[ask.shard][from.min(shards[ask.shard].len())..];
                let to = ask.page_size.min(features.len());
                read += to;
                let mut page = FeaturePage::default();
                for f in &features[..to] {
                    let at = page.body.len();
                    page.body.extend(text(f).bytes());
                    page.features.push(at..page.body.len());
                }
                page.returned_count = to;
                page.next_target = (to < features.len()).then(|| (from + to).to_string());
                (ask.shard, ask.page_size, Some(Arc::new(page)))
            });
            let came: Vec<_> = came.collect();
            assert!(ranking.selected_count() <= limit);
            match ranking.accept(came) {
                SortedProgress::NeedsPages => {}
                step => {
                    assert_eq!(step, SortedProgress::Complete);
                    break;
                }
            }
        }
        let page = ranking.to_page();
        assert!(page.returned_count <= limit);
        all.extend(page.features.iter().map(|r| {
            let json: Json = serde_json::from_slice(&page.body[r.clone()]).expect("JSON");
            json["id"].as_str().expect("an id")[1..].parse::<usize>().expect("a number")
        }));
        after = ranking.resume_after();
        if after.is_none() {
            return (all, read);
        }
    }
}

fn sorted(shards: &[Vec<(Option<i64>, usize)>], down: bool) -> Vec<usize> {
    let mut all: Vec<_> = shards.concat();
    all.sort_by_key(|f| (f.0.is_none(), f.0.map(|k| if down { -k } else { k }), f.1));
    all.into_iter().map(|f| f.1).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn all_features_come_once_in_order(
        keys in proptest::collection::vec(proptest::collection::vec(proptest::option::weighted(0.9, -5_i64..5), 0..40), 1..5),
        limit in 1_usize..30, page in 1_usize..20, down: bool, promised in proptest::collection::vec(any::<bool>(), 5),
    ) {
        let mut id = 0;
        let mut shards: Vec<Vec<_>> = keys.into_iter().map(|keys| keys.into_iter().map(|k| { id += 1; (k, id) }).collect()).collect();
        for (shard, _) in shards.iter_mut().zip(&promised).filter(|(_, p)| **p) {
            shard.sort_by_key(|f: &(Option<i64>, usize)| (f.0.is_none(), f.0.map(|k| if down { -k } else { k }), f.1));
        }
        let (all, _) = run(&shards, &promised[..shards.len()], limit, page, down);
        prop_assert_eq!(all, sorted(&shards, down));
    }
}

#[test]
fn ordered_shards_are_read_no_further_than_needed() {
    let shards: Vec<Vec<_>> = (0..4)
        .map(|s| (0..1_000).map(|n| (Some(n as i64 * 4 + s as i64), s * 1_000 + n)).collect())
        .collect();
    let by = vec![SortKey { property: "k".into(), descending: false }];
    let ranking = SortedMerge::new(by, 20, 500, 10, 1.0, None, &[true; 4]);
    assert_eq!(ranking.next_fetches().iter().map(|a| a.page_size).sum::<usize>(), 80);
    let (all, read) = run(&shards, &[true; 4], 4_000, 500, false);
    assert_eq!((all.len(), read), (4_000, 4_000));
}

#[test]
fn missing_shards_endless_pages_and_broken_promises_are_met() {
    let by = || vec![SortKey { property: "k".into(), descending: false }];
    let page = |next: Option<&str>, keys: &[i64]| {
        let mut page = FeaturePage { next_target: next.map(str::to_owned), ..FeaturePage::default() };
        for k in keys {
            let at = page.body.len();
            page.body.extend(format!(r#"{{"id":{k},"properties":{{"k":{k}}}}}"#).bytes());
            page.features.push(at..page.body.len());
        }
        page.returned_count = keys.len();
        Some(Arc::new(page))
    };
    let mut ranking = SortedMerge::new(by(), 5, 10, 10, 1.0, None, &[true, true]);
    assert_eq!(ranking.accept(vec![(0, 5, page(None, &[1])), (1, 5, None)]), SortedProgress::TooFewShards);
    let mut ranking = SortedMerge::new(by(), 5, 10, 10, 0.5, None, &[true, true]);
    assert_eq!(ranking.accept(vec![(0, 5, page(None, &[1])), (1, 5, None)]), SortedProgress::Complete);
    assert_eq!((ranking.missing_shards(), ranking.resume_after()), (vec![1], None));
    let mut ranking = SortedMerge::new(by(), 1, 10, 3, 1.0, None, &[false]);
    assert_eq!(ranking.accept(vec![(0, 5, page(Some("a"), &[3]))]), SortedProgress::NeedsPages);
    assert_eq!(ranking.accept(vec![(0, 5, page(Some("b"), &[2]))]), SortedProgress::NeedsPages);
    assert_eq!(ranking.accept(vec![(0, 5, page(Some("c"), &[1]))]), SortedProgress::TooManyPages);
    // Said to be in order, and is not: reading goes on.
    let mut ranking = SortedMerge::new(by(), 2, 10, 9, 1.0, None, &[true]);
    assert_eq!(ranking.accept(vec![(0, 2, page(Some("a"), &[5, 4]))]), SortedProgress::NeedsPages);
    assert_eq!(ranking.accept(vec![(0, 2, page(None, &[1, 2]))]), SortedProgress::Complete);
    assert_eq!(ranking.resume_after().map(|k| k[0].clone()), Some(2.into()));
}
