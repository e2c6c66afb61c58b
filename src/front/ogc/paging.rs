//! Which pages of which shards an answer is made from: a decision of its own, free of input and output.
//!
//! An answer begins at a [`Position`] and takes features in the order of the shards until its limit. It is made in rounds:
//! [`Gather::asks`] names the pages wanted next, [`Gather::take`] takes in what came of them. Pages are taken whole, so that
//! a client that follows `next` to the end has each of them read once: sizes are chosen so that a page boundary falls on
//! the limit, and an answer ends early, with a `next` link, rather than begin a page that it could not use up.

use crate::coordinator::check_invariant;
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

/// A page as a server gave it.
#[derive(Debug, Default)]
pub struct Page {
    /// The server's name.
    pub server: Arc<str>,
    /// Its body.
    pub body: Vec<u8>,
    /// Where the features stand in it that pass what is filtered here.
    pub features: Vec<Range<usize>>,
    /// Features in it, those that do not pass included.
    pub given: usize,
    /// Where it goes on, at the same server: path and query.
    pub next: Option<String>,
    /// How many match in all at that server, as it says.
    pub matched: Option<u64>,
}

impl Page {
    /// Where its shard is gone on with after it; its pages hold what this one holds, whatever was asked for.
    pub fn link(&self) -> Option<Place> {
        let target = self.next.as_deref()?.into();
        Some(Place::Link { server: self.server.clone(), target, size: self.given.max(1) })
    }
}

/// Where a shard is gone on with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// At its begin.
    Start,
    /// Where a page's link led.
    Link {
        /// Who gave the link.
        server: Arc<str>,
        /// Path and query.
        target: Arc<str>,
        /// Features a page has there.
        size: usize,
    },
}

/// Where an answer begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// Which shard, in their order.
    pub shard: usize,
    /// Where in it.
    pub place: Place,
    /// Features of that page that were given already.
    pub skip: usize,
}

impl Position {
    /// Of a first answer.
    pub const START: Position = Position { shard: 0, place: Place::Start, skip: 0 };
}

/// What bounds an answer.
#[derive(Debug, Clone, Copy)]
pub struct Wanted {
    /// Most features.
    pub limit: usize,
    /// Most features asked of a server at a time.
    pub page: usize,
    /// A first answer asks up to so many shards at once: it tells how many match in all, and which shards are missing.
    pub at_once: usize,
    /// Most pages of one answer.
    pub pages: usize,
    /// Most bytes of one answer.
    pub bytes: usize,
    /// Pages are thinned here: servers give more than is wanted.
    pub sieved: bool,
    /// Least share of the shards asked that an answer may be given from.
    pub floor: f64,
    /// A shard that breaks off may be begun anew, if its begin is in this answer: nothing of it was given yet.
    pub again: bool,
}

/// A page that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Of which shard.
    pub shard: usize,
    /// Where.
    pub place: Place,
    /// How many features.
    pub size: usize,
}

/// How far an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Another round is wanted.
    More,
    /// The answer is ready.
    Done,
    /// None can be given: too many shards are missing, and nothing is in.
    Failed,
}

#[derive(Debug, Default)]
struct Seen {
    /// A page that is in and not used yet, and the size that was asked for.
    page: Option<(Arc<Page>, usize)>,
    /// The count that its server told, and whether it told different ones.
    matched: Option<u64>,
    fickle: bool,
    missing: bool,
    /// Features passed before and in this answer.
    used: u64,
}

/// An answer that is being made.
#[derive(Debug)]
pub struct Gather {
    wanted: Wanted,
    from: Position,
    at: Position,
    seen: Vec<Seen>,
    /// What the answer holds: the features of these pages.
    pub taken: Vec<(Arc<Page>, Range<usize>)>,
    count: usize,
    bytes: usize,
    pages: usize,
    ahead: usize,
    hasher: RandomState,
    /// The features of the present shard, and how much was in the answer when it was begun; `None`: in an earlier one.
    ids: HashSet<u64>,
    begun: Option<(usize, usize)>,
    /// Shards that were begun anew.
    restarts: usize,
    /// Where the last of them broke off: another server is to be asked from its begin on.
    pub broken: Option<(usize, Arc<str>)>,
    /// Links that were followed.
    links: HashSet<u64>,
    /// Features that a server gave twice.
    pub doubled: usize,
}

impl Gather {
    /// An answer from this position on, over so many shards.
    pub fn new(wanted: Wanted, from: Position, shards: usize) -> Self {
        Gather {
            wanted,
            at: from.clone(),
            seen: (0..shards).map(|_| Seen::default()).collect(),
            taken: Vec::new(),
            count: 0,
            bytes: 0,
            pages: 0,
            ahead: FIRST_AHEAD,
            hasher: RandomState::new(),
            ids: HashSet::new(),
            begun: (from.place == Place::Start && from.skip == 0).then_some((0, 0)),
            restarts: 0,
            broken: None,
            links: HashSet::new(),
            doubled: 0,
            from,
        }
    }

