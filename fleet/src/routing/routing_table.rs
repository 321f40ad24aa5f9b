//! Selection of a target by load, health and distance.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use rand::{Rng, RngExt};

use crate::catalog::EngineSpec;
use crate::prelude::*;
use crate::roster::RosterChange;

use super::group_health::{GROUP_RECOVERY_TIME, GroupHealth, GroupState};
use super::group_limit::{AdmitDecision, GroupLimit, GroupLoad};
use super::load_view::{LoadView, name_hash};
use super::rank_watch::RankStatus;
use super::target_health::{ResultCounts, TargetHealth};
use super::target_limit::{LimitChange, LimitNotice, LimitReport, TargetLimit};

/// The penalty of a target in another data centre, in running requests: traffic between data
/// centres has a cost, and a pass takes equally long on every rank.
const REMOTE_ZONE_PENALTY: f64 = 1.0;

/// One in this many targets of a service may be ejected at once, rounded down; the others have to
/// carry its load.
const MAX_EJECTED_FRACTION: usize = 3;

/// The highest pace: products of higher ones with a time may overflow.
const MAX_PACE: f64 = 1_000.0;

/// The recent failures, weighted by age, from which a target's results are reported to peers.
const MIN_REPORTED_FAILURES: f32 = 0.2;

/// The bounds of the random factor of a failure penalty: one entry tries a target again before the
/// others, which learn of the result from it.
const PENALTY_JITTER: std::ops::Range<f64> = 0.7..1.3;

/// The age after which an agent's report of a slow target no longer counts: the time of two
/// reports.
const MAX_PACE_AGE: Duration = Duration::from_millis(1_600);

/// The most reports of limits in one message, so that it fits into one datagram.
const MAX_LIMIT_REPORTS: usize = 512;

/// The targets, their load and health, and the limits of each service.
#[derive(Debug, Default)]
pub struct RoutingTable {
    zone: Arc<str>,
    targets: HashMap<Arc<str>, TargetRow>,
    limits: HashMap<Arc<str>, GroupLimit>,
    groups: HashMap<Arc<str>, GroupHealth>,
    /// The load that the other entries report.
    pub view: LoadView,
}

#[derive(Debug)]
struct TargetRow {
    entry: TargetEntry,
    hash: u32,
    own: u32,
    health: TargetHealth,
    limit: TargetLimit,
    /// The pass time relative to normal, and when the agent reported it.
    pace: Option<(f64, Instant)>,
    is_removed: bool,
}

/// A target chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetPick {
    /// The id of the target's incarnation.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// The requests running there, as known to this entry.
    pub running: u32,
    /// The score that it was chosen by; lower is better.
    pub score: f64,
    /// The requests per second that it takes from all entries together, where it names a limit.
    pub limit: Option<f32>,
    /// When it was chosen.
    pub chosen_at: Instant,
}

