//! A model engine that batches continuously: all that runs advances step by step.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::NonZeroUsize;

use comfreyhead::prelude::*;
use comfreyhead::process::routing::PrefixHash;
use lru::LruCache;

/// The requests that an engine runs at a time.
pub(crate) const SLOTS: u32 = 16;
/// The time of a step of an empty engine, in microseconds.
const EMPTY_STEP_US: f64 = 18_000.0;
/// The time of a step with all slots in use, in microseconds.
pub(crate) const FULL_STEP_US: f64 = 38_000.0;
/// The steps that one prompt block costs that is not in the cache.
pub(crate) const STEPS_PER_BLOCK: f64 = 1.5;
/// The prompt blocks that the cache holds.
const CACHE_BLOCKS: NonZeroUsize = NonZeroUsize::new(400).unwrap();

/// A point in the progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EngineMark {
    FirstToken,
    End,
}

/// The state of one engine.
pub(crate) struct Engine {
    pub(crate) is_alive: bool,
    /// How much slower than others it is; 1.0 is as fast.
    pub(crate) slowness: f64,
    /// Changes with each start and end, so that outdated wake-ups are known.
    pub(crate) version: u32,
    /// The steps since the start, in thousandths.
    progress: f64,
    updated_at: Timestamp,
    n_running: u32,
    marks: BinaryHeap<Reverse<(u64, EngineMark, usize)>>,
    cache: LruCache<PrefixHash, ()>,
}

impl Engine {
    pub(crate) fn new(slowness: f64) -> Self {
        Self {
            is_alive: true,
            slowness,
            version: 0,
            progress: 0.0,
            updated_at: Timestamp::default(),
            n_running: 0,
            marks: BinaryHeap::new(),
            cache: LruCache::new(CACHE_BLOCKS),
        }
    }

    /// Starts a request; returns the blocks that were cached, and those pushed out for it.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        request: usize,
        tokens: u32,
        prefixes: &[PrefixHash],
    ) -> (usize, Vec<PrefixHash>) {
        self.advance(now);
        let n_cached = prefixes
            .iter()
            .take_while(|prefix| self.cache.get(prefix).is_some())
            .count();
        let evicted = prefixes[n_cached..]
            .iter()
            .filter_map(|&prefix| self.cache.push(prefix, ()))
            .map(|(prefix, ())| prefix)
            .filter(|prefix| !prefixes.contains(prefix))
            .collect();
        let prefill = (prefixes.len() - n_cached) as f64 * STEPS_PER_BLOCK;
        let first = self.progress + (prefill + 1.0) * 1_000.0;
        let end = first + f64::from(tokens - 1) * 1_000.0;
        self.marks
            .push(Reverse((first as u64, EngineMark::FirstToken, request)));
        self.marks
            .push(Reverse((end as u64, EngineMark::End, request)));
        self.n_running += 1;
        self.version += 1;
        (n_cached, evicted)
    }

    /// Frees the slot of a request that ended or was cancelled.
    pub(crate) fn release(&mut self, now: Timestamp) {
        self.advance(now);
        self.n_running -= 1;
        self.version += 1;
    }

    /// Loses all that ran.
    pub(crate) fn crash(&mut self, now: Timestamp) {
        self.advance(now);
        self.is_alive = false;
        self.n_running = 0;
        self.version += 1;
        self.marks.clear();
        self.cache.clear();
    }

    /// Takes the marks that are reached by `now`.
    pub(crate) fn take_marks(&mut self, now: Timestamp) -> Vec<(EngineMark, usize)> {
        self.advance(now);
        let mut taken = Vec::new();
        while let Some(&Reverse((at, mark, request))) = self.marks.peek() {
            if self.progress + 1.0 < at as f64 {
                break;
            }
            self.marks.pop();
            taken.push((mark, request));
        }
        taken
    }

    /// When the next mark is reached if nothing starts or ends before.
    pub(crate) fn next_wake(&self) -> Option<Timestamp> {
        let Reverse((at, _, _)) = self.marks.peek()?;
        let steps = (*at as f64 - self.progress).max(0.0) / 1_000.0;
        let wait_us = (steps * self.step_time_us()).ceil() as u64 + 1;
        Some(Timestamp(self.updated_at.0 + wait_us))
    }

    pub(crate) fn step_time_us(&self) -> f64 {
        let fill = f64::from(self.n_running) / f64::from(SLOTS);
        (EMPTY_STEP_US + (FULL_STEP_US - EMPTY_STEP_US) * fill) * self.slowness
    }

    fn advance(&mut self, now: Timestamp) {
        let passed_us = now.since(self.updated_at).as_micros() as f64;
        self.progress += passed_us / self.step_time_us() * 1_000.0;
        self.updated_at = now;
    }
}
