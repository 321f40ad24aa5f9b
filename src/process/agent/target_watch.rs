//! Watches the target: its load, its cache events, and runs without a reader.

use std::collections::{HashMap, VecDeque};

use parking_lot::Mutex;

use crate::prelude::*;
use crate::process::platform::{CachePage, EngineLoad, HttpFailure};
use crate::process::routing::{CacheEvent, PrefixHash};
use crate::process::settings::TargetKind;
use crate::request::WorkId;

use super::agent_process::AgentProcess;

/// The interval between two polls of the target.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
/// Consecutive connections that were not made after which an engine counts as crashed.
const MAX_UNREACHED: u32 = 2;
/// The maximum time between two tokens of an answer that admission aims for.
const STEP_TIME_GOAL: Duration = Duration::from_millis(38);
/// The time after which a run without a reader is cancelled.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of cache events that are kept for entry VMs.
const MAX_CACHE_EVENTS: usize = 4_096;
/// The maximum number of cache events in one report.
const MAX_REPORTED_EVENTS: usize = 64;

/// The last known state of the target. No other lock is taken while one of its locks is held.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    load: Mutex<EngineLoad>,
    cache: Mutex<CacheWindow>,
}

/// The most recent cache events, numbered consecutively.
#[derive(Debug, Default)]
struct CacheWindow {
    next: u64,
    events: VecDeque<CacheEvent>,
}

impl WatchState {
    /// Returns the load that the target last reported.
    pub(super) fn load(&self) -> EngineLoad {
        self.load.lock().clone()
    }

    /// Returns the cache events from number `from` on, and the number to read from next.
    pub(super) fn cache_since(&self, from: u64) -> (Vec<CacheEvent>, u64) {
        let cache = self.cache.lock();
        let first = cache.next - cache.events.len() as u64;
        let n_skipped = from.saturating_sub(first) as usize;
        let events: Vec<_> = cache
            .events
            .iter()
            .skip(n_skipped)
            .take(MAX_REPORTED_EVENTS)
            .cloned()
            .collect();
        let next = from.max(first) + events.len() as u64;
        (events, next.min(cache.next))
    }

    fn add_events(&self, page: &CachePage) {
        let mut cache = self.cache.lock();
        for event in page.events.iter().filter_map(cache_event) {
            cache.next += 1;
            cache.events.push_back(event);
        }
        let n_excess = cache.events.len().saturating_sub(MAX_CACHE_EVENTS);
        cache.events.drain(..n_excess);
    }
}

/// Watches the target until the agent stops.
pub(super) async fn watch_target(process: Arc<AgentProcess>) {
    let mut cache_from = 0;
    let mut n_unreached = 0;
    let mut unread_since = HashMap::new();
    let mut ticks = tokio::time::interval(WATCH_PERIOD);
    while !process.stop.is_cancelled() {
        ticks.tick().await;
        match process.kind {
            TargetKind::Engine => {
                watch_engine(&process, &mut n_unreached).await;
                watch_cache(&process, &mut cache_from).await;
            }
            TargetKind::Service => watch_service(&process).await,
        }
        if let Some(serving) = process.serving.get() {
            cancel_unread(&process, &mut unread_since);
            let started = serving.table.lock().advance(Timestamp::now());
            process.spawn_runs(started);
        }
    }
}

async fn watch_engine(process: &AgentProcess, n_unreached: &mut u32) {
    let load = process.engine.load().await;
    *n_unreached = match load {
        Err(HttpFailure::NotSent(_)) => *n_unreached + 1,
        _ => 0,
    };
    match load {
        Ok(load) => {
            process.mark_target_up();
            let step_time = Duration::from_secs_f64((load.step_ms / 1_000.0).max(0.0));
            if let Some(serving) = process.serving.get() {
                let admission = &mut serving.table.lock().admission;
                admission.observe_step_time(step_time, STEP_TIME_GOAL);
            }
            *process.watch.load.lock() = load;
        }
        Err(HttpFailure::NotListening(_)) => process.mark_target_crashed(),
        Err(_) if MAX_UNREACHED <= *n_unreached => process.mark_target_crashed(),
        Err(_) => {}
    }
}

async fn watch_cache(process: &AgentProcess, cache_from: &mut u64) {
    if let Ok(page) = process.engine.cache_events(*cache_from).await {
        process.watch.add_events(&page);
        *cache_from = page.next;
    }
}

/// Takes up a service that did not answer: while it counts as down, no call can show otherwise.
async fn watch_service(process: &AgentProcess) {
    if !process.is_target_up() && process.service.is_reachable().await {
        process.mark_target_up();
    }
}

/// Cancels runs whose entry VM is gone and whose caller has not resumed them elsewhere.
fn cancel_unread(process: &AgentProcess, unread_since: &mut HashMap<WorkId, Timestamp>) {
    let Some(serving) = process.serving.get() else {
        return;
    };
    let now = Timestamp::now();
    let runs = serving.table.lock().in_progress();
    unread_since.retain(|work, _| {
        runs.iter()
            .any(|run| run.work == *work && run.n_readers() == 0)
    });
    for run in runs.iter().filter(|run| run.n_readers() == 0) {
        let since = *unread_since.entry(run.work).or_insert(now);
        if UNREAD_TIMEOUT <= now.since(since) {
            run.cancel.cancel();
        }
    }
}

/// Converts an engine's event. Events whose block is not a 64-bit hash are skipped.
fn cache_event(event: &crate::process::platform::CacheEvent) -> Option<CacheEvent> {
    let hash = PrefixHash(u64::from_str_radix(&event.block, 16).ok()?);
    match event.kind.as_str() {
        "stored" => Some(CacheEvent::Stored(vec![hash])),
        "removed" => Some(CacheEvent::Removed(vec![hash])),
        _ => None,
    }
}
