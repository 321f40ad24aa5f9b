//! Configuration versions with concurrent operators, and with lost answers and outages of the log.

use futures::future::join_all;
use serde_json::{Value, json};

use crate::caller::{OPERATOR_TOKEN, get_json, read_stream};
use crate::fleet::{Fleet, FleetShape};
use crate::requests::{bearer, completion};

fn placement_patch(base: u64, batch: &str, horizon_s: u64) -> Value {
    let placement = json!({
        "skew_weight": 1.0, "move_weight": 1.0, "max_moves": 8, "horizon_s": horizon_s,
    });
    json!({
        "base": base, "batch": batch, "author": batch,
        "changes": [{ "change": "set-placement", "placement": placement }],
    })
}

/// Waits until entry VM `entry` reports a version as in force in every process.
pub async fn wait_until_everywhere(fleet: &Fleet, entry: usize, version: u64) {
    let n_processes = fleet.entries.len() + fleet.agents.len();
    fleet
        .wait_for(entry, &format!("/in-force/{version}"), |report| {
            report["in_force"].as_array().map(Vec::len) == Some(n_processes)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_operators_who_race_one_wins_and_the_others_learn_why() {
    let fleet = Fleet::start(FleetShape {
        entries: 3,
        engines: 1,
        services: 0,
    })
    .await;
    fleet.log.set_lost_answer_share(0.5);
    let patches = (0..6).map(|idx| {
        let patch = placement_patch(1, &format!("batch-{idx}"), 100 + idx as u64);
        let fleet = &fleet;
        async move { fleet.patch(idx % 3, &patch).await }
    });
    let reports = join_all(patches).await;
    fleet.log.set_lost_answer_share(0.0);
    wait_until_everywhere(&fleet, 0, 2).await;
    let history = get_json(fleet.entries[1].operators, "/history", OPERATOR_TOKEN).await;

    let accepted: Vec<_> = reports
        .iter()
        .filter(|report| report["result"] == "accepted")
        .collect();
    assert_eq!(accepted.len(), 1, "{reports:#?}");
    for report in reports
        .iter()
        .filter(|report| report["result"] != "accepted")
    {
        assert_eq!(
            (&report["result"], &report["version"]),
            (&json!("rejected"), &json!(2))
        );
        assert!(
            report["reason"]
                .as_str()
                .is_some_and(|reason| reason.contains("version 2"))
        );
    }
    let history = history.expect("a history");
    assert_eq!(history.as_array().map(Vec::len), Some(2), "{history:#}");
}

#[tokio::test(flavor = "multi_thread")]
async fn process_that_starts_with_the_log_away_serves_the_version_of_its_peers() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 3,
        engines: 1,
        services: 0,
    })
    .await;
    let accepted = fleet.patch(0, &placement_patch(1, "later", 300)).await;
    assert_eq!(accepted["result"], "accepted", "{accepted:#}");
    wait_until_everywhere(&fleet, 0, 2).await;
    fleet.log.set_down(true);

    fleet.entries[2].kill();
    fleet.agents[0].kill();
    fleet.entries[2].spawn();
    fleet.agents[0].spawn();
    fleet
        .wait_for(2, "/status", |status| status["version"] == 2)
        .await;
    fleet.wait_until_eligible().await;
    let refused = fleet.patch(2, &placement_patch(2, "in-vain", 400)).await;
    let bearer = bearer();
    let body = completion("served without the log", 5);
    let headers = [("authorization", bearer.as_str())];
    let entry = fleet.callers()[2];
    let streamed = read_stream(entry, "/v1/completions", &headers, &body, usize::MAX).await;

    assert_eq!(refused["result"], "not-written", "{refused:#}");
    assert!(streamed.expect("a stream").is_whole);
}

#[tokio::test(flavor = "multi_thread")]
async fn recall_is_a_later_version_and_comes_into_force_everywhere() {
    let fleet = Fleet::start(FleetShape {
        entries: 2,
        engines: 1,
        services: 0,
    })
    .await;
    let operators = fleet.entries[1].operators;
    let before = get_json(operators, "/config", OPERATOR_TOKEN)
        .await
        .expect("a version");
    let accepted = fleet.patch(0, &placement_patch(1, "faulty", 500)).await;
    assert_eq!(accepted["result"], "accepted", "{accepted:#}");

    let recall = json!({ "base": 2, "batch": "faulty", "author": "tests" });
    let recalled = crate::caller::post_json(operators, "/recalls", OPERATOR_TOKEN, &recall).await;
    wait_until_everywhere(&fleet, 0, 3).await;
    let after = get_json(operators, "/config", OPERATOR_TOKEN)
        .await
        .expect("a version");

    assert_eq!(
        (&recalled["result"], &recalled["version"]),
        (&json!("accepted"), &json!(3))
    );
    assert_eq!(
        (&after["version"], &after["content"]),
        (&json!(3), &before["content"])
    );
}