    fn need(&self) -> usize {
        self.wanted.limit - self.count
    }

    /// The size of pages for a shard that is begun now, so that they fit what is wanted.
    fn start_size(&self, need: usize) -> usize {
        if self.wanted.sieved {
            return self.wanted.page;
        }
        let pages = need.div_ceil(self.wanted.page).max(1);
        need.div_ceil(pages).max(1)
    }

    /// The pages wanted next; none if a page that is here must be used first.
    pub fn asks(&self) -> Vec<Ask> {
        let mut asks = Vec::new();
        if self.at_end() {
            return asks;
        }
        let here = self.at.shard;
        if self.seen[here].page.is_none() {
            let size = match &self.at.place {
                Place::Start => self.start_size(self.need()),
                Place::Link { size, .. } => *size,
            };
            asks.push(Ask { shard: here, place: self.at.place.clone(), size });
        }
        let shards = self.seen.len();
        if self.from == Position::START && self.pages == 0 && shards <= self.wanted.at_once {
            // Small sets are whole after one round, and of large ones the count is known.
            let size = if self.wanted.sieved { self.wanted.page } else { self.wanted.limit.div_ceil(shards) };
            let size = size.min(self.wanted.page);
            asks.extend((here + 1..shards).map(|shard| Ask { shard, place: Place::Start, size }));
            return asks;
        }
        if self.at.place != Place::Start {
            return asks;
        }
        // Further shards, as far as those before them will not do.
        let mut left = self.need() as u64;
        let mut unknown = 0;
        for shard in here..shards {
            let seen = &self.seen[shard];
            if shard > here && seen.page.is_none() && !seen.missing {
                let size = self.start_size(left.max(1) as usize);
                asks.push(Ask { shard, place: Place::Start, size });
            }
            match seen.matched {
                Some(matched) => left = left.saturating_sub(matched),
                None => unknown += 1,
            }
            if left == 0 || unknown > self.ahead || asks.len() > MAX_AHEAD {
                break;
            }
        }
        asks
    }

    /// Takes in what came of a round's pages: of each ask its shard, the size asked for and the page, or nothing.
    pub fn take(&mut self, came: Vec<(usize, usize, Option<Arc<Page>>)>, id: impl Fn(&[u8]) -> u64) -> Step {
        self.pages += came.len();
        self.ahead = (self.ahead * 2).min(MAX_AHEAD);
        for (shard, size, page) in came {
            let seen = &mut self.seen[shard];
            match page {
                None => seen.missing = true,
                Some(page) => {
                    let told = page.matched;
                    seen.fickle |= seen.matched.is_some() && told.is_some() && seen.matched != told;
                    seen.matched = told.or(seen.matched);
                    self.bytes += page.body.len();
                    seen.page = Some((page, size));
                }
            }
        }
        self.use_up(&id)
    }

    /// Uses the pages that are in, in order.
    fn use_up(&mut self, id: &impl Fn(&[u8]) -> u64) -> Step {
        loop {
            let shards = self.seen.len();
            let here = self.at.shard;
            if here >= shards {
                return Step::Done;
            }
            if self.seen[here].missing && self.begin_anew() {
                return Step::More;
            }
            if self.seen[here].missing && self.wanted.floor >= 1.0 {
                // What is in stays good, and its next link leads to where it broke off.
                return if self.count > 0 { Step::Done } else { Step::Failed };
            }
            if self.seen[here].missing {
                self.next_shard();
                continue;
            }
            let Some((page, size)) = self.seen[here].page.take() else {
                return self.wants_more();
            };
            let begun = self.at.place != Place::Start || here == self.from.shard;
            let need = self.need();
            let more = page.next.is_some();
            // What must not run twice is not begun anew: it goes on in the pages that it has.
            if more && !begun && !self.wanted.sieved && self.wanted.again {
                let look = (size as f64) < LOOK * self.start_size(need) as f64;
                let filled = self.count as f64 >= SHORT_ENOUGH * self.wanted.limit as f64;
                let small = size < self.start_size(self.wanted.limit);
                // Begun anew, in pages that fit: by the next answer, or by this one.
                if need == 0 || (small && filled) {
                    return Step::Done;
                }
                if look {
                    return self.wants_more();
                }
            }
            // A page that is read again may be shorter than it was: the next one has the rest of what was given.
            let skip = self.at.skip.min(page.features.len());
            self.at.skip -= skip;
            let (used, fresh) = self.put(&page, skip, id);
            self.seen[here].used += fresh as u64;
            if used > skip && fresh == 0 && more {
                // Pages that bring nothing new may come for ever.
                self.seen[here].missing = true;
                continue;
            }
            if used < page.features.len() {
                // The server gave more than was asked for, or it is thinned here: the rest is read again.
                self.at.skip = used;
                return Step::Done;
            }
            match page.link() {
                None => self.next_shard(),
                Some(link) => {
                    if !self.links.insert(self.hasher.hash_one((here, &page.server, &page.next))) {
                        // It leads in a circle: what is in is all that can be had of this shard.
                        self.seen[here].missing = true;
                        continue;
                    }
                    self.at.place = link;
                }
            }
            if self.need() == 0 && !self.at_end() {
                return Step::Done;
            }
            if let Place::Link { size, .. } = &self.at.place {
                if *size > self.need() && !self.wanted.sieved && self.count > 0 {
                    return Step::Done;
                }
            }
        }
    }

