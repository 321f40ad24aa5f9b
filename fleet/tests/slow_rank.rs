//! A rank that is slower than the others: it gets work last, and the limit does not shed streams
//! if shedding can't shorten the passes.

mod engines;

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhead_fleet::catalog::EngineSpec;
use comfreyhead_fleet::expert::{MapPlanner, PlannerInput};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::roster::RosterChange;
use comfreyhead_fleet::routing::{AdmitDecision, GroupLimit, GroupLoad, RoutingTable};
use engines::small_engines;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn table_of(n_targets: u16) -> RoutingTable {
    let mut table = RoutingTable::new("sofia-a".into());
    for port in 0..n_targets {
        let entry = TargetEntry {
            id: format!("t{port}").into(),
            service: "pool".into(),
            address: address(port),
            zone: "sofia-a".into(),
            slots: 12,
            draining: false,
            started_ms: 0,
        };
        table.apply(&RosterChange::Changed(entry));
    }
    table
}

#[test]
fn slow_rank_gets_work_last() {
    // Arrange
    let mut table = table_of(4);
    let now = Instant::now();
    table.observe_pace(address(0), 3.0, now);
    let mut rng = ChaCha8Rng::seed_from_u64(1);

    // Act
    for _ in 0..24 {
        let pick = table.choose("pool", &[], now, &mut rng).unwrap();
        table.begin(&pick.id);
    }

    // Assert
    let running = |id: &str| {
        let hash = comfreyhead_fleet::routing::name_hash(id);
        let all = table.own_running();
        all.iter()
            .find(|(known, _)| *known == hash)
            .map_or(0, |(_, n_running)| *n_running)
    };
    assert!(running("t0") <= 2, "slow: {}", running("t0"));
    assert!(7 <= running("t1"), "usual: {}", running("t1"));
}

#[test]
fn report_of_a_slow_rank_expires() {
    // Arrange
    let mut table = table_of(2);
    let now = Instant::now();
    table.observe_pace(address(0), 3.0, now);
    let later = now + Duration::from_secs(5);
    let mut rng = ChaCha8Rng::seed_from_u64(1);

    // Act
    let mut n_slow = 0;
    for _ in 0..100 {
        let pick = table.choose("pool", &[], later, &mut rng).unwrap();
        n_slow += u32::from(&*pick.id == "t0");
    }

    // Assert
    assert!((30..=70).contains(&n_slow), "{n_slow}");
}

#[test]
fn no_stream_is_shed_if_shedding_cannot_shorten_passes() {
    // Arrange: the slow rank alone takes 95 ms a pass.
    let mut limit = GroupLimit::default();
    let start = Instant::now();
    let load = |running| GroupLoad {
        slots: 192,
        running,
        own: 5,
        peer_demand: 70.0,
        min_pass: Duration::from_millis(95),
    };

    // Act
    for tick in 1..100_u32 {
        let now = start + Duration::from_millis(100) * tick;
        limit.observe_pause(Duration::from_millis(130), now);
        limit.update(&load(100), Duration::from_millis(120), now);
    }
    let now = start + Duration::from_secs(10);

    // Assert
    assert_eq!(limit.limit(192), 192.0);
    assert_eq!(limit.admit(&load(100), now), AdmitDecision::Admit);
}

#[test]
fn planner_gives_a_slow_rank_less_of_the_load() {
    // Arrange
    let engine = EngineSpec {
        experts: 8,
        places: 3,
        ..small_engines()
    };
    let held: Vec<Vec<Vec<u16>>> = (0..4).map(|rank| vec![vec![rank, rank + 4]]).collect();
    let mut planner = MapPlanner::default();
    planner.observe(&vec![Some(vec![0; 8]); 4]);
    planner.observe(&vec![Some(vec![1_000; 8]); 4]);
    let input = PlannerInput {
        engine: &engine,
        held: &held,
        version: 1,
        paces: &[4.0, 1.0, 1.0, 1.0],
        pass_s: Some(0.1),
    };

    // Act
    let planned = planner.plan(&input).unwrap().unwrap();

    // Assert
    let replicas = |expert| {
        planned.mapping[0]
            .iter()
            .filter(|rank| rank.contains(&expert))
            .count()
    };
    let load: f64 = planned.mapping[0][0]
        .iter()
        .map(|&expert| 1.0 / replicas(expert) as f64)
        .sum();
    assert!(load <= 1.5, "load of the slow rank: {load} of 8 experts");
    assert!(planned.skew_after < planned.skew_before);
    for (rank, experts) in planned.mapping[0].iter().enumerate() {
        let n_new = experts
            .iter()
            .filter(|expert| !held[rank][0].contains(expert))
            .count();
        assert!(n_new <= 2, "rank {rank} copies {n_new}");
    }
}
