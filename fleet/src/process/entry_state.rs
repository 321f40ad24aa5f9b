//! The tables that the tasks of an entry share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::catalog::CallerLimits;
use crate::forward::{ByteBudget, HeaderNames, TargetPool};
use crate::mirror::MirrorRecord;
use crate::prelude::*;
use crate::roster::RosterChange;
use crate::routing::{BudgetSettings, CrashSuspects, RetryBudget, RoutingTable};

use super::drain::DrainState;
use super::metrics::EntryMetrics;
use super::permit_table::PermitTable;
use super::record_decoders::{Decoders, RecordSource};

/// The tables that the tasks of an entry share.
///
/// Lock order: `table`, then `budgets`, then `rng`, then `suspects`. Those of `permits` are
/// held by themselves. No lock is held across an await.
#[derive(Debug)]
pub struct EntryState {
    /// The platform's header names.
    pub names: HeaderNames,
    /// The configuration in force; `None` before the first one is read.
    pub catalog: ArcSwapOption<RouteCatalog>,
    /// Targets, load and limits.
    pub table: Mutex<RoutingTable>,
    /// The requests that may have ended targets.
    pub suspects: Mutex<CrashSuspects>,
    /// Permits to send requests to targets with a limit.
    pub permits: PermitTable,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Notified whenever a request ends and a slot may be free.
    pub slot_freed: Notify,
    /// Notified whenever a target ended while it ran a request of this entry.
    pub target_ended: Notify,
    /// The number of entries that share the retry budget.
    pub n_entries: AtomicUsize,
    /// Whether the process is stopping.
    pub drain: DrainState,
    /// The last time at which this process or a peer read the configuration from the store.
    pub confirmed_at: Mutex<Option<Instant>>,
    /// Whether most entries have a newer configuration in force, which this one cannot read.
    pub is_outdated: AtomicBool,
    /// The bytes of bodies and events that are buffered.
    pub buffers: Arc<ByteBudget>,
    /// Counters and histograms.
    pub metrics: EntryMetrics,
    /// The logger.
    pub log: Logger,
    bounds: watch::Receiver<ProcessBounds>,
    started_at: Instant,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    rng: Mutex<ChaCha8Rng>,
}

/// The limits that may change while a process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessBounds {
    /// The limits of the retry budget.
    pub budget: BudgetSettings,
    /// The time between SIGTERM and SIGKILL.
    pub grace: Duration,
}

/// The age of the last read of the store from which the configuration may be outdated, so that no
/// request is denied by it.
const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(3);

/// The stated memory of an entry, in bytes.
const ENTRY_MEMORY: usize = 182_000_000;

/// The limit on the buffered bytes of all requests together. The rest is for the process itself, its
/// connections, and what each read may buffer on its own.
const MAX_BUFFERED_BYTES: usize = ENTRY_MEMORY / 4;

