//! Which pages of which shards an answer is made from: a decision of its own, free of input and output.
//!
//! An answer begins at a [`Position`] and takes features in the order of the shards until its limit. It is made in rounds:
//! [`Gather::asks`] names the pages wanted next, [`Gather::take`] takes in what came of them. Pages are taken whole, so that
//! a client that follows `next` to the end has each of them read once: sizes are chosen so that a page boundary falls on
//! the limit, and an answer ends early, with a `next` link, rather than begin a page that it could not use up.

use super::page::{FeaturePage, PageFetch, PageLocation, ResumePosition};
use crate::coordinator::invariant;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::ops::Range;
use std::sync::Arc;

/// An answer that has this share of its limit ends at a shard's end rather than begin the next shard with a small page,
/// whose links would go on with that size. Requests stay under 1 / (1 - this) times the pages there are.
const SHORT_ENOUGH: f64 = 0.15;
/// A first page under this share of the size that is wanted was a look only: the shard is asked anew, in larger pages.
const LOOK: f64 = 0.25;
/// Shards asked beside the present one when nothing is known of their size: doubled each round.
const FIRST_AHEAD: usize = 1;
/// Most shards asked in a round beside the present one.
const MAX_AHEAD: usize = 32;

/// What bounds an answer.
#[derive(Debug, Clone, Copy)]
pub struct PagingLimits {
    /// Most features.
    pub limit: usize,
    /// Most features asked of a server at a time.
    pub page_size: usize,
    /// A first answer asks up to so many shards at once: it tells how many match in all, and which shards are missing.
    pub max_initial_shards: usize,
    /// Most pages of one answer.
    pub max_pages: usize,
    /// Most bytes of one answer.
    pub max_bytes: usize,
    /// Pages are thinned here: servers give more than is wanted.
    pub filtered_locally: bool,
    /// Least share of the shards asked that an answer may be given from.
    pub min_shard_share: f64,
    /// A shard that breaks off may be begun anew, if its begin is in this answer: nothing of it was given yet.
    pub idempotent: bool,
}

/// How far an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConcatProgress {
    /// Another round is wanted.
    NeedsPages,
    /// The answer is ready.
    Complete,
    /// None can be given: too many shards are missing, and nothing is in.
    Failed,
}

#[derive(Debug, Default)]
struct ShardState {
    /// A page that is in and not used yet, and the size that was asked for.
    unused_page: Option<(Arc<FeaturePage>, usize)>,
    /// The count that its server told, and whether it told different ones.
    number_matched: Option<u64>,
    inconsistent_count: bool,
    missing: bool,
    /// Features passed before and in this answer.
    used_features: u64,
}

/// An answer that is being made.
#[derive(Debug)]
pub struct ConcatMerge {
    limits: PagingLimits,
    start: ResumePosition,
    position: ResumePosition,
    shards: Vec<ShardState>,
    /// What the answer holds: the features of these pages.
    pub slices: Vec<(Arc<FeaturePage>, Range<usize>)>,
    count: usize,
    fetched_bytes: usize,
    fetched_pages: usize,
    lookahead: usize,
    hasher: RandomState,
    /// The features of the present shard, and how much was in the answer when it was begun; `None`: in an earlier one.
    seen_ids: HashSet<u64>,
    shard_checkpoint: Option<(usize, usize)>,
    /// Shards that were begun anew.
    restarts: usize,
    /// Where the last of them broke off: another server is to be asked from its begin on.
    pub interrupted: Option<(usize, Arc<str>)>,
    /// Links that were followed.
    followed_links: HashSet<u64>,
    /// Features that a server gave twice.
    pub duplicates: usize,
}

impl ConcatMerge {
    /// An answer from this position on, over so many shards.
    pub fn new(wanted: PagingLimits, from: ResumePosition, shards: usize) -> Self {
        ConcatMerge {
            limits: wanted,
            position: from.clone(),
            shards: (0..shards).map(|_| ShardState::default()).collect(),
            slices: Vec::new(),
            count: 0,
            fetched_bytes: 0,
            fetched_pages: 0,
            lookahead: FIRST_AHEAD,
            hasher: RandomState::new(),
            seen_ids: HashSet::new(),
            shard_checkpoint: (from.location == PageLocation::ShardStart && from.skip == 0).then_some((0, 0)),
            restarts: 0,
            interrupted: None,
            followed_links: HashSet::new(),
            duplicates: 0,
            start: from,
        }
    }

    fn remaining(&self) -> usize {
        self.limits.limit - self.count
    }

    /// The size of pages for a shard that is begun now, so that they fit what is wanted.
    fn initial_page_size(&self, need: usize) -> usize {
        if self.limits.filtered_locally {
            return self.limits.page_size;
        }
        let pages = need.div_ceil(self.limits.page_size).max(1);
        need.div_ceil(pages).max(1)
    }