impl RoutingTable {
    /// Creates the table of an entry in the data centre `zone`.
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// Applies a change of the roster.
    pub fn apply(&mut self, change: &RosterChange) {
        match change {
            RosterChange::Changed(entry) => match self.targets.get_mut(&entry.id) {
                Some(row) => {
                    if row.entry.started_ms != entry.started_ms {
                        // It knows nothing of what it named before.
                        row.limit = TargetLimit::default();
                    }
                    row.entry = entry.clone();
                    row.is_removed = false;
                }
                None => {
                    let row = TargetRow {
                        entry: entry.clone(),
                        hash: name_hash(&entry.id),
                        own: 0,
                        health: TargetHealth::default(),
                        limit: TargetLimit::default(),
                        pace: None,
                        is_removed: false,
                    };
                    self.targets.insert(entry.id.clone(), row);
                }
            },
            RosterChange::Removed(id) => self.remove(id),
            RosterChange::Lapsing(..) | RosterChange::Same => {}
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(row) = self.targets.get_mut(id) {
            row.is_removed = true;
        }
        self.drop_if_done(id);
    }

    /// Drops a removed target once none of this entry's requests run there.
    fn drop_if_done(&mut self, id: &str) {
        let row = self.targets.get(id);
        if row.is_some_and(|row| row.is_removed && row.own == 0) {
            self.targets.remove(id);
        }
    }

    /// Chooses the target of a service with the lowest score: running requests plus penalties for
    /// failures and distance. Never chooses one of `excluded` or one whose limit has no room, and
    /// one that is ejected or unreachable only if there is no other.
    pub fn choose(
        &self,
        service: &str,
        excluded: &[Arc<str>],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetPick> {
        let rows = || {
            self.usable(service)
                .filter(|row| !excluded.contains(&row.entry.id))
                .filter(|row| row.limit.full_until(now).is_none())
        };
        let ejected = self.ejected(service, now);
        let sound = rows()
            .filter(|row| !row.health.is_avoided(now))
            .filter(|row| !ejected.contains(&row.hash));
        let best = self.best_of(sound, now, rng);
        best.or_else(|| self.best_of(rows(), now, rng))
    }

    /// Chooses likewise among the targets that name no limit.
    pub fn choose_unlimited(
        &self,
        service: &str,
        excluded: &[Arc<str>],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetPick> {
        let limited = self
            .usable(service)
            .filter(|row| row.limit.rate().is_some());
        let mut excluded: SmallVec<[Arc<str>; 16]> = excluded.into();
        excluded.extend(limited.map(|row| row.entry.id.clone()));
        self.choose(service, &excluded, now, rng)
    }

    /// Returns the targets of a service that fail far more requests than the others, at all entries
    /// together: the worst ones, up to a fraction of all.
    pub fn ejected(&self, service: &str, now: Instant) -> SmallVec<[u32; 4]> {
        let results: SmallVec<[(u32, ResultCounts); 16]> = self
            .usable(service)
            .map(|row| (row.hash, self.results_at(row, now)))
            .collect();
        let others_of = |hash: u32| {
            let mut sum = ResultCounts::default();
            let others = results.iter().filter(|(other, _)| *other != hash);
            others.for_each(|(_, counts)| sum.add(*counts));
            sum
        };
        let mut failing: SmallVec<[(u32, f64); 4]> = results
            .iter()
            .filter(|(_, counts)| 0.0 < counts.failed)
            .filter(|(hash, counts)| counts.is_failing(others_of(*hash)))
            .map(|(hash, counts)| (*hash, counts.penalty()))
            .collect();
        failing.sort_by(|a, b| b.1.total_cmp(&a.1));
        failing.truncate(results.len() / MAX_EJECTED_FRACTION);
        failing.into_iter().map(|(hash, _)| hash).collect()
    }

    /// Returns the recent results of a target at all entries.
    fn results_at(&self, row: &TargetRow, now: Instant) -> ResultCounts {
        let mut counts = row.health.counts_at(now);
        counts.add(self.view.results_at(row.hash, now));
        counts
    }

    fn best_of<'a>(
        &self,
        rows: impl Iterator<Item = &'a TargetRow>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetPick> {
        rows.map(|row| self.pick_of(row, now, rng))
            .min_by(|a, b| a.score.total_cmp(&b.score))
    }

    fn pick_of(&self, row: &TargetRow, now: Instant, rng: &mut impl Rng) -> TargetPick {
        let jitter = rng.random_range(0.0..1.0);
        let penalty = self.results_at(row, now).penalty() * rng.random_range(PENALTY_JITTER);
        let running = row.own + self.view.running_at(row.hash, now);
        let distance = if row.entry.zone == self.zone {
            0.0
        } else {
            REMOTE_ZONE_PENALTY
        };
        TargetPick {
            id: row.entry.id.clone(),
            address: row.entry.address,
            running,
            // All ranks of a group wait for the slowest one, so a slow rank gets work last.
            score: (f64::from(running) + jitter) * row.pace_at(now).powi(2) + penalty + distance,
            limit: row.limit.rate(),
            chosen_at: now,
        }
    }

    /// Records the pass time of the target at an address, relative to normal.
    pub fn observe_pace(&mut self, address: SocketAddr, pace: f32, now: Instant) {
        for row in self
            .targets
            .values_mut()
            .filter(|row| row.entry.address == address)
        {
            row.pace = Some((MAX_PACE.min(f64::from(pace).max(1.0)), now));
        }
    }

    /// Returns whether any target of a service other than the excluded ones accepts requests.
    pub fn has_target(&self, service: &str, excluded: &[Arc<str>]) -> bool {
        self.usable(service)
            .any(|row| !excluded.contains(&row.entry.id))
    }

    /// Returns the time until a target of a service other than the excluded ones has room, where all
    /// of them name limits; `None` where there are none or not all do.
    pub fn limited_for(
        &self,
        service: &str,
        excluded: &[Arc<str>],
        now: Instant,
    ) -> Option<Duration> {
        let mut soonest: Option<Instant> = None;
        for row in self.usable(service) {
            if excluded.contains(&row.entry.id) {
                continue;
            }
            row.limit.rate()?;
            let until = row.limit.full_until(now).unwrap_or(now);
            soonest = Some(soonest.map_or(until, |old| old.min(until)));
        }
        Some(soonest? - now)
    }

    /// Records what an answer tells of its target's limit.
    pub fn observe_limit(&mut self, id: &str, notice: LimitNotice, now: Instant) -> LimitChange {
        let row = self.targets.get_mut(id);
        row.map_or(LimitChange::Same, |row| row.limit.observe(notice, now))
    }

    /// Merges another entry's report of a target's limit; returns the target where it changed.
    pub fn merge_limit(
        &mut self,
        report: &LimitReport,
        now: Instant,
    ) -> Option<(Arc<str>, LimitChange)> {
        let mut rows = self.targets.values_mut();
        let row = rows.find(|row| row.hash == report.target)?;
        let change = row.limit.merge(report, now);
        (change != LimitChange::Same).then(|| (row.entry.id.clone(), change))
    }

    /// Records that a target's limit has no room for this entry until a time.
    pub fn set_full(&mut self, id: &str, until: Instant) {
        if let Some(row) = self.targets.get_mut(id) {
            row.limit.set_full(until);
        }
    }

    /// Returns the limit that a target names, in requests per second, by the hash of its id.
    pub fn limit_of(&self, target: u32) -> Option<f32> {
        let row = self.targets.values().find(|row| row.hash == target);
        row.and_then(|row| row.limit.rate())
    }

    /// Returns the reports of limits that are due.
    pub fn take_limit_reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let rows = self.targets.values_mut();
        rows.filter_map(|row| row.limit.take_report(row.hash, now))
            .take(MAX_LIMIT_REPORTS)
            .collect()
    }

    /// Returns the number of targets that name a limit.
    pub fn n_limited(&self) -> usize {
        let rows = self.targets.values();
        rows.filter(|row| row.limit.rate().is_some()).count()
    }

    /// Returns whether a target is draining or gone, as its record says.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.targets.get(id).is_none_or(|row| !row.is_usable())
    }