impl EntryState {
    /// Creates the tables of an entry.
    pub fn new(
        names: HeaderNames,
        zone: Arc<str>,
        bounds: watch::Receiver<ProcessBounds>,
        seed: u64,
        log: Logger,
    ) -> Self {
        let metrics = EntryMetrics::new();
        let buffered_bytes = metrics.buffered_bytes.clone();
        Self {
            names,
            catalog: ArcSwapOption::empty(),
            table: Mutex::new(RoutingTable::new(zone)),
            suspects: Mutex::new(CrashSuspects::new(Instant::now())),
            permits: PermitTable::default(),
            pool: TargetPool::default(),
            slot_freed: Notify::new(),
            target_ended: Notify::new(),
            n_entries: AtomicUsize::new(1),
            drain: DrainState::default(),
            confirmed_at: Mutex::new(None),
            is_outdated: AtomicBool::new(false),
            buffers: Arc::new(ByteBudget::new(MAX_BUFFERED_BYTES, buffered_bytes)),
            metrics,
            log,
            bounds,
            started_at: Instant::now(),
            budgets: Mutex::new(HashMap::new()),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Returns a random number from `0.0..1.0`.
    pub fn random_fraction(&self) -> f64 {
        self.rng.lock().random_range(0.0..1.0)
    }

    /// Runs a function with the routing table and the random number generator locked.
    pub fn with_table<T>(&self, work: impl FnOnce(&mut RoutingTable, &mut ChaCha8Rng) -> T) -> T {
        let mut table = self.table.lock();
        let mut rng = self.rng.lock();
        work(&mut table, &mut rng)
    }

    /// Counts a request of a caller towards a service's retry budget.
    pub fn count_request(&self, service: &Arc<str>, now: Instant) {
        self.with_budget(service, |budget, settings| {
            budget.count_request(settings, now)
        });
    }

    /// Takes a retry from a service's budget; returns whether it may be made.
    pub fn draw_retry(&self, service: &Arc<str>, now: Instant) -> bool {
        let n_entries = self.n_entries.load(Ordering::Relaxed);
        self.with_budget(service, |budget, settings| {
            budget.draw(settings, now, n_entries)
        })
    }

    /// Returns the version of the configuration in force, if any.
    pub fn version(&self) -> Option<u64> {
        self.catalog.load().as_ref().map(|catalog| catalog.version)
    }

    /// Returns the limits on what callers may send, by the configuration in force.
    pub fn caller_limits(&self) -> CallerLimits {
        let catalog = self.catalog.load();
        catalog
            .as_ref()
            .map_or_else(CallerLimits::default, |catalog| catalog.limits)
    }

    /// Returns whether the configuration was confirmed recently enough to deny a request by it.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed_at
            .lock()
            .is_some_and(|at| now < at + MAX_CONFIRMED_AGE)
    }

    /// Records that the configuration matched the store at a time, as read by this process or a
    /// peer.
    pub fn confirm(&self, at: Instant) {
        let mut confirmed_at = self.confirmed_at.lock();
        *confirmed_at = Some(confirmed_at.map_or(at, |old| old.max(at)));
    }

    /// Returns the time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        self.bounds.borrow().grace
    }

    /// Returns whether the entry accepts new connections: it has a usable target and a configuration
    /// that is not older than that of most entries, and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.drain.is_draining()
            && !self.is_outdated.load(Ordering::Relaxed)
            && self.catalog.load().is_some()
            && 0 < self.table.lock().n_usable()
    }

    /// Puts a configuration in force if it is newer; returns whether the record is a valid one.
    pub(super) fn apply_catalog(
        &self,
        record: &MirrorRecord,
        source: RecordSource,
        decoders: &Decoders,
    ) -> bool {
        let log = &self.log;
        let Some(bytes) = record
            .value
            .as_ref()
            .filter(|_| record.key == decoders.catalog_key)
        else {
            return false;
        };
        let catalog = match (decoders.catalog)(bytes) {
            Ok(catalog) => catalog,
            Err(reason) => {
                warn!(log, "unreadable record"; "topic" => "operator", "key" => &record.key,
                    "offset" => record.offset, "reason" => reason);
                return false;
            }
        };
        let current = self.version();
        if current.is_some_and(|current| catalog.version <= current) {
            return true;
        }
        info!(log, "configuration in force"; "version" => catalog.version, "source" => %source,
            "offset" => record.offset, "before" => current);
        let replaced = &catalog.replaced_fields;
        if !replaced.is_empty() {
            warn!(log, "configuration fields replaced"; "version" => catalog.version,
                "fields" => replaced.join("; "));
        }
        self.metrics.replaced_fields.set(replaced.len() as i64);
        self.metrics.version.set(catalog.version as i64);
        self.catalog.store(Some(Arc::new(catalog)));
        true
    }

    /// Applies a change of the roster to the routing table; returns whether there was one.
    pub(super) fn apply_roster_change(
        &self,
        change: &RosterChange,
        source: RecordSource,
        offset: u64,
    ) -> bool {
        let log = &self.log;
        match change {
            RosterChange::Same => return false,
            RosterChange::Changed(entry) => info!(log, "target changed"; "target" => &*entry.id,
                "service" => &*entry.service, "address" => %entry.address,
                "draining" => entry.draining, "offset" => offset, "source" => %source),
            RosterChange::Removed(_) | RosterChange::Lapsing(..) => {
                info!(log, "target removed"; "change" => ?change, "offset" => offset,
                    "source" => %source)
            }
        }
        self.table.lock().apply(change);
        true
    }

    fn with_budget<T>(
        &self,
        service: &Arc<str>,
        work: impl FnOnce(&mut RetryBudget, &BudgetSettings) -> T,
    ) -> T {
        let settings = self.bounds.borrow().budget;
        let mut budgets = self.budgets.lock();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(self.started_at));
        work(budget, &settings)
    }
}
