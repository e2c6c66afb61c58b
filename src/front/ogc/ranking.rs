//! An ordered answer over shards: the least features after a place in the order, in bounded memory.
//!
//! A decision of its own, like `paging`: pages go in, the next asks and the answer come out. Where servers give a shard in
//! order, its pages are merged and reading stops as soon as nothing that matters can follow. Where they do not, the shard is
//! read to its end, and what is not among the least is dropped at once.

use super::paging::{FeaturePage, PageFetch, PageLocation};
use serde_json::Value as Json;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Shards asked at a time.
const MAX_AT_ONCE: usize = 8;

/// One key of the order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortKey {
    /// The property.
    pub property: String,
    /// The largest first.
    pub descending: bool,
}

/// Sort keys in the text that cursors are bound to. Its hash is in the cursors that clients hold, so the text stays as it
/// is whatever the type and its fields are called.
pub(super) struct BoundSortKeys<'a>(pub &'a [SortKey]);

impl fmt::Debug for BoundSortKeys<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(BoundSortKey)).finish()
    }
}

struct BoundSortKey<'a>(&'a SortKey);

impl fmt::Debug for BoundSortKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SortKey { property, descending } = self.0;
        f.debug_struct("By").field("name", property).field("descending", descending).finish()
    }
}

/// Where a feature stands in the order: the values of its keys, then its id and shard, so that no two stand alike.
#[derive(Debug, Clone, PartialEq)]
pub struct SortValues {
    /// The keys' values, the id last.
    pub keys: Vec<Json>,
    down: Arc<[bool]>,
    shard: usize,
}

impl Eq for SortValues {}

impl PartialOrd for SortValues {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SortValues {
    fn cmp(&self, other: &Self) -> Ordering {
        let keys = self.keys.iter().zip(&other.keys).enumerate().map(|(n, (a, b))| {
            let order = value(a, b);
            // What is missing comes last either way.
            let turned = self.down.get(n).copied().unwrap_or(false) && !a.is_null() && !b.is_null();
            if turned {
                order.reverse()
            } else {
                order
            }
        });
        keys.fold(Ordering::Equal, Ordering::then).then(self.shard.cmp(&other.shard))
    }
}

/// Numbers, text by code points, false before true, then all that has no order; nothing at all comes last.
fn value(a: &Json, b: &Json) -> Ordering {
    let kind = |v: &Json| match v {
        Json::Number(_) => 0,
        Json::String(_) => 1,
        Json::Bool(_) => 2,
        Json::Array(_) | Json::Object(_) => 3,
        Json::Null => 4,
    };
    match (a, b) {
        (Json::Number(a), Json::Number(b)) => {
            let (a, b) = (a.as_f64().unwrap_or(f64::MAX), b.as_f64().unwrap_or(f64::MAX));
            a.total_cmp(&b)
        }
        (Json::String(a), Json::String(b)) => a.cmp(b),
        (Json::Bool(a), Json::Bool(b)) => a.cmp(b),
        (a, b) => kind(a).cmp(&kind(b)),
    }
}

/// A feature's rank. `None`: it is no JSON.
fn rank(feature: &[u8], by: &[SortKey], down: &Arc<[bool]>, shard: usize) -> Option<SortValues> {
    let json: Json = serde_json::from_slice(feature).ok()?;
    let seen = super::cql2::Feature(&json);
    let mut keys: Vec<Json> =
        by.iter().map(|b| seen.value(&b.property).cloned().unwrap_or(Json::Null)).collect();
    // Ids as text: 7 and "7" are one id in a link.
    keys.push(match &json["id"] {
        Json::Null => Json::Null,
        Json::String(id) => Json::String(id.clone()),
        id => Json::String(id.to_string()),
    });
    Some(SortValues { keys, down: down.clone(), shard })
}

/// How far it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SortedProgress {
    /// Another round is wanted.
    More,
    /// The answer is ready.
    Done,
    /// A shard is missing that must not be.
    Missing,
    /// More pages would have to be read than are allowed.
    TooMany,
}

#[derive(Debug)]
struct Shard {
    place: Option<PageLocation>,
    /// Its server gives it in this order, as far as was seen.
    ordered: bool,
    last: Option<SortValues>,
    missing: bool,
}

