//! Placement of experts: plans keep every expert, respect the limit on moves and reduce the skew.

use std::time::Duration;

use comfreyhead::prelude::Timestamp;
use comfreyhead::version::config::PlacementConfig;
use comfreyhead::version::expert_map::{
    ExpertLoads, ExpertMap, LoadReport, LoadSample, MapNumber, MapShape, PlacementPlan, PlanInput,
    PlanReason, PopularityTable, place_experts, plan,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const EXPERT_BYTES: u64 = 1_000;

fn shape() -> MapShape {
    MapShape {
        ranks: 4,
        experts: 8,
        layers: 2,
        slots_per_rank: 3,
    }
}

fn even_map() -> ExpertMap {
    ExpertMap::round_robin(MapNumber(1), shape()).unwrap()
}

fn weights(move_weight: f64, max_moves: u32) -> PlacementConfig {
    PlacementConfig {
        skew_weight: 1.0,
        move_weight,
        max_moves,
        horizon_s: 600,
    }
}

/// Creates loads where one expert of each layer has the rate `hot` and the others 1.
fn hot_loads(hot: f32) -> ExpertLoads {
    let rates = (0..16)
        .map(|idx| if idx % 8 == 5 { hot } else { 1.0 })
        .collect();
    ExpertLoads::new(8, rates)
}

fn plan_for(loads: &ExpertLoads, speeds: &[f64], weights: &PlacementConfig) -> PlacementPlan {
    let current = &even_map();
    plan(&PlanInput {
        current,
        loads,
        speeds,
        expert_bytes: EXPERT_BYTES,
        weights,
        headroom: u16::MAX,
    })
}

#[test]
fn first_map_fills_its_spare_slots() {
    // Arrange
    let map = even_map();

    // Act
    let replicas = map.replicas(0);

    // Assert
    assert_eq!(replicas.iter().sum::<u16>(), 12);
    assert!(!map.layer(0).contains(&ExpertMap::EMPTY_SLOT));
}

#[test]
fn hot_expert_gets_replicas() {
    // Arrange
    let loads = hot_loads(8.0);

    // Act
    let plan = plan_for(&loads, &[1.0; 4], &weights(0.01, 100));

    // Assert
    assert!(even_map().replicas(0)[5] < plan.map.replicas(0)[5]);
    assert!(plan.skew_after < plan.skew_before);
    assert_eq!(plan.bytes, plan.moves.len() as u64 * EXPERT_BYTES);
    assert_eq!(plan.map.number(), MapNumber(2));
}

#[test]
fn slow_rank_gets_less_load() {
    // Arrange
    let loads = hot_loads(1.0);
    let speeds = [0.5, 1.0, 1.0, 1.0];

    // Act
    let plan = plan_for(&loads, &speeds, &weights(0.01, 100));

    // Assert
    assert!(plan.skew_after < plan.skew_before);
}

#[test]
fn moves_that_gain_less_than_they_cost_are_not_planned() {
    // Arrange
    let loads = hot_loads(8.0);

    // Act
    let plan = plan_for(&loads, &[1.0; 4], &weights(1_000.0, 100));

    // Assert
    assert_eq!(plan.reason, PlanReason::GainBelowCost);
    assert_eq!(plan.map, even_map());
    assert_eq!(plan.bytes, 0);
}

#[test]
fn plan_displays_as_one_log_line() {
    // Arrange
    let loads = hot_loads(8.0);

    // Act
    let plan = plan_for(&loads, &[1.0; 4], &weights(1_000.0, 100));

    // Assert
    insta::assert_snapshot!(
        plan,
        @"map=1 skew_before=2.4000 skew_after=2.4000 moves=0 bytes=0 reason=gain-below-cost"
    );
}

#[test]
fn missing_stale_and_duplicate_reports_keep_the_rates() {
    // Arrange
    let mut table = PopularityTable::new(shape(), Duration::from_secs(60));
    let report = |rank: u16, until_s: u64, tokens: u32| LoadReport {
        rank,
        until: Timestamp::from_millis(until_s * 1_000),
        interval_ms: 10_000,
        busy_ms: 1_000 * (1 + u32::from(rank)),
        samples: vec![LoadSample {
            layer: 0,
            expert: 5,
            replicas: 2,
            tokens,
        }],
    };

    // Act
    table.on_report(&report(0, 10, 1_000));
    table.on_report(&report(1, 10, 1_000));
    table.on_report(&report(0, 90, 1_000));
    table.on_report(&report(0, 80, 9_999));
    table.on_report(&report(0, 90, 9_999));

    // Assert
    assert!((table.loads().layer(0)[5] - 200.0).abs() < 0.1);
    assert!(table.speeds()[1] < table.speeds()[0]);
    assert_eq!(table.staleness(Timestamp::from_millis(100_000)), None);
}

#[test]
fn out_of_bounds_reports_are_ignored() {
    // Arrange
    let mut table = PopularityTable::new(shape(), Duration::from_secs(60));
    let before = table.loads();

    // Act
    for (rank, layer, expert) in [(9, 0, 0), (0, 9, 0), (1, 0, 9)] {
        table.on_report(&LoadReport {
            rank,
            until: Timestamp::from_millis(10_000),
            interval_ms: 10_000,
            busy_ms: 0,
            samples: vec![LoadSample {
                layer,
                expert,
                replicas: 0,
                tokens: 5,
            }],
        });
    }

    // Assert
    assert_eq!(table.loads(), before);
}

#[test]
fn maps_with_the_same_number_have_different_ids() {
    // Arrange
    let (even, other) = (
        even_map(),
        place_experts(MapNumber(1), shape(), &hot_loads(8.0), &[1.0; 4]),
    );

    // Act
    let ids = (even.id(), other.unwrap().id());

    // Assert
    assert_eq!(ids.0.number, ids.1.number);
    assert_ne!(ids.0, ids.1);
}

fn run_config() -> Config {
    let cases = std::env::var("COMFREYHEAD_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(200),
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..Config::default()
    }
}

fn any_rates() -> impl Strategy<Value = Vec<f32>> {
    prop::collection::vec(prop_oneof![Just(0.0_f32), 0.1_f32..1_000.0], 16)
}

proptest! {
    #![proptest_config(run_config())]

    #[test]
    fn plan_is_valid_within_the_move_limit_and_no_slower(
        rates in any_rates(),
        speeds in prop::collection::vec(0.3_f64..2.0, 4),
        max_moves in 0_u32..20,
    ) {
        let loads = ExpertLoads::new(8, rates);
        let plan = plan_for(&loads, &speeds, &weights(0.01, max_moves));
        plan.map.validate().unwrap();
        prop_assert!(plan.moves.len() <= max_moves as usize);
        let slowest = |map: &ExpertMap| -> f64 {
            let layer_times = |layer| map.layer_times(layer, &loads, &speeds);
            (0..2).map(|layer| layer_times(layer).into_iter().fold(0.0, f64::max)).sum()
        };
        prop_assert!(slowest(&plan.map) <= slowest(&even_map()) * 1.000_001);
    }

    #[test]
    fn map_placed_from_scratch_is_valid(rates in any_rates(), speeds in prop::collection::vec(0.3_f64..2.0, 4)) {
        let loads = ExpertLoads::new(8, rates);
        let map = place_experts(MapNumber(1), shape(), &loads, &speeds).unwrap();
        map.validate().unwrap();
    }
}