    /// The pages wanted next; none if a page that is here must be used first.
    pub fn next_fetches(&self) -> Vec<PageFetch> {
        let mut asks = Vec::new();
        if self.is_exhausted() {
            return asks;
        }
        let here = self.position.shard;
        if self.shards[here].unused_page.is_none() {
            let size = match &self.position.location {
                PageLocation::ShardStart => self.initial_page_size(self.remaining()),
                PageLocation::NextLink { page_size, .. } => *page_size,
            };
            asks.push(PageFetch { shard: here, location: self.position.location.clone(), page_size: size });
        }
        let shards = self.shards.len();
        if self.start == ResumePosition::START
            && self.fetched_pages == 0
            && shards <= self.limits.max_initial_shards
        {
            // Small sets are whole after one round, and of large ones the count is known.
            let size = if self.limits.filtered_locally {
                self.limits.page_size
            } else {
                self.limits.limit.div_ceil(shards)
            };
            let size = size.min(self.limits.page_size);
            asks.extend((here + 1..shards).map(|shard| PageFetch {
                shard,
                location: PageLocation::ShardStart,
                page_size: size,
            }));
            return asks;
        }
        if self.position.location != PageLocation::ShardStart {
            return asks;
        }
        // Further shards, as far as those before them will not do.
        let mut left = self.remaining() as u64;
        let mut unknown = 0;
        for shard in here..shards {
            let seen = &self.shards[shard];
            if shard > here && seen.unused_page.is_none() && !seen.missing {
                let size = self.initial_page_size(left.max(1) as usize);
                asks.push(PageFetch { shard, location: PageLocation::ShardStart, page_size: size });
            }
            match seen.number_matched {
                Some(matched) => left = left.saturating_sub(matched),
                None => unknown += 1,
            }
            if left == 0 || unknown > self.lookahead || asks.len() > MAX_AHEAD {
                break;
            }
        }
        asks
    }

    /// Takes in what came of a round's pages: of each ask its shard, the size asked for and the page, or nothing.
    pub fn accept(
        &mut self,
        came: Vec<(usize, usize, Option<Arc<FeaturePage>>)>,
        id: impl Fn(&[u8]) -> u64,
    ) -> ConcatProgress {
        self.fetched_pages += came.len();
        self.lookahead = (self.lookahead * 2).min(MAX_AHEAD);
        for (shard, size, page) in came {
            let seen = &mut self.shards[shard];
            match page {
                None => seen.missing = true,
                Some(page) => {
                    let told = page.number_matched;
                    seen.inconsistent_count |=
                        seen.number_matched.is_some() && told.is_some() && seen.number_matched != told;
                    seen.number_matched = told.or(seen.number_matched);
                    self.fetched_bytes += page.body.len();
                    seen.unused_page = Some((page, size));
                }
            }
        }
        self.consume_pages(&id)
    }

    /// Uses the pages that are in, in order.
    fn consume_pages(&mut self, id: &impl Fn(&[u8]) -> u64) -> ConcatProgress {
        loop {
            let shards = self.shards.len();
            let here = self.position.shard;
            if here >= shards {
                return ConcatProgress::Complete;
            }
            if self.shards[here].missing && self.restart_shard() {
                return ConcatProgress::NeedsPages;
            }
            if self.shards[here].missing && self.limits.min_shard_share >= 1.0 {
                // What is in stays good, and its next link leads to where it broke off.
                return if self.count > 0 { ConcatProgress::Complete } else { ConcatProgress::Failed };
            }
            if self.shards[here].missing {
                self.advance_shard();
                continue;
            }
            let Some((page, size)) = self.shards[here].unused_page.take() else {
                return self.progress_without_page();
            };
            let begun = self.position.location != PageLocation::ShardStart || here == self.start.shard;
            let need = self.remaining();
            let more = page.next_target.is_some();
            // What must not run twice is not begun anew: it goes on in the pages that it has.
            if more && !begun && !self.limits.filtered_locally && self.limits.idempotent {
                let look = (size as f64) < LOOK * self.initial_page_size(need) as f64;
                let filled = self.count as f64 >= SHORT_ENOUGH * self.limits.limit as f64;
                let small = size < self.initial_page_size(self.limits.limit);
                // Begun anew, in pages that fit: by the next answer, or by this one.
                if need == 0 || (small && filled) {
                    return ConcatProgress::Complete;
                }
                if look {
                    return self.progress_without_page();
                }
            }
            // A page that is read again may be shorter than it was: the next one has the rest of what was given.
            let skip = self.position.skip.min(page.features.len());
            self.position.skip -= skip;
            let (used, fresh) = self.append(&page, skip, id);
            self.shards[here].used_features += fresh as u64;
            if used > skip && fresh == 0 && more {
                // Pages that bring nothing new may come for ever.
                self.shards[here].missing = true;
                continue;
            }
            if used < page.features.len() {
                // The server gave more than was asked for, or it is thinned here: the rest is read again.
                self.position.skip = used;
                return ConcatProgress::Complete;
            }
            match page.next_location() {
                None => self.advance_shard(),
                Some(link) => {
                    if !self.followed_links.insert(self.hasher.hash_one((
                        here,
                        &page.server,
                        &page.next_target,
                    ))) {
                        // It leads in a circle: what is in is all that can be had of this shard.
                        self.shards[here].missing = true;
                        continue;
                    }
                    self.position.location = link;
                }
            }
            if self.remaining() == 0 && !self.is_exhausted() {
                return ConcatProgress::Complete;
            }
            if let PageLocation::NextLink { page_size, .. } = &self.position.location {
                if *page_size > self.remaining() && !self.limits.filtered_locally && self.count > 0 {
                    return ConcatProgress::Complete;
                }
            }
        }
    }

