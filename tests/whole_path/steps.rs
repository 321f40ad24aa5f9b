//! Step windows of a group of three ranks while its agents and the log service fail.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetShape};

/// The maximum number of polls, one each 100 ms.
const MAX_POLLS: usize = 600;

#[tokio::test(flavor = "multi_thread")]
async fn no_window_runs_on_two_maps() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 3,
        services: 0,
    })
    .await;
    for engine in &fleet.engines {
        engine.set_expert_rates(hot_expert_rates());
    }
    let report = fleet.patch(0, &group_patch()).await;
    assert_eq!(report["result"], "accepted", "{report:#}");
    wait_for_windows(&fleet, 10).await;

    fleet
        .wait_for(0, "/plans/kit-group", |plan| plan["skew_before"].is_f64())
        .await;
    wait_for_map(&fleet, 2).await;
    for agent in 0..3 {
        fleet.agents[agent].kill();
        pause().await;
        fleet.agents[agent].spawn();
        wait_for_more_windows(&fleet, 10).await;
    }
    fleet.agents[1].freeze();
    pause().await;
    fleet.agents[1].thaw();
    wait_for_more_windows(&fleet, 10).await;
    fleet.log.set_down(true);
    let before_outage = n_windows(&fleet);
    wait_for_more_windows(&fleet, 10).await;
    fleet.log.set_down(false);
    fleet.agents[0].kill();
    fleet.agents[2].kill();
    fleet.agents[0].spawn();
    fleet.agents[2].spawn();
    wait_for_more_windows(&fleet, 10).await;

    assert!(before_outage < n_windows(&fleet));
    check_windows(&fleet);
}

fn group_patch() -> Value {
    let group = json!({
        "model": "kit-assistant", "ranks": ["model-0", "model-1", "model-2"], "layers": 2,
        "experts": 8, "slots_per_rank": 4, "window_steps": 8,
    });
    json!({
        "base": 1, "batch": "group", "author": "tests",
        "changes": [{ "change": "set-group", "name": "kit-group", "group": group }],
    })
}

/// Returns token rates at which one expert of each layer gets most of the tokens.
fn hot_expert_rates() -> Vec<Vec<f64>> {
    vec![vec![4_000.0, 100.0, 100.0, 100.0, 100.0, 100.0, 100.0, 100.0]; 2]
}

/// Waits until the newest started window of every engine runs on a map of at least this number.
async fn wait_for_map(fleet: &Fleet, number: u64) {
    for _ in 0..MAX_POLLS {
        let runs_map = |engine: &comfreyhead_standins::EngineStandIn| {
            let newest = engine
                .started_windows()
                .last()
                .map(|order| order.map["number"].as_u64());
            Some(number) <= newest.flatten()
        };
        if fleet.engines.iter().all(runs_map) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("map {number} is not in use on every engine");
}

/// Returns the minimum number of windows that an engine has started.
fn n_windows(fleet: &Fleet) -> usize {
    let counts = fleet
        .engines
        .iter()
        .map(|engine| engine.started_windows().len());
    counts.min().expect("engines")
}

async fn wait_for_more_windows(fleet: &Fleet, n_more: usize) {
    wait_for_windows(fleet, n_windows(fleet) + n_more).await;
}

async fn wait_for_windows(fleet: &Fleet, n_wanted: usize) {
    for _ in 0..MAX_POLLS {
        if n_wanted <= n_windows(fleet) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!(
        "the group is stuck at {} of {n_wanted} windows",
        n_windows(fleet)
    );
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

fn check_windows(fleet: &Fleet) {
    let mut maps: BTreeMap<u64, Value> = BTreeMap::new();
    for (rank, engine) in fleet.engines.iter().enumerate() {
        let mut earlier = (0, 0);
        for order in engine.started_windows() {
            let map = maps
                .entry(order.window)
                .or_insert_with(|| order.map.clone());
            assert_eq!(*map, order.map, "window {} of rank {rank}", order.window);
            let place = (order.window, order.fencing_number);
            assert!(
                earlier.0 <= place.0 && earlier.1 <= place.1,
                "{earlier:?} then {place:?}"
            );
            earlier = place;
        }
    }
    println!("{} windows on one map each", maps.len());
}