    /// Returns the number of targets that accept requests.
    pub fn n_usable(&self) -> usize {
        self.targets.values().filter(|row| row.is_usable()).count()
    }

    /// Counts the start of a request at a target.
    pub fn begin(&mut self, id: &str) {
        if let Some(row) = self.targets.get_mut(id) {
            row.own += 1;
        }
    }

    /// Counts the end of a request at a target.
    pub fn end(&mut self, id: &str) {
        if let Some(row) = self.targets.get_mut(id) {
            row.own = row.own.saturating_sub(1);
        }
        self.drop_if_done(id);
    }

    /// Returns the health of a target for updates.
    pub fn health_mut(&mut self, id: &str) -> Option<&mut TargetHealth> {
        self.targets.get_mut(id).map(|row| &mut row.health)
    }

    /// Returns the concurrency limit of a service's group for updates.
    pub fn limit_mut(&mut self, service: &Arc<str>) -> &mut GroupLimit {
        self.limits.entry(service.clone()).or_default()
    }

    /// Returns the health of a service's group for updates.
    pub fn group_mut(&mut self, service: &Arc<str>) -> &mut GroupHealth {
        self.groups.entry(service.clone()).or_default()
    }

    /// Returns whether a service's group is known to be broken.
    pub fn is_group_broken(&self, service: &str, now: Instant) -> bool {
        self.groups
            .get(service)
            .is_some_and(|group| group.is_broken(now))
    }

    /// Returns the machines of ranks to ask next whether their group serves again.
    pub fn next_asked(&mut self, now: Instant) -> Vec<IpAddr> {
        let services: SmallVec<[Arc<str>; 4]> = self.groups.keys().cloned().collect();
        let mut asked = Vec::new();
        for service in services {
            let own = self.group_load(&service, now).own;
            let mut ranks: Vec<IpAddr> = self
                .usable(&service)
                .map(|row| row.entry.address.ip())
                .collect();
            ranks.sort_unstable();
            asked.extend(self.group_mut(&service).next_asked(own, &ranks, now));
        }
        asked
    }