    /// The present shard broke off at the server that knows how it goes on. Another one may have it in another order, so
    /// there it can only be begun anew: once, and only if no feature of it was given in an earlier answer.
    fn restart_shard(&mut self) -> bool {
        let Some((taken, count)) =
            self.shard_checkpoint.filter(|_| self.limits.idempotent && self.restarts == 0)
        else {
            return false;
        };
        let PageLocation::NextLink { server, .. } = &self.position.location else { return false };
        self.interrupted = Some((self.position.shard, server.clone()));
        self.restarts += 1;
        self.slices.truncate(taken);
        self.count = count;
        self.seen_ids.clear();
        self.followed_links.clear();
        self.shards[self.position.shard] = ShardState::default();
        self.position =
            ResumePosition { shard: self.position.shard, location: PageLocation::ShardStart, skip: 0 };
        true
    }

    fn is_exhausted(&self) -> bool {
        self.position.shard >= self.shards.len()
    }

    fn advance_shard(&mut self) {
        self.position =
            ResumePosition { shard: self.position.shard + 1, location: PageLocation::ShardStart, skip: 0 };
        self.shard_checkpoint = Some((self.slices.len(), self.count));
        self.seen_ids.clear();
    }

    fn progress_without_page(&self) -> ConcatProgress {
        let spent =
            self.fetched_pages >= self.limits.max_pages || self.fetched_bytes >= self.limits.max_bytes;
        if self.remaining() == 0 || (spent && (self.count > 0 || self.limits.filtered_locally)) {
            ConcatProgress::Complete
        } else if spent {
            ConcatProgress::Failed
        } else {
            ConcatProgress::NeedsPages
        }
    }

    /// Features of a page from here on into the answer, until its limit; what a server gives twice is passed over. Up to
    /// where the page is used, and how many were new.
    fn append(
        &mut self,
        page: &Arc<FeaturePage>,
        start: usize,
        id: &impl Fn(&[u8]) -> u64,
    ) -> (usize, usize) {
        let (mut from, mut at, before) = (start, start, self.count);
        while at < page.features.len() {
            let key = id(&page.body[page.features[at].clone()]);
            let known = key != 0 && self.seen_ids.contains(&key);
            if !known && self.remaining() == 0 {
                break;
            }
            if known {
                self.duplicates += 1;
                if from < at {
                    self.slices.push((page.clone(), from..at));
                }
                from = at + 1;
            } else {
                self.seen_ids.insert(key);
                self.count += 1;
            }
            at += 1;
        }
        if from < at {
            self.slices.push((page.clone(), from..at));
        }
        invariant(self.count <= self.limits.limit, "an answer beyond its limit");
        (at, self.count - before)
    }

    /// Features in the answer.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The shards that could not be asked, of those that the answer passed or needed.
    pub fn missing_shards(&self) -> Vec<usize> {
        (0..self.shards.len()).filter(|n| self.shards[*n].missing).collect()
    }

    /// Enough of the shards are in: those that the answer passed over count, not the one that it ends at.
    pub fn has_enough_shards(&self) -> bool {
        let all = self.shards.len() as f64;
        let passed = self.missing_shards().iter().filter(|n| **n < self.position.shard).count() as f64;
        (all - passed) / all.max(1.0) + 1e-6 >= self.limits.min_shard_share
    }

    /// Nothing that belongs into this answer is missing from it.
    pub fn is_complete(&self) -> bool {
        self.missing_shards().iter().all(|n| *n >= self.position.shard)
    }

    /// Where the next answer begins; `None` after the last feature.
    pub fn resume_position(&self) -> Option<&ResumePosition> {
        (!self.is_exhausted()).then_some(&self.position)
    }

    /// How many match in all: only where every server told it, or gave all it has.
    pub fn number_matched(&self) -> Option<u64> {
        if self.start != ResumePosition::START || self.limits.filtered_locally || self.duplicates > 0 {
            return None;
        }
        let of = |(n, seen): (usize, &ShardState)| match seen {
            ShardState { inconsistent_count: true, .. } | ShardState { missing: true, .. } => None,
            ShardState { number_matched: Some(told), .. } => Some(*told),
            // It gave all it has.
            ShardState { used_features: used, .. } if n < self.position.shard => Some(*used),
            _ => None,
        };
        self.shards.iter().enumerate().map(of).sum()
    }
}

#[cfg(test)]
mod tests;