    /// The present shard broke off at the server that knows how it goes on. Another one may have it in another order, so
    /// there it can only be begun anew: once, and only if no feature of it was given in an earlier answer.
    fn begin_anew(&mut self) -> bool {
        let Some((taken, count)) = self.begun.filter(|_| self.wanted.again && self.restarts == 0) else {
            return false;
        };
        let Place::Link { server, .. } = &self.at.place else { return false };
        self.broken = Some((self.at.shard, server.clone()));
        self.restarts += 1;
        self.taken.truncate(taken);
        self.count = count;
        self.ids.clear();
        self.links.clear();
        self.seen[self.at.shard] = Seen::default();
        self.at = Position { shard: self.at.shard, place: Place::Start, skip: 0 };
        true
    }

    fn at_end(&self) -> bool {
        self.at.shard >= self.seen.len()
    }

    fn next_shard(&mut self) {
        self.at = Position { shard: self.at.shard + 1, place: Place::Start, skip: 0 };
        self.begun = Some((self.taken.len(), self.count));
        self.ids.clear();
    }

    fn wants_more(&self) -> Step {
        let spent = self.pages >= self.wanted.pages || self.bytes >= self.wanted.bytes;
        if self.need() == 0 || (spent && (self.count > 0 || self.wanted.sieved)) {
            Step::Done
        } else if spent {
            Step::Failed
        } else {
            Step::More
        }
    }

    /// Features of a page from here on into the answer, until its limit; what a server gives twice is passed over. Up to
    /// where the page is used, and how many were new.
    fn put(&mut self, page: &Arc<Page>, start: usize, id: &impl Fn(&[u8]) -> u64) -> (usize, usize) {
        let (mut from, mut at, before) = (start, start, self.count);
        while at < page.features.len() {
            let key = id(&page.body[page.features[at].clone()]);
            let known = key != 0 && self.ids.contains(&key);
            if !known && self.need() == 0 {
                break;
            }
            if known {
                self.doubled += 1;
                if from < at {
                    self.taken.push((page.clone(), from..at));
                }
                from = at + 1;
            } else {
                self.ids.insert(key);
                self.count += 1;
            }
            at += 1;
        }
        if from < at {
            self.taken.push((page.clone(), from..at));
        }
        check_invariant(self.count <= self.wanted.limit, "an answer beyond its limit");
        (at, self.count - before)
    }

    /// Features in the answer.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The shards that could not be asked, of those that the answer passed or needed.
    pub fn missing(&self) -> Vec<usize> {
        (0..self.seen.len()).filter(|n| self.seen[*n].missing).collect()
    }

    /// Enough of the shards are in: those that the answer passed over count, not the one that it ends at.
    pub fn above_floor(&self) -> bool {
        let all = self.seen.len() as f64;
        let passed = self.missing().iter().filter(|n| **n < self.at.shard).count() as f64;
        (all - passed) / all.max(1.0) + 1e-6 >= self.wanted.floor
    }

    /// Nothing that belongs into this answer is missing from it.
    pub fn whole(&self) -> bool {
        self.missing().iter().all(|n| *n >= self.at.shard)
    }

    /// Where the next answer begins; `None` after the last feature.
    pub fn next(&self) -> Option<&Position> {
        (!self.at_end()).then_some(&self.at)
    }

    /// How many match in all: only where every server told it, or gave all it has.
    pub fn matched(&self) -> Option<u64> {
        if self.from != Position::START || self.wanted.sieved || self.doubled > 0 {
            return None;
        }
        let of = |(n, seen): (usize, &Seen)| match seen {
            Seen { fickle: true, .. } | Seen { missing: true, .. } => None,
            Seen { matched: Some(told), .. } => Some(*told),
            // It gave all it has.
            Seen { used, .. } if n < self.at.shard => Some(*used),
            _ => None,
        };
        self.seen.iter().enumerate().map(of).sum()
    }
}

#[cfg(test)]
#[path = "paging_tests.rs"]
mod tests;