    /// Records a rank's report, read by the agent on its machine; returns whether it shows that the
    /// group of the rank serves again.
    pub fn record_report(&mut self, rank: IpAddr, status: RankStatus, now: Instant) -> bool {
        let row = self
            .targets
            .values()
            .find(|row| row.is_usable() && row.entry.address.ip() == rank);
        let Some(service) = row.map(|row| row.entry.service.clone()) else {
            return false;
        };
        self.group_mut(&service).record_report(rank, status, now)
    }

    /// Returns the total load of a service's targets.
    pub fn group_load(&self, service: &str, now: Instant) -> GroupLoad {
        let mut load = GroupLoad {
            peer_demand: self.view.demand_for(name_hash(service), now),
            ..GroupLoad::default()
        };
        let limit = self.limits.get(service);
        let run_s = limit.map_or_else(|| GroupLimit::default().stream_s(), GroupLimit::stream_s);
        for row in self
            .targets
            .values()
            .filter(|row| &*row.entry.service == service)
        {
            if row.is_usable() {
                let slots = row.limit.usable_slots(row.entry.slots, run_s);
                // A record of another writer may state any number.
                load.slots = load.slots.saturating_add(slots);
            }
            load.own += row.own;
            load.running += row.own + self.view.running_at(row.hash, now);
        }
        load
    }

    /// Decides whether a stream may begin at a service whose targets are ranks of one group.
    pub fn admit(
        &mut self,
        service: &Arc<str>,
        engine: &EngineSpec,
        now: Instant,
    ) -> (AdmitDecision, GroupLoad) {
        let mut load = self.group_load(service, now);
        let paces = self.usable(service).map(|row| row.pace_at(now));
        load.min_pass = engine.base_pass.mul_f64(paces.fold(1.0, f64::max));
        match self
            .group_mut(service)
            .admit(load.own, engine.form_time, now)
        {
            GroupState::Broken(retry_after) => return (AdmitDecision::Broken(retry_after), load),
            GroupState::Forming(until) => return (AdmitDecision::Forming(until), load),
            GroupState::Open | GroupState::Probe => {}
        }
        let is_stalled = self.group_mut(service).is_stalled(load.own, now);
        let limit = self.limit_mut(service);
        limit.update(&load, engine.pause, now);
        let decision = match limit.admit(&load, now) {
            // No slot gets free before the group goes on or forms again.
            AdmitDecision::Full(_) if is_stalled => AdmitDecision::Full(GROUP_RECOVERY_TIME),
            decision => decision,
        };
        (decision, load)
    }

    /// Returns this entry's running requests by target hash, to report to its peers.
    pub fn own_running(&self) -> Vec<(u32, u16)> {
        self.targets
            .values()
            .filter(|row| 0 < row.own)
            .map(|row| (row.hash, row.own.min(u32::from(u16::MAX)) as u16))
            .collect()
    }

    /// Returns this entry's demand by service hash, in requests per second, to report to its peers.
    pub fn own_demand(&self, now: Instant) -> Vec<(u32, f32)> {
        self.limits
            .iter()
            .map(|(service, limit)| (name_hash(service), limit.demand_at(now) as f32))
            .collect()
    }

    /// Returns the recent results of this entry's requests by target hash, to report to its peers,
    /// where any failed.
    pub fn own_results(&self, now: Instant) -> Vec<(u32, ResultCounts)> {
        self.targets
            .values()
            .map(|row| (row.hash, row.health.counts_at(now)))
            .filter(|(_, counts)| MIN_REPORTED_FAILURES <= counts.failed)
            .collect()
    }

    fn usable(&self, service: &str) -> impl Iterator<Item = &TargetRow> {
        self.targets
            .values()
            .filter(move |row| row.is_usable() && &*row.entry.service == service)
    }
}

impl TargetRow {
    fn pace_at(&self, now: Instant) -> f64 {
        self.pace
            .filter(|(_, at)| now < *at + MAX_PACE_AGE)
            .map_or(1.0, |(pace, _)| pace)
    }

    fn is_usable(&self) -> bool {
        !self.is_removed && !self.entry.draining
    }
}
