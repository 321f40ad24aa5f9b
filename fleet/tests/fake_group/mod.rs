//! Fixture: a fake group of ranks that executes orders by the platform's rules.

use comfreyhead_fleet::expert::{
    ArmedMap, KeeperVerdict, MapOrder, OrderKind, PassKeeper, PassQuery, PlannedMap, PreparedMap,
    RankReport, RankView, SwitchLeader, mapping_digest,
};
use comfreyhead_fleet::prelude::*;
use rand::{Rng, RngExt};

pub const RANKS: usize = 3;

/// A fake rank that executes orders by the platform's rules.
#[derive(Clone, Default)]
pub struct FakeRank {
    pub report: RankReport,
    content: u64,
    copied_content: u64,
}

/// A fake group of ranks with its keeper and the orders in flight.
pub struct FakeGroup {
    pub ranks: Vec<FakeRank>,
    pub delayed: Vec<(usize, MapOrder)>,
    life: u16,
    keeper: PassKeeper,
    verdict: Option<(u64, KeeperVerdict)>,
}

/// The probabilities that an order is lost or duplicated.
pub struct DeliveryOdds {
    pub loss: f64,
    pub repeat: f64,
}

/// Returns the highest version that ranks report to have had.
pub fn highest_version(views: &[Option<RankView>]) -> u64 {
    let reports = views.iter().flatten().map(|view| &view.report);
    let copied = |report: &RankReport| report.prepared.map_or(0, |map| map.version);
    let versions = reports.map(|report| report.version.max(copied(report)));
    versions.max().unwrap_or(0)
}

/// Returns the rank that holds passes.
pub fn keeper_rank() -> usize {
    SwitchLeader::keeper_rank(RANKS)
}

impl FakeGroup {
    pub fn new() -> Self {
        let rank = |rank| FakeRank {
            report: RankReport {
                epoch: 1,
                rank,
                size: RANKS as u16,
                open: true,
                pace: 1.0,
                ..RankReport::default()
            },
            ..FakeRank::default()
        };
        Self {
            ranks: (0..RANKS as u16).map(rank).collect(),
            delayed: Vec::new(),
            life: 1,
            keeper: PassKeeper::new(1),
            verdict: None,
        }
    }

    pub fn execute(&mut self, rank: usize, order: &MapOrder) {
        let fake_rank = &mut self.ranks[rank];
        let report = &mut fake_rank.report;
        if order.expected.is_some_and(|seq| seq != report.seq) {
            return;
        }
        let before = report.clone();
        match &order.kind {
            OrderKind::Prepare(version, mapping) => {
                let had = report
                    .version
                    .max(report.prepared.map_or(0, |map| map.version));
                if report.armed.is_none() && had < *version {
                    let digest = mapping_digest(mapping.iter().map(|set| set[rank].as_slice()));
                    fake_rank.copied_content = mapping_digest(
                        mapping.iter().flat_map(|set| set.iter().map(Vec::as_slice)),
                    );
                    report.prepared = Some(PreparedMap {
                        version: *version,
                        digest: Some(digest),
                    });
                }
            }
            OrderKind::Arm(version, step) => {
                let is_copied = report.prepared.is_some_and(|map| map.version == *version);
                if is_copied && report.step < *step && report.armed.is_none() {
                    report.armed = Some(ArmedMap {
                        version: *version,
                        step: *step,
                    });
                }
            }
            OrderKind::Hold(step) => {
                if report.step < *step && report.held.is_none() {
                    report.held = Some(*step);
                }
            }
            OrderKind::Release(step) => {
                if report.held == Some(*step) {
                    report.held = None;
                }
            }
        }
        if *report != before {
            report.seq += 1;
        }
    }

    /// Returns the state of a rank as read at `now`.
    pub fn view(&self, rank: usize, now: Instant) -> RankView {
        RankView {
            asked_at: now,
            report: self.ranks[rank].report.clone(),
            life: self.life,
            verdict: self.verdict.filter(|_| rank == keeper_rank()),
        }
    }

    /// Returns the states of all ranks as read at `now`.
    pub fn views(&self, now: Instant) -> Vec<Option<RankView>> {
        let views = (0..RANKS).map(|rank| self.view(rank, now));
        views.map(Some).collect()
    }

    /// Lets the keeper answer a query of the leader.
    pub fn ask(&mut self, query: &PassQuery, now: Instant) {
        let own = &self.ranks[keeper_rank()].report;
        let verdict = self.keeper.answer(query, own, now);
        self.verdict = (query.life == self.life).then_some((query.step, verdict));
    }

    /// Runs one tick of the keeper; returns its order.
    pub fn tick_keeper(&mut self, now: Instant) -> Option<MapOrder> {
        let own = self.ranks[keeper_rank()].report.clone();
        self.keeper.on_tick(&own, now)
    }

    /// Restarts the keeper's process.
    pub fn restart_keeper(&mut self) {
        self.life += 1;
        self.keeper = PassKeeper::new(self.life);
        self.keeper.start(&self.ranks[keeper_rank()].report);
        self.verdict = None;
    }

    /// Sends an order, which may be delayed indefinitely or executed again later.
    pub fn send(&mut self, rank: usize, order: MapOrder, odds: &DeliveryOdds, rng: &mut impl Rng) {
        if rng.random_bool(odds.loss) {
            self.delayed.push((rank, order));
            return;
        }
        if rng.random_bool(odds.repeat) {
            self.delayed.push((rank, order.clone()));
        }
        self.execute(rank, &order);
    }

    /// With some probability, executes one delayed order and begins a pass.
    pub fn advance(&mut self, rng: &mut impl Rng) {
        if !self.delayed.is_empty() && rng.random_bool(0.1) {
            let at = rng.random_range(0..self.delayed.len());
            let (rank, order) = self.delayed.swap_remove(at);
            self.execute(rank, &order);
        }
        if rng.random_bool(0.2) {
            self.begin_pass();
        }
    }

    /// Returns the pass that is held.
    pub fn held(&self) -> Option<u64> {
        self.ranks[keeper_rank()].report.held
    }

    /// Begins the next pass unless it is held; panics if two ranks have different maps.
    pub fn begin_pass(&mut self) {
        let next = self.ranks[0].report.step + 1;
        if self.held() == Some(next) {
            return;
        }
        for rank in &mut self.ranks {
            rank.report.step = next;
            if let Some(armed) = rank.report.armed.filter(|armed| armed.step == next) {
                rank.report.version = armed.version;
                rank.report.armed = None;
                rank.content = rank.copied_content;
            }
        }
        let first = (self.ranks[0].report.version, self.ranks[0].content);
        for rank in &self.ranks {
            assert_eq!((rank.report.version, rank.content), first, "one_map_a_pass");
        }
    }
}

pub fn planned_map(version: u64, rng: &mut impl Rng) -> PlannedMap {
    let mut rank = || vec![rng.random_range(0..50_u16)];
    PlannedMap {
        version,
        mapping: vec![(0..RANKS).map(|_| rank()).collect()].into(),
        skew_before: 2.0,
        skew_after: 1.0,
        copies: RANKS,
    }
}
