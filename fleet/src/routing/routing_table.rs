//! The targets, their load and health, and the limits of each service.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use crate::catalog::EngineSpec;
use crate::prelude::*;
use crate::roster::RosterChange;

use super::group_health::{GroupHealth, GroupState};
use super::group_limit::{AdmitDecision, GroupLimit, GroupLoad};
use super::load_view::{LoadView, name_hash};
use super::target_health::TargetHealth;

/// The requests in progress by which a target of another data centre must be emptier to be
/// chosen: traffic between data centres costs, and a pass takes as long on every rank.
const OTHER_ZONE_PENALTY: f64 = 1.0;

/// The age at which an agent's word that its target is slow no longer counts: two of its messages.
const PACE_AGE: Duration = Duration::from_millis(1_600);

/// The targets, their load and health, and the limits of each service.
#[derive(Debug, Default)]
pub struct RoutingTable {
    zone: Arc<str>,
    targets: HashMap<Arc<str>, TargetRow>,
    limits: HashMap<Arc<str>, GroupLimit>,
    groups: HashMap<Arc<str>, GroupHealth>,
    /// What the other entries say.
    pub view: LoadView,
}

#[derive(Debug)]
struct TargetRow {
    entry: TargetEntry,
    hash: u32,
    own: u32,
    health: TargetHealth,
    /// How many times as long as usual the target takes, and when its agent told so.
    pace: Option<(f64, Instant)>,
    gone: bool,
}

/// The target that a request goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetPick {
    /// The id of the target's incarnation.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// The requests in progress there, as this entry knows.
    pub running: u32,
    /// The score by which it was chosen; lower is better.
    pub score: f64,
}

impl RoutingTable {
    /// Creates a table for an entry in a data centre.
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            ..Self::default()
        }
    }

    /// Takes in a change of the roster.
    pub fn apply(&mut self, change: &RosterChange) {
        match change {
            RosterChange::Changed(entry) => match self.targets.get_mut(&entry.id) {
                Some(row) => {
                    row.entry = entry.clone();
                    row.gone = false;
                }
                None => {
                    let row = TargetRow {
                        entry: entry.clone(),
                        hash: name_hash(&entry.id),
                        own: 0,
                        health: TargetHealth::default(),
                        pace: None,
                        gone: false,
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
            row.gone = true;
        }
        self.forget_if_done(id);
    }

    /// Forgets a target that is gone, once nothing runs there any more.
    fn forget_if_done(&mut self, id: &str) {
        let row = self.targets.get(id);
        if row.is_some_and(|row| row.gone && row.own == 0) {
            self.targets.remove(id);
        }
    }

    /// Chooses the target of a service for a request: the one with the least requests in progress,
    /// worse for failures and distance; of `excluded` ones, none.
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
        };
        let reachable = rows().filter(|row| !row.health.is_avoided(now));
        let best = self.best_of(reachable, now, rng);
        best.or_else(|| self.best_of(rows(), now, rng))
    }

    fn best_of<'a>(
        &self,
        rows: impl Iterator<Item = &'a TargetRow>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetPick> {
        rows.map(|row| self.pick_of(row, now, rng.random_range(0.0..1.0)))
            .min_by(|a, b| a.score.total_cmp(&b.score))
    }

    fn pick_of(&self, row: &TargetRow, now: Instant, jitter: f64) -> TargetPick {
        let running = row.own + self.view.running_at(row.hash, now);
        let distance = if row.entry.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_PENALTY
        };
        TargetPick {
            id: row.entry.id.clone(),
            address: row.entry.address,
            running,
            // Every rank waits for the slowest one, so a slow one gets work last.
            score: (f64::from(running) + jitter) * row.pace_at(now).powi(2)
                + row.health.penalty(now)
                + distance,
        }
    }

    /// Takes in how many times as long as usual the target at an address takes.
    pub fn observe_pace(&mut self, address: SocketAddr, pace: f32, now: Instant) {
        for row in self
            .targets
            .values_mut()
            .filter(|row| row.entry.address == address)
        {
            row.pace = Some((f64::from(pace).max(1.0), now));
        }
    }

    /// Returns whether any target of a service may get work.
    pub fn has_target(&self, service: &str) -> bool {
        self.usable(service).next().is_some()
    }

    /// Returns the number of targets that may get work.
    pub fn n_usable(&self) -> usize {
        self.targets.values().filter(|row| row.is_usable()).count()
    }

    /// Counts a request that is sent to a target.
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
        self.forget_if_done(id);
    }

    /// Returns what the results say about a target, to be updated.
    pub fn health_mut(&mut self, id: &str) -> Option<&mut TargetHealth> {
        self.targets.get_mut(id).map(|row| &mut row.health)
    }

    /// Returns the limit of a service's group, to be updated.
    pub fn limit_mut(&mut self, service: &Arc<str>) -> &mut GroupLimit {
        self.limits.entry(service.clone()).or_default()
    }

    /// Returns whether a service's group serves, to be updated.
    pub fn group_mut(&mut self, service: &Arc<str>) -> &mut GroupHealth {
        self.groups.entry(service.clone()).or_default()
    }

    /// Returns whether a service's group is known not to serve.
    pub fn is_group_broken(&self, service: &str, now: Instant) -> bool {
        let own = self.group_load(service, now).own;
        self.groups
            .get(service)
            .is_some_and(|group| group.is_broken(own, now))
    }

    /// Returns the load of a service's targets as one group.
    pub fn group_load(&self, service: &str, now: Instant) -> GroupLoad {
        let mut load = GroupLoad {
            peer_demand: self.view.demand_for(name_hash(service), now),
            ..GroupLoad::default()
        };
        for row in self
            .targets
            .values()
            .filter(|row| &*row.entry.service == service)
        {
            if row.is_usable() {
                load.slots += row.entry.slots;
            }
            load.own += row.own;
            load.running += row.own + self.view.running_at(row.hash, now);
        }
        load
    }

    /// Decides whether a stream may begin at a service whose ranks run together.
    pub fn admit(
        &mut self,
        service: &Arc<str>,
        engine: &EngineSpec,
        now: Instant,
    ) -> (AdmitDecision, GroupLoad) {
        let mut load = self.group_load(service, now);
        let paces = self.usable(service).map(|row| row.pace_at(now));
        load.least_pass = engine.base_pass.mul_f64(paces.fold(1.0, f64::max));
        if let GroupState::Broken(retry_after) = self.group_mut(service).admit(load.own, now) {
            return (AdmitDecision::Broken(retry_after), load);
        }
        let limit = self.limit_mut(service);
        limit.update(&load, engine.pause, now);
        (limit.admit(&load, now), load)
    }

    /// Returns this entry's requests in progress by target, for its peers.
    pub fn own_running(&self) -> Vec<(u32, u16)> {
        self.targets
            .values()
            .filter(|row| 0 < row.own)
            .map(|row| (row.hash, row.own.min(u32::from(u16::MAX)) as u16))
            .collect()
    }

    /// Returns this entry's demand by service, in requests a second, for its peers.
    pub fn own_demand(&self, now: Instant) -> Vec<(u32, f32)> {
        self.limits
            .iter()
            .map(|(service, limit)| (name_hash(service), limit.demand_at(now) as f32))
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
            .filter(|(_, at)| now < *at + PACE_AGE)
            .map_or(1.0, |(pace, _)| pace)
    }

    fn is_usable(&self) -> bool {
        !self.gone && !self.entry.draining
    }
}
