//! A leader that stops sending queries while a pass is held: the keeper, the agent of the holding
//! rank, aborts the attempt so that the group continues, but never once ranks may have been armed.

mod fake_group;

use std::time::Duration;

use comfreyhead_fleet::expert::{
    KeeperVerdict, LeaderAction, LeaderActions, PassKeeper, PassQuery, PreparedMap, RankReport,
    SwitchLeader, SwitchPhase,
};
use comfreyhead_fleet::prelude::*;
use fake_group::{DeliveryOdds, FakeGroup, highest_version, keeper_rank, planned_map};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A time without queries after which the keeper has timed out the leader.
const SILENCE: Duration = Duration::from_millis(400);

/// Executes the leader's actions on the group.
fn execute(group: &mut FakeGroup, actions: LeaderActions, now: Instant) {
    for action in actions {
        match action {
            LeaderAction::Order(rank, order) => group.execute(usize::from(rank), &order),
            LeaderAction::Ask(query) => group.ask(&query, now),
            LeaderAction::Note(_) => {}
        }
    }
}

/// Returns a group and its leader just after a pass was held, with the version and the pass.
fn held_group(now: Instant) -> (FakeGroup, SwitchLeader, u64, u64) {
    let mut group = FakeGroup::new();
    let mut leader = SwitchLeader::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    leader.on_tick(&group.views(now), now);
    leader.begin(Arc::new(planned_map(1 << 16, &mut rng)), now);
    for _ in 0..10 {
        let actions = leader.on_tick(&group.views(now), now);
        for action in actions {
            let is_query = matches!(action, LeaderAction::Ask(_));
            execute(&mut group, LeaderActions::from_iter([action]), now);
            if let (SwitchPhase::Holding(version, step), Some(_)) = (leader.phase(), group.held())
                && !is_query
            {
                let (version, step) = (*version, *step);
                return (group, leader, version, step);
            }
        }
    }
    panic!("no pass is held");
}

#[test]
fn silent_leader_blocks_no_pass_and_tries_a_later_one_when_it_resumes() {
    // Arrange
    let now = Instant::now();
    let (mut group, mut leader, version, step) = held_group(now);

    // Act: the keeper ticks while the leader hangs.
    let later = now + SILENCE;
    let order = group.tick_keeper(later).unwrap();
    group.execute(keeper_rank(), &order);
    for _ in 0..10 {
        group.begin_pass();
    }

    // Assert
    assert_eq!(group.held(), None);
    assert!(step < group.ranks[0].report.step);
    assert!(group.ranks.iter().all(|rank| rank.report.version == 0));
    for tick in 0..40 {
        let actions = leader.on_tick(&group.views(later), later);
        execute(&mut group, actions, later);
        if tick % 2 == 0 {
            group.begin_pass();
        }
    }
    let in_use = group.ranks.iter().map(|rank| rank.report.version);
    assert_eq!(in_use.collect::<Vec<_>>(), [version; 3]);
}

#[test]
fn pass_for_which_ranks_may_be_armed_is_not_aborted() {
    // Arrange
    let now = Instant::now();
    let (mut group, mut leader, version, step) = held_group(now);
    while leader.phase() != &SwitchPhase::Arming(version, step) {
        let actions = leader.on_tick(&group.views(now), now);
        execute(&mut group, actions, now);
    }

    // Act
    let order = group.tick_keeper(now + SILENCE);

    // Assert
    assert_eq!(order, None);
    assert_eq!(group.held(), Some(step));
}

#[test]
fn aborted_pass_is_not_allowed_later() {
    // Arrange
    let now = Instant::now();
    let (mut group, mut leader, version, step) = held_group(now);

    // Act: the order that releases the pass is lost.
    let order = group.tick_keeper(now + SILENCE);
    for _ in 0..10 {
        let actions = leader.on_tick(&group.views(now), now);
        execute(&mut group, actions, now + SILENCE);
    }

    // Assert
    assert!(order.is_some());
    assert_eq!(leader.phase(), &SwitchPhase::Holding(version, step));
    assert!(group.ranks.iter().all(|rank| rank.report.armed.is_none()));
}

#[test]
fn aborted_pass_that_is_still_held_is_remembered() {
    // Arrange
    let now = Instant::now();
    let mut keeper = PassKeeper::new(1);
    keeper.start(&report(None, 0));
    let query = |step| PassQuery {
        life: 1,
        epoch: 1,
        version: 7,
        step,
    };
    keeper.answer(&query(5), &report(None, 7), now);
    assert!(keeper.on_tick(&report(Some(5), 7), now + SILENCE).is_some());

    // Act
    let later_pass = keeper.answer(&query(9), &report(Some(5), 7), now + SILENCE);
    let same_pass = keeper.answer(&query(5), &report(Some(5), 7), now + SILENCE);

    // Assert
    assert_eq!(later_pass, KeeperVerdict::Open);
    assert_eq!(same_pass, KeeperVerdict::GivenUp);
    assert!(keeper.on_tick(&report(Some(5), 7), now + SILENCE).is_some());
}