/// An ordered answer that is being made.
#[derive(Debug)]
pub struct SortedMerge {
    by: Vec<SortKey>,
    down: Arc<[bool]>,
    limit: usize,
    page: usize,
    pages_left: usize,
    floor: f64,
    after: Option<SortValues>,
    shards: Vec<Shard>,
    least: BTreeMap<SortValues, Arc<[u8]>>,
    /// More follows what is kept.
    more: bool,
}

impl SortedMerge {
    /// The least `limit` features after a place; `ordered`: which shards come in order. At most so many pages are read.
    pub fn new(
        by: Vec<SortKey>,
        limit: usize,
        page: usize,
        pages: usize,
        floor: f64,
        after: Option<Vec<Json>>,
        ordered: &[bool],
    ) -> Self {
        let down: Arc<[bool]> = by.iter().map(|b| b.descending).collect();
        let shard = |ordered: &bool| Shard {
            place: Some(PageLocation::ShardStart),
            ordered: *ordered,
            last: None,
            missing: false,
        };
        SortedMerge {
            // The id after the last one given may be in any shard: all of that rank were given.
            after: after.map(|keys| SortValues { keys, down: down.clone(), shard: usize::MAX }),
            by,
            down,
            limit,
            page,
            pages_left: pages,
            floor,
            shards: ordered.iter().map(shard).collect(),
            least: BTreeMap::new(),
            more: false,
        }
    }

    /// Can a shard still bring what matters?
    fn open(&self, shard: &Shard) -> bool {
        let full = self.least.len() >= self.limit;
        let beyond = || {
            shard.last.as_ref().zip(self.least.last_key_value()).is_some_and(|(last, most)| last >= most.0)
        };
        shard.place.is_some() && !(full && shard.ordered && beyond())
    }

    /// The pages wanted next.
    pub fn asks(&self) -> Vec<PageFetch> {
        let open = self.shards.iter().enumerate().filter(|(_, s)| self.open(s));
        open.take(MAX_AT_ONCE.min(self.pages_left.max(1)))
            .filter_map(|(shard, s)| {
                let place = s.place.clone()?;
                let size = match &place {
                    PageLocation::ShardStart if s.ordered => self.page.min(self.limit),
                    PageLocation::ShardStart => self.page,
                    PageLocation::NextLink { page_size, .. } => *page_size,
                };
                Some(PageFetch { shard, place, size })
            })
            .collect()
    }

    /// Takes in what came of the asks of a round.
    pub fn take(&mut self, came: Vec<(usize, usize, Option<Arc<FeaturePage>>)>) -> SortedProgress {
        self.pages_left = self.pages_left.saturating_sub(came.len());
        for (at, _, page) in came {
            let Some(page) = page else {
                self.shards[at].missing = true;
                self.shards[at].place = None;
                continue;
            };
            for feature in &page.features {
                self.put(at, &page.body[feature.clone()]);
            }
            let next = page.next_location();
            let shard = &mut self.shards[at];
            // A link that leads to where it stands would never end.
            let circle = next.is_some() && next == shard.place;
            shard.missing |= circle;
            shard.place = next.filter(|_| !circle);
        }
        let missing = self.shards.iter().filter(|s| s.missing).count() as f64;
        let all = self.shards.len().max(1) as f64;
        if (all - missing) / all + 1e-6 < self.floor {
            return SortedProgress::Missing;
        }
        match self.shards.iter().any(|s| self.open(s)) {
            false => SortedProgress::Done,
            true if self.pages_left == 0 => SortedProgress::TooMany,
            true => SortedProgress::More,
        }
    }

    fn put(&mut self, at: usize, feature: &[u8]) {
        let Some(rank) = rank(feature, &self.by, &self.down, at) else { return };
        let shard = &mut self.shards[at];
        // Promised in order and not given so: it is read to its end after all.
        shard.ordered &= shard.last.as_ref().is_none_or(|last| *last <= rank);
        shard.last = Some(rank.clone());
        if self.after.as_ref().is_some_and(|after| rank <= *after) {
            return;
        }
        if self.least.len() >= self.limit && self.least.last_key_value().is_some_and(|most| rank > *most.0) {
            self.more = true;
            return;
        }
        self.least.insert(rank, feature.into());
        if self.least.len() > self.limit {
            self.least.pop_last();
            self.more = true;
        }
    }

