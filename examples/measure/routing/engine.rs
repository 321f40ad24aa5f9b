//! A simulated inference engine with continuous batching: each step advances all
//! running requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::NonZeroUsize;

use comfreyhead::prelude::*;
use comfreyhead::process::routing::PrefixHash;
use lru::LruCache;

/// The maximum number of requests that an engine runs concurrently.
pub(crate) const SLOTS: u32 = 16;
/// The step time of an idle engine, in microseconds.
const EMPTY_STEP_US: f64 = 18_000.0;
/// The step time with all slots in use, in microseconds.
pub(crate) const FULL_STEP_US: f64 = 38_000.0;
/// The prefill cost of one uncached prompt block, in steps.
pub(crate) const STEPS_PER_BLOCK: f64 = 1.5;
/// The capacity of the prefix cache, in prompt blocks.
const CACHE_BLOCKS: NonZeroUsize = NonZeroUsize::new(400).unwrap();

/// A milestone of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EngineMilestone {
    FirstToken,
    End,
}

/// One simulated engine with its running requests and prefix cache.
pub(crate) struct Engine {
    pub(crate) is_alive: bool,
    /// The factor on the step time; 1.0 is normal speed.
    slowness: f64,
    /// Changes whenever the next milestone may move, so that stale wake-up events can be ignored.
    pub(crate) version: u32,
    /// The steps done since the start, in thousandths of a step.
    progress: f64,
    updated_at: Timestamp,
    n_running: u32,
    milestones: BinaryHeap<Reverse<(u64, EngineMilestone, usize)>>,
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
            milestones: BinaryHeap::new(),
            cache: LruCache::new(CACHE_BLOCKS),
        }
    }

    /// Starts a request; returns the number of cached prompt blocks and the blocks evicted for it.
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
        self.milestones.push(Reverse((
            first as u64,
            EngineMilestone::FirstToken,
            request,
        )));
        self.milestones
            .push(Reverse((end as u64, EngineMilestone::End, request)));
        self.n_running += 1;
        self.version += 1;
        (n_cached, evicted)
    }

    /// Changes the factor on the step time from `now` on.
    pub(crate) fn set_slowness(&mut self, now: Timestamp, slowness: f64) {
        self.advance(now);
        self.slowness = slowness;
        self.version += 1;
    }

    /// Frees the slot of a finished or cancelled request.
    pub(crate) fn release(&mut self, now: Timestamp) {
        self.advance(now);
        self.n_running -= 1;
        self.version += 1;
    }

    /// Stops the engine and drops its running requests and its cache.
    pub(crate) fn crash(&mut self, now: Timestamp) {
        self.advance(now);
        self.is_alive = false;
        self.n_running = 0;
        self.version += 1;
        self.milestones.clear();
        self.cache.clear();
    }

    /// Removes and returns the milestones reached by `now`.
    pub(crate) fn take_milestones(&mut self, now: Timestamp) -> Vec<(EngineMilestone, usize)> {
        self.advance(now);
        let mut taken = Vec::new();
        while let Some(&Reverse((at, milestone, request))) = self.milestones.peek() {
            if self.progress + 1.0 < at as f64 {
                break;
            }
            self.milestones.pop();
            taken.push((milestone, request));
        }
        taken
    }

    /// The time of the next milestone, if no request starts or ends before it.
    pub(crate) fn next_wake(&self) -> Option<Timestamp> {
        let Reverse((at, _, _)) = self.milestones.peek()?;
        let steps = (*at as f64 - self.progress).max(0.0) / 1_000.0;
        let wait_us = (steps * self.step_time_us()).ceil() as u64 + 1;
        Some(Timestamp(self.updated_at.0 + wait_us))
    }

    pub(crate) fn step_time_us(&self) -> f64 {
        let occupancy = f64::from(self.n_running) / f64::from(SLOTS);
        (EMPTY_STEP_US + (FULL_STEP_US - EMPTY_STEP_US) * occupancy) * self.slowness
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed_us = now.since(self.updated_at).as_micros() as f64;
        self.progress += elapsed_us / self.step_time_us() * 1_000.0;
        self.updated_at = now;
    }
}
