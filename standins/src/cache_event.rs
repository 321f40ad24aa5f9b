//! Prefix cache events of an engine, with a configurable delay and loss.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::completion::prompt_text;

/// The size of a prompt block, in bytes.
const BLOCK_BYTES: usize = 64;
/// The maximum number of events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// One event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event; a lost event leaves a gap.
    pub sequence: u64,
    /// The change to the block.
    pub kind: CacheEventKind,
    /// The hash of the block and of all blocks before it, in hex.
    pub block: String,
}

/// A change to a cache block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted to make room.
    Removed,
}

/// Returns the block hashes of a request's prompt, in prompt order.
pub fn cache_blocks(body: &Value) -> Vec<String> {
    let mut hasher = DefaultHasher::new();
    prompt_text(body)
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            block.hash(&mut hasher);
            format!("{:016x}", hasher.finish())
        })
        .collect()
}

/// A prefix cache of limited capacity and its events.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    /// The delay before readers see an event.
    pub(crate) lag: Duration,
    /// The fraction (0 to 1) of events that readers never see.
    pub(crate) lost_share: f64,
    capacity: usize,
    blocks: VecDeque<String>,
    events: VecDeque<(Instant, CacheEvent)>,
    last_sequence: u64,
    rng: ChaCha8Rng,
}

impl PrefixCache {
    /// Creates an empty cache that holds up to `capacity` blocks.
    pub(crate) fn new(capacity: usize, seed: u64) -> Self {
        Self {
            lag: Duration::ZERO,
            lost_share: 0.0,
            capacity,
            blocks: VecDeque::new(),
            events: VecDeque::new(),
            last_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Stores the blocks of a prompt and evicts the least recently stored ones over the capacity.
    pub(crate) fn store(&mut self, blocks: Vec<String>) {
        for block in blocks {
            if let Some(idx) = self.blocks.iter().position(|kept| *kept == block) {
                self.blocks.remove(idx);
            } else {
                self.record(CacheEventKind::Stored, block.clone());
            }
            self.blocks.push_back(block);
        }
        while self.capacity < self.blocks.len() {
            let removed = self.blocks.pop_front();
            removed
                .into_iter()
                .for_each(|block| self.record(CacheEventKind::Removed, block));
        }
    }

    /// Empties the cache, as a restart does. Sequence numbers continue from the last one.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.events.clear();
    }

    /// Returns the visible events from `from` on and the sequence number to read from next.
    pub(crate) fn visible(&self, from: u64) -> (Vec<CacheEvent>, u64) {
        let now = Instant::now();
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| from <= event.sequence && self.lag <= now.duration_since(*at))
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        (events, next)
    }

    fn record(&mut self, kind: CacheEventKind, block: String) {
        self.last_sequence += 1;
        if 0.0 < self.lost_share && self.rng.random_bool(self.lost_share.min(1.0)) {
            return;
        }
        let event = CacheEvent {
            sequence: self.last_sequence,
            kind,
            block,
        };
        self.events.push_back((Instant::now(), event));
        while MAX_EVENTS < self.events.len() {
            self.events.pop_front();
        }
    }
}