    /// The features, in order, as one page.
    pub fn page(&self) -> FeaturePage {
        let mut page = FeaturePage::default();
        for feature in self.least.values() {
            let from = page.body.len();
            page.body.extend_from_slice(feature);
            page.features.push(from..page.body.len());
        }
        page.returned_count = page.features.len();
        page
    }

    /// The place of the last feature, if more follows.
    pub fn next(&self) -> Option<Vec<Json>> {
        let open = self.more || self.shards.iter().any(|s| s.place.is_some());
        self.least.last_key_value().filter(|_| open).map(|l| l.0.keys.clone())
    }

    /// The shards that are missing from it.
    pub fn missing(&self) -> Vec<usize> {
        (0..self.shards.len()).filter(|n| self.shards[*n].missing).collect()
    }

    /// Most that it holds, in features.
    pub fn held(&self) -> usize {
        self.least.len()
    }
}

#[cfg(test)]
mod tests {
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
                let asks = ranking.asks();
                let came = asks.iter().map(|ask| {
                    let from = match &ask.place {
                        PageLocation::ShardStart => 0,
                        PageLocation::NextLink { target, .. } => target.parse::<usize>().expect("a number"),
                    };
                    let features = &shards[ask.shard][from.min(shards[ask.shard].len())..];
                    let to = ask.size.min(features.len());
                    read += to;
                    let mut page = FeaturePage::default();
                    for f in &features[..to] {
                        let at = page.body.len();
                        page.body.extend(text(f).bytes());
                        page.features.push(at..page.body.len());
                    }
                    page.returned_count = to;
                    page.next_target = (to < features.len()).then(|| (from + to).to_string());
                    (ask.shard, ask.size, Some(Arc::new(page)))
                });
                let came: Vec<_> = came.collect();
                assert!(ranking.held() <= limit);
                match ranking.take(came) {
                    SortedProgress::More => {}
                    step => {
                        assert_eq!(step, SortedProgress::Done);
                        break;
                    }
                }
            }
            let page = ranking.page();
            assert!(page.returned_count <= limit);
            all.extend(page.features.iter().map(|r| {
                let json: Json = serde_json::from_slice(&page.body[r.clone()]).expect("JSON");
                json["id"].as_str().expect("an id")[1..].parse::<usize>().expect("a number")
            }));
            after = ranking.next();
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
        assert_eq!(ranking.asks().iter().map(|a| a.size).sum::<usize>(), 80);
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
        assert_eq!(ranking.take(vec![(0, 5, page(None, &[1])), (1, 5, None)]), SortedProgress::Missing);
        let mut ranking = SortedMerge::new(by(), 5, 10, 10, 0.5, None, &[true, true]);
        assert_eq!(ranking.take(vec![(0, 5, page(None, &[1])), (1, 5, None)]), SortedProgress::Done);
        assert_eq!((ranking.missing(), ranking.next()), (vec![1], None));
        let mut ranking = SortedMerge::new(by(), 1, 10, 3, 1.0, None, &[false]);
        assert_eq!(ranking.take(vec![(0, 5, page(Some("a"), &[3]))]), SortedProgress::More);
        assert_eq!(ranking.take(vec![(0, 5, page(Some("b"), &[2]))]), SortedProgress::More);
        assert_eq!(ranking.take(vec![(0, 5, page(Some("c"), &[1]))]), SortedProgress::TooMany);
        // Said to be in order, and is not: reading goes on.
        let mut ranking = SortedMerge::new(by(), 2, 10, 9, 1.0, None, &[true]);
        assert_eq!(ranking.take(vec![(0, 2, page(Some("a"), &[5, 4]))]), SortedProgress::More);
        assert_eq!(ranking.take(vec![(0, 2, page(None, &[1, 2]))]), SortedProgress::Done);
        assert_eq!(ranking.next().map(|k| k[0].clone()), Some(2.into()));
    }
}