#[test]
fn leader_continues_with_another_pass_that_it_finds_held() {
    // Arrange
    let now = Instant::now();
    let (mut group, mut leader, version, step) = held_group(now);
    group.ranks[keeper_rank()].report.held = Some(step - 1);

    // Act
    leader.on_tick(&group.views(now), now);

    // Assert
    assert_eq!(leader.phase(), &SwitchPhase::Holding(version, step - 1));
}

fn report(held: Option<u64>, copied: u64) -> RankReport {
    RankReport {
        epoch: 1,
        open: true,
        held,
        prepared: Some(PreparedMap {
            version: copied,
            digest: None,
        }),
        ..RankReport::default()
    }
}

#[test]
fn keeper_that_finds_a_pass_held_decides_only_once_a_newer_map_is_copied() {
    // Arrange
    let now = Instant::now();
    let mut keeper = PassKeeper::new(2);
    keeper.start(&report(Some(5), 7));
    let query = |version| PassQuery {
        life: 2,
        epoch: 1,
        version,
        step: 5,
    };

    // Act
    let first = keeper.answer(&query(7), &report(Some(5), 7), now);
    let aborted = keeper.on_tick(&report(Some(5), 7), now + SILENCE);
    let for_older_map = keeper.answer(&query(7), &report(Some(5), 8), now);
    let for_newer_map = keeper.answer(&query(8), &report(Some(5), 8), now);

    // Assert
    assert_eq!(first, KeeperVerdict::Unknown);
    assert_eq!(aborted, None);
    assert_eq!(for_older_map, KeeperVerdict::Unknown);
    assert_eq!(for_newer_map, KeeperVerdict::Allowed);
}

#[test]
fn query_to_another_incarnation_of_the_keeper_changes_nothing() {
    // Arrange
    let now = Instant::now();
    let mut keeper = PassKeeper::new(2);
    keeper.start(&report(None, 0));
    let query = PassQuery {
        life: 1,
        epoch: 1,
        version: 7,
        step: 5,
    };

    // Act
    let verdict = keeper.answer(&query, &report(Some(5), 7), now);

    // Assert
    assert_eq!(verdict, KeeperVerdict::Open);
    assert!(!keeper.is_watching(&report(Some(5), 7)));
}

/// Simulates a leader that hangs and dies and a keeper that restarts, with lost, delayed and
/// duplicated orders; returns the number of passes.
fn simulate(seed: u64, loss: f64, n_restarts: u32) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let odds = DeliveryOdds {
        loss,
        repeat: loss / 4.0,
    };
    let mut group = FakeGroup::new();
    let mut leader = SwitchLeader::default();
    let mut life = 1;
    let mut hung_until = 0;
    let mut restarts_left = n_restarts;
    let start = Instant::now();
    for tick in 0..2_000_u64 {
        let now = start + Duration::from_millis(12 * tick);
        let views = group.views(now);
        let mut orders = Vec::new();
        if hung_until <= tick {
            let reports = || views.iter().flatten().map(|view| &view.report);
            let may_begin = reports().all(|report| {
                report.armed.is_none() && (report.held.is_none() || leader.needs_map())
            });
            if leader.is_idle() && may_begin && rng.random_bool(0.1) {
                let version = SwitchLeader::next_version(highest_version(&views), life);
                leader.begin(Arc::new(planned_map(version, &mut rng)), now);
            }
            for action in leader.on_tick(&views, now) {
                match action {
                    LeaderAction::Order(rank, order) => orders.push((usize::from(rank), order)),
                    LeaderAction::Ask(query) => group.ask(&query, now),
                    LeaderAction::Note(_) => {}
                }
            }
            if rng.random_bool(0.03) {
                hung_until = tick + rng.random_range(5..300);
            }
        }
        if 0 < restarts_left && rng.random_bool(0.01) {
            restarts_left -= 1;
            if rng.random_bool(0.5) {
                group.restart_keeper();
            } else {
                life += 1;
                leader = SwitchLeader::default();
            }
        }
        orders.extend(group.tick_keeper(now).map(|order| (keeper_rank(), order)));
        for (rank, order) in orders {
            group.send(rank, order, &odds, &mut rng);
        }
        group.advance(&mut rng);
    }
    group.ranks[0].report.step
}

#[test]
fn passes_run_on_one_map_while_leaders_hang_and_keepers_restart() {
    let config = Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    proptest!(config, |(seed: u64, loss in 0.0..0.5, n_restarts in 0..6_u32)| {
        simulate(seed, loss, n_restarts);
    });
}

#[test]
fn group_continues_while_its_leader_hangs_repeatedly() {
    // Act
    let passes: Vec<u64> = (0..20).map(|seed| simulate(seed, 0.0, 0)).collect();

    // Assert: at least half of the 400 passes that would begin without any hold do begin, although
    // the leader hangs most of the time and a pass whose arming is allowed waits for it.
    assert!(passes.iter().all(|passes| 200 < *passes), "{passes:?}");
}
