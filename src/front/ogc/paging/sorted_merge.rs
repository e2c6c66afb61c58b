//! An ordered answer over shards: the least features after a place in the order, in bounded memory.
//!
//! A decision of its own, like `paging`: pages go in, the next asks and the answer come out. Where servers give a shard in
//! order, its pages are merged and reading stops as soon as nothing that matters can follow. Where they do not, the shard is
//! read to its end, and what is not among the least is dropped at once.

use super::page::{FeaturePage, PageFetch, PageLocation};
use super::sort_key::{rank, SortKey, SortValues};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Shards asked at a time.
const MAX_AT_ONCE: usize = 8;

/// How far it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SortedProgress {
    /// Another round is wanted.
    NeedsPages,
    /// The answer is ready.
    Complete,
    /// A shard is missing that must not be.
    TooFewShards,
    /// More pages would have to be read than are allowed.
    TooManyPages,
}

#[derive(Debug)]
struct Shard {
    location: Option<PageLocation>,
    /// Its server gives it in this order, as far as was seen.
    sorted: bool,
    last_seen: Option<SortValues>,
    missing: bool,
}

/// An ordered answer that is being made.
#[derive(Debug)]
pub struct SortedMerge {
    keys: Vec<SortKey>,
    descending: Arc<[bool]>,
    limit: usize,
    page_size: usize,
    pages_left: usize,
    min_shard_share: f64,
    after: Option<SortValues>,
    shards: Vec<Shard>,
    selected: BTreeMap<SortValues, Arc<[u8]>>,
    /// More follows what is kept.
    dropped: bool,
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
            location: Some(PageLocation::ShardStart),
            sorted: *ordered,
            last_seen: None,
            missing: false,
        };
        SortedMerge {
            // The id after the last one given may be in any shard: all of that rank were given.
            after: after.map(|keys| SortValues { values: keys, descending: down.clone(), shard: usize::MAX }),
            keys: by,
            descending: down,
            limit,
            page_size: page,
            pages_left: pages,
            min_shard_share: floor,
            shards: ordered.iter().map(shard).collect(),
            selected: BTreeMap::new(),
            dropped: false,
        }
    }

    /// Can a shard still bring what matters?
    fn can_contribute(&self, shard: &Shard) -> bool {
        let full = self.selected.len() >= self.limit;
        let beyond = || {
            shard
                .last_seen
                .as_ref()
                .zip(self.selected.last_key_value())
                .is_some_and(|(last, most)| last >= most.0)
        };
        shard.location.is_some() && !(full && shard.sorted && beyond())
    }

    /// The pages wanted next.
    pub fn next_fetches(&self) -> Vec<PageFetch> {
        let open = self.shards.iter().enumerate().filter(|(_, s)| self.can_contribute(s));
        open.take(MAX_AT_ONCE.min(self.pages_left.max(1)))
            .filter_map(|(shard, s)| {
                let place = s.location.clone()?;
                let size = match &place {
                    PageLocation::ShardStart if s.sorted => self.page_size.min(self.limit),
                    PageLocation::ShardStart => self.page_size,
                    PageLocation::NextLink { page_size, .. } => *page_size,
                };
                Some(PageFetch { shard, location: place, page_size: size })
            })
            .collect()
    }

    /// Takes in what came of the asks of a round.
    pub fn accept(&mut self, came: Vec<(usize, usize, Option<Arc<FeaturePage>>)>) -> SortedProgress {
        self.pages_left = self.pages_left.saturating_sub(came.len());
        for (at, _, page) in came {
            let Some(page) = page else {
                self.shards[at].missing = true;
                self.shards[at].location = None;
                continue;
            };
            for feature in &page.features {
                self.insert(at, &page.body[feature.clone()]);
            }
            let next = page.next_location();
            let shard = &mut self.shards[at];
            // A link that leads to where it stands would never end.
            let circle = next.is_some() && next == shard.location;
            shard.missing |= circle;
            shard.location = next.filter(|_| !circle);
        }
        let missing = self.shards.iter().filter(|s| s.missing).count() as f64;
        let all = self.shards.len().max(1) as f64;
        if (all - missing) / all + 1e-6 < self.min_shard_share {
            return SortedProgress::TooFewShards;
        }
        match self.shards.iter().any(|s| self.can_contribute(s)) {
            false => SortedProgress::Complete,
            true if self.pages_left == 0 => SortedProgress::TooManyPages,
            true => SortedProgress::NeedsPages,
        }
    }

    fn insert(&mut self, at: usize, feature: &[u8]) {
        let Some(rank) = rank(feature, &self.keys, &self.descending, at) else { return };
        let shard = &mut self.shards[at];
        // Promised in order and not given so: it is read to its end after all.
        shard.sorted &= shard.last_seen.as_ref().is_none_or(|last| *last <= rank);
        shard.last_seen = Some(rank.clone());
        if self.after.as_ref().is_some_and(|after| rank <= *after) {
            return;
        }
        if self.selected.len() >= self.limit
            && self.selected.last_key_value().is_some_and(|most| rank > *most.0)
        {
            self.dropped = true;
            return;
        }
        self.selected.insert(rank, feature.into());
        if self.selected.len() > self.limit {
            self.selected.pop_last();
            self.dropped = true;
        }
    }

    /// The features, in order, as one page.
    pub fn to_page(&self) -> FeaturePage {
        let mut page = FeaturePage::default();
        for feature in self.selected.values() {
            let from = page.body.len();
            page.body.extend_from_slice(feature);
            page.features.push(from..page.body.len());
        }
        page.returned_count = page.features.len();
        page
    }

    /// The place of the last feature, if more follows.
    pub fn resume_after(&self) -> Option<Vec<Json>> {
        let open = self.dropped || self.shards.iter().any(|s| s.location.is_some());
        self.selected.last_key_value().filter(|_| open).map(|l| l.0.values.clone())
    }

    /// The shards that are missing from it.
    pub fn missing_shards(&self) -> Vec<usize> {
        (0..self.shards.len()).filter(|n| self.shards[*n].missing).collect()
    }

    /// Most that it holds, in features.
    pub fn selected_count(&self) -> usize {
        self.selected.len()
    }
}

#[cfg(test)]
mod tests;
