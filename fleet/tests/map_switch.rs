//! Map switches: no pass runs on two maps, whichever orders are lost, delayed or duplicated and
//! however often the leader's process dies.

mod fake_group;

use std::time::Duration;

use comfreyhead_fleet::expert::{LeaderAction, RankView, SwitchLeader, SwitchPhase};
use comfreyhead_fleet::prelude::*;
use fake_group::{DeliveryOdds, FakeGroup, RANKS, highest_version, keeper_rank, planned_map};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Simulates a group and its leader; returns the number of passes and of map versions used.
fn simulate(seed: u64, loss: f64, n_deaths: u32) -> (u64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let odds = DeliveryOdds { loss, repeat: 0.05 };
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
            if rng.random_bool(0.3) {
                group.restart_keeper();
            }
        }
        for (rank, view) in views.iter_mut().enumerate() {
            if rank == 0 || rng.random_bool(0.5) {
                *view = Some(group.view(rank, now));
            }
        }
        if leader.is_idle() && views.iter().all(Option::is_some) && rng.random_bool(0.2) {
            let reports = || views.iter().flatten().map(|view| &view.report);
            let is_armed = reports().any(|report| report.armed.is_some());
            let may_begin = reports().all(|report| report.held.is_none()) || leader.needs_map();
            if !is_armed && may_begin {
                let version = SwitchLeader::next_version(highest_version(&views), life);
                leader.begin(Arc::new(planned_map(version, &mut rng)), now);
            }
        }
        for action in leader.on_tick(&views, now) {
            match action {
                LeaderAction::Order(rank, order) => {
                    group.send(usize::from(rank), order, &odds, &mut rng);
                }
                LeaderAction::Ask(query) => group.ask(&query, now),
                LeaderAction::Note(_) => {}
            }
        }
        if let Some(order) = group.tick_keeper(now) {
            group.execute(keeper_rank(), &order);
        }
        group.advance(&mut rng);
        versions.insert(group.ranks[0].report.version);
    }
    (group.ranks[0].report.step, versions.len())
}

fn cases() -> u32 {
    let cases = std::env::var("COMFREYHEAD_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(300)
}

#[test]
fn passes_run_on_one_map_with_lost_and_delayed_orders_and_dying_leaders() {
    let config = Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    proptest!(config, |(seed: u64, loss in 0.0..0.6, n_deaths in 0..6_u32)| {
        simulate(seed, loss, n_deaths);
    });
}

#[test]
fn group_runs_and_switches_if_no_order_is_lost() {
    // Arrange, act
    let (passes, versions) = simulate(3, 0.0, 0);

    // Assert
    assert!(400 < passes, "passes: {passes}");
    assert!(10 < versions, "versions: {versions}");
}

#[test]
fn hold_without_a_copied_map_needs_a_map_and_is_not_released() {
    // Arrange
    let mut group = FakeGroup::new();
    group.ranks[keeper_rank()].report.held = Some(5);
    let now = Instant::now();
    let views = group.views(now);
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
fn versions_of_two_incarnations_differ_and_grow() {
    // Act
    let first = SwitchLeader::next_version(0, 9);
    let other = SwitchLeader::next_version(0, 10);
    let later = SwitchLeader::next_version(other, 9);

    // Assert
    assert_ne!(first, other);
    assert!(other < later);
}
