//! Map switches: no pass runs on two maps, whatever orders are lost, late or repeated and however
//! often the leader's process dies.

use std::time::Duration;

use comfreyhead_fleet::expert::{
    ArmedMap, LeaderAction, MapOrder, OrderKind, PlannedMap, PreparedMap, RankReport, RankView,
    SwitchLeader, SwitchPhase, mapping_digest,
};
use comfreyhead_fleet::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 3;

/// A rank that follows the platform's rules for orders.
#[derive(Clone, Default)]
struct FakeRank {
    report: RankReport,
    content: u64,
    copied_content: u64,
}

/// A group of ranks, with the orders that are under way to them.
struct FakeGroup {
    ranks: Vec<FakeRank>,
    late: Vec<(usize, MapOrder)>,
}

impl FakeGroup {
    fn new() -> Self {
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
            late: Vec::new(),
        }
    }

    fn carry_out(&mut self, rank: usize, order: &MapOrder) {
        let held_rank = &mut self.ranks[rank];
        let report = &mut held_rank.report;
        match &order.kind {
            OrderKind::Prepare(version, mapping) => {
                let had = report
                    .version
                    .max(report.prepared.map_or(0, |map| map.version));
                if report.armed.is_none() && had < *version {
                    let digest = mapping_digest(mapping.iter().map(|set| set[rank].as_slice()));
                    held_rank.copied_content = mapping_digest(
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
    }

    /// Begins the next pass unless it is held; panics where two ranks have different maps.
    fn begin_pass(&mut self) {
        let next = self.ranks[0].report.step + 1;
        if self.ranks[0].report.held == Some(next) {
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

fn planned_map(version: u64, rng: &mut impl Rng) -> PlannedMap {
    let mut rank = || vec![rng.random_range(0..50_u16)];
    PlannedMap {
        version,
        mapping: vec![(0..RANKS).map(|_| rank()).collect()].into(),
        skew_before: 2.0,
        skew_after: 1.0,
        copies: RANKS,
    }
}

/// Plays a group and its leader; returns the number of passes and of switches.
fn play(seed: u64, loss: f64, n_deaths: u32) -> (u64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut group = FakeGroup::new();
    let mut leader = SwitchLeader::default();
    let mut views: Vec<Option<RankView>> = vec![None; RANKS];
    let mut life = 1;
    let mut deaths_left = n_deaths;
    let start = Instant::now();
    let mut versions = std::collections::HashSet::new();
    for tick in 0..3_000_u64 {
        let now = start + Duration::from_millis(12 * tick);
        if 0 < deaths_left && rng.random_bool(0.01) {
            deaths_left -= 1;
            life += 1;
            leader = SwitchLeader::default();
            views = vec![None; RANKS];
        }
        for (rank, view) in views.iter_mut().enumerate() {
            if rank == 0 || rng.random_bool(0.5) {
                let report = group.ranks[rank].report.clone();
                *view = Some(RankView {
                    asked_at: now,
                    report,
                });
            }
        }
        if leader.is_idle() && views.iter().all(Option::is_some) && rng.random_bool(0.2) {
            let reports = || views.iter().flatten().map(|view| &view.report);
            let is_armed = reports().any(|report| report.armed.is_some());
            let may_begin = reports().all(|report| report.held.is_none()) || leader.needs_map();
            let highest = reports()
                .map(|report| {
                    report
                        .version
                        .max(report.prepared.map_or(0, |map| map.version))
                })
                .max();
            if !is_armed && may_begin {
                let version = SwitchLeader::next_version(highest.unwrap_or(0), life);
                leader.begin(Arc::new(planned_map(version, &mut rng)), now);
            }
        }
        for action in leader.on_tick(&views, now) {
            let LeaderAction::Order(rank, order) = action else {
                continue;
            };
            let rank = usize::from(rank);
            if rng.random_bool(loss) {
                group.late.push((rank, order));
            } else {
                if rng.random_bool(0.05) {
                    group.late.push((rank, order.clone()));
                }
                group.carry_out(rank, &order);
            }
        }
        if !group.late.is_empty() && rng.random_bool(0.1) {
            let at = rng.random_range(0..group.late.len());
            let (rank, order) = group.late.swap_remove(at);
            group.carry_out(rank, &order);
        }
        if rng.random_bool(0.2) {
            group.begin_pass();
        }
        versions.insert(group.ranks[0].report.version);
    }
    (group.ranks[0].report.step, versions.len())
}

fn cases() -> u32 {
    let cases = std::env::var("COMFREYHEAD_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(300)
}

#[test]
fn passes_run_on_one_map_with_lost_and_late_orders_and_dying_leaders() {
    let config = Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    proptest!(config, |(seed: u64, loss in 0.0..0.6, n_deaths in 0..6_u32)| {
        play(seed, loss, n_deaths);
    });
}

#[test]
fn group_goes_on_and_switches_where_no_order_is_lost() {
    // Arrange, act
    let (passes, versions) = play(3, 0.0, 0);

    // Assert
    assert!(400 < passes, "passes: {passes}");
    assert!(10 < versions, "versions: {versions}");
}

#[test]
fn hold_that_is_found_with_nothing_copied_asks_for_a_map_and_is_not_released() {
    // Arrange
    let mut group = FakeGroup::new();
    group.ranks[0].report.held = Some(5);
    let now = Instant::now();
    let views: Vec<Option<RankView>> = group
        .ranks
        .iter()
        .map(|rank| {
            Some(RankView {
                asked_at: now,
                report: rank.report.clone(),
            })
        })
        .collect();
    let mut leader = SwitchLeader::default();

    // Act
    leader.on_tick(&views, now);
    let actions = leader.on_tick(&views, now);

    // Assert
    assert!(leader.needs_map());
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(leader.phase(), &SwitchPhase::Idle);
}

#[test]
fn versions_of_two_lives_differ_and_grow() {
    // Act
    let first = SwitchLeader::next_version(0, 9);
    let other = SwitchLeader::next_version(0, 10);
    let later = SwitchLeader::next_version(other, 9);

    // Assert
    assert_ne!(first, other);
    assert!(other < later);
}
