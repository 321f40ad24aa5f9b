//! Tests the operators' tool against real daemons: its output, its exit codes and the review of
//! orders.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use serde_json::{Value, json};
use uuid::Uuid;

use crate::caller::{OPERATOR_TOKEN, get_json, read_stream, send};
use crate::fleet::{CALLER_TOKEN, Fleet, FleetShape};
use crate::requests::{bearer, completion};
use crate::versions::wait_until_everywhere;

/// The exit code and the output of one run of the tool.
struct ToolRun {
    code: i32,
    stdout: String,
    stderr: String,
}

async fn comfrey(entry: SocketAddr, args: &[&str]) -> ToolRun {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_comfrey"))
            .env("COMFREY_TOKEN", OPERATOR_TOKEN)
            .args(["--entry", &entry.to_string()])
            .args(&args)
            .output()
            .expect("run comfrey")
    };
    let output = tokio::task::spawn_blocking(run).await.expect("a run");
    ToolRun {
        code: output.status.code().expect("an exit code"),
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

fn changes_file(name: &str) -> String {
    let placement =
        json!({ "skew_weight": 2.0, "move_weight": 1.0, "max_moves": 8, "horizon_s": 60 });
    let changes = json!([{ "change": "set-placement", "placement": placement }]);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, changes.to_string()).expect("write changes");
    path.to_str().expect("UTF-8").to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn patch_diff_recall_and_explain_report_their_results() {
    let fleet = Fleet::start(FleetShape {
        entries: 2,
        engines: 2,
        services: 1,
    })
    .await;
    // A report counts only the processes that its entry knows, and discovery takes a while in a new
    // fleet.
    wait_until_everywhere(&fleet, 0, 1).await;
    let operators = fleet.entries[0].operators;
    let file = changes_file("operators-changes.json");
    let patch = [
        "patch", &file, "--base", "1", "--batch", "b2", "--author", "ana",
    ];
    let [accepted, conflict] = [
        comfrey(operators, &[&patch[..], &["--wait", "60"]].concat()).await,
        comfrey(operators, &patch).await,
    ];
    let diff = comfrey(operators, &["diff", "1", "2"]).await;
    let recall = [
        "recall", "b2", "--base", "2", "--author", "ana", "--wait", "60",
    ];
    let recalled = comfrey(operators, &recall).await;
    let same = comfrey(operators, &["diff", "1", "3"]).await;
    let history = comfrey(operators, &["--json", "history"]).await;
    let body = completion("explain this", 3);
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    let entry = fleet.callers()[0];
    let streamed = read_stream(entry, "/v1/completions", &headers, &body, usize::MAX).await;
    let request = streamed.expect("a stream").request;
    let explained = comfrey(operators, &["explain", &request]).await;
    let status = comfrey(operators, &["status"]).await;
    let unknown = comfrey(operators, &["explain", &Uuid::new_v4().to_string()]).await;

    assert_eq!(accepted.code, 0, "{}", accepted.stderr);
    assert!(
        accepted
            .stdout
            .contains("in force at 5 processes, lagging 0"),
        "{}",
        accepted.stdout
    );
    assert_eq!(conflict.code, 3);
    assert!(
        conflict.stdout.contains("version 2 is current, not 1"),
        "{}",
        conflict.stdout
    );
    assert_eq!(diff.stdout.trim(), "changed placement");
    assert_eq!(
        (recalled.code, same.stdout.trim()),
        (0, ""),
        "{}",
        recalled.stdout
    );
    let history: Value = serde_json::from_str(&history.stdout).expect("JSON");
    assert_eq!(history[1]["recalled_by"], 3, "{history:#}");
    assert!(
        explained.stdout.contains("target=model-"),
        "{}",
        explained.stdout
    );
    assert!(
        explained.stdout.contains("answered"),
        "{}",
        explained.stdout
    );
    assert!(status.stdout.contains("version 3"), "{}", status.stdout);
    assert_eq!(
        (unknown.code, unknown.stderr.lines().count()),
        (1, 1),
        "{}",
        unknown.stderr
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_of_a_killed_agent_is_listed_and_not_settled_too_early() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 0,
        services: 1,
    })
    .await;
    let operators = fleet.entries[0].operators;
    fleet.services[0].set_delay(Duration::from_secs(30));
    let key = Uuid::now_v7().to_string();
    let order = tokio::spawn(send_order(fleet.callers()[0], key.clone()));
    fleet
        .wait_for(0, "/orders/open", |open| {
            open["orders"].as_array().map(Vec::len) == Some(1)
        })
        .await;

    fleet.agents[0].kill();
    let outcome = order.await.expect("an order");
    let open = comfrey(operators, &["--json", "orders", "open"]).await;
    let open: Value = serde_json::from_str(&open.stdout).expect("JSON");
    let attempt = open["orders"][0]["attempt"]
        .as_str()
        .expect("an open claim")
        .to_owned();
    let settle = [
        "orders",
        "settle",
        "makers",
        &key,
        &attempt,
        "--outcome",
        "answered",
    ];
    let by = ["--author", "ana", "--note", "seen in the ledger"];
    let settled = comfrey(operators, &[&settle[..], &by].concat()).await;

    assert_eq!(outcome, "unknown");
    assert_eq!(open["orders"].as_array().map(Vec::len), Some(1), "{open:#}");
    assert_eq!(open["orders"][0]["key"]["id"], key.as_str());
    assert_eq!(settled.code, 3, "{} {}", settled.stdout, settled.stderr);
    assert!(
        settled.stdout.contains("its holder may run it"),
        "{}",
        settled.stdout
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_listed_and_health_and_metrics_need_no_token() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 0,
    })
    .await;
    let models = get_json(fleet.callers()[0], "/v1/models", CALLER_TOKEN).await;
    let mut texts = Vec::new();
    for process in [&fleet.entries[0], &fleet.agents[0]] {
        for path in ["/live", "/ready", "/metrics"] {
            let url = format!("http://{}{path}", process.operators);
            let response = send(http::Method::GET, &url, &[], String::new()).await;
            texts.push((path, response.expect("an answer").status().as_u16()));
        }
    }
    let refused = get_json(fleet.entries[0].operators, "/status", "nobody").await;

    assert_eq!(models.expect("models")["data"][0]["id"], "kit-assistant");
    assert!(texts.iter().all(|(_, status)| *status == 200), "{texts:?}");
    let message = refused.expect("an answer")["message"].to_string();
    assert!(message.contains("not an operator's"), "{message}");
}

async fn send_order(entry: SocketAddr, key: String) -> String {
    let bearer = bearer();
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
        ("x-request-timeout-ms", "4000"),
    ];
    let path = "/v1/services/ledger/ship";
    let answer = crate::caller::post(entry, path, &headers, "{}".to_owned()).await;
    answer.expect("an answer").outcome
}
