//! The progress of a response within its current shard.

use super::super::page::FeaturePage;
use super::features::FeaturesCheckpoint;
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};

/// The features and links of the current shard that the response has used so far.
#[derive(Debug)]
pub(super) struct CurrentShard {
    /// The hashes of the identifiers of the shard's features that the response has.
    pub seen_ids: HashSet<u64>,
    /// The hashes of the links followed, in this shard and in earlier ones.
    followed_links: HashSet<u64>,
    hasher: RandomState,
    /// Whether an earlier response started the shard.
    resumed: bool,
    /// The length of the response before its first feature of the shard.
    checkpoint: FeaturesCheckpoint,
}

impl CurrentShard {
    /// Creates the progress in the first shard of a response. `resumed` is whether an earlier
    /// response started the shard.
    pub fn new(resumed: bool) -> Self {
        CurrentShard {
            seen_ids: HashSet::new(),
            followed_links: HashSet::new(),
            hasher: RandomState::new(),
            resumed,
            checkpoint: FeaturesCheckpoint::default(),
        }
    }

    /// Moves to the next shard.
    pub fn advance(&mut self, checkpoint: FeaturesCheckpoint) {
        self.resumed = false;
        self.checkpoint = checkpoint;
        self.seen_ids.clear();
    }

    /// Moves back to the start of the shard.
    pub fn restart(&mut self) {
        self.seen_ids.clear();
        self.followed_links.clear();
    }

    /// Returns whether an earlier response started the shard.
    pub fn is_resumed(&self) -> bool {
        self.resumed
    }

    /// Returns the length of the response before its first feature of the shard.
    pub fn checkpoint(&self) -> FeaturesCheckpoint {
        self.checkpoint
    }

    /// Records that the `next` link of a page is followed. Returns whether the link is followed for
    /// the first time.
    pub fn follow_link(&mut self, shard: usize, page: &FeaturePage) -> bool {
        let link = self
            .hasher
            .hash_one((shard, &page.server, &page.next_target));
        self.followed_links.insert(link)
    }
}
