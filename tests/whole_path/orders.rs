//! End-to-end test of orders while agents and entry VMs are killed and frozen and the log service
//! fails.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use comfreyhead_standins::RanCall;
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::caller::post;
use crate::fleet::{Fleet, FleetShape};
use crate::requests::bearer;

const N_ORDERS: usize = 2_000;
const N_CALLERS: usize = 24;
const SHIP: &str = "/v1/services/ledger/ship";
/// Maximum number of tries of one key, each through the next entry VM.
const MAX_TRIES: usize = 3;

/// The delay between the tries of a key, as the replies demand it.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The results of all tries of one key.
#[derive(Clone, Debug, Default)]
struct OrderHistory {
    tries: Vec<TryResult>,
}

/// The result of one try, as reported to its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct TryResult {
    outcome: String,
    key_use: String,
    reason: String,
}

#[tokio::test(flavor = "multi_thread")]
async fn no_order_runs_twice_or_after_a_final_not_run() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 3,
        engines: 0,
        services: 3,
    })
    .await;
    let entries = fleet.callers();
    let next = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::new();
    for caller in 0..N_CALLERS {
        callers.spawn(send_orders(caller, entries.clone(), Arc::clone(&next)));
    }

    inject_faults(&mut fleet, &next).await;
    let mut histories = HashMap::new();
    while let Some(sent) = callers.join_next().await {
        histories.extend(sent.expect("a caller"));
    }
    wait_until_idle(&fleet).await;

    assert_eq!(histories.len(), N_ORDERS);
    check_histories(&histories, &fleet.ran());
}

/// Sends orders with new keys until all are sent; repeats each until its key is closed, at most
/// `MAX_TRIES` times.
async fn send_orders(
    caller: usize,
    entries: Vec<SocketAddr>,
    next: Arc<AtomicUsize>,
) -> HashMap<String, OrderHistory> {
    let mut histories = HashMap::new();
    while next.fetch_add(1, Ordering::SeqCst) < N_ORDERS {
        let key = Uuid::now_v7().to_string();
        let mut history = OrderHistory::default();
        for attempt in 0..MAX_TRIES {
            let entry = entries[(caller + attempt) % entries.len()];
            let result = send_order(entry, &key, attempt).await;
            let is_final = result.key_use == "closed";
            history.tries.push(result);
            if is_final {
                break;
            }
            tokio::time::sleep(RETRY_AFTER).await;
        }
        histories.insert(key, history);
    }
    histories
}

async fn send_order(entry: SocketAddr, key: &str, attempt: usize) -> TryResult {
    let bearer = bearer();
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("idempotency-key", key),
        ("x-request-timeout-ms", "3000"),
    ];
    if attempt == 0 {
        headers.push(("idempotency-first-use", "?1"));
    }
    match post(entry, SHIP, &headers, "{\"part\":\"quill\"}".to_owned()).await {
        Some(answer) => TryResult {
            reason: reason(&answer.body),
            outcome: answer.outcome,
            key_use: answer.key_use,
        },
        None => TryResult {
            outcome: "no-answer".to_owned(),
            ..TryResult::default()
        },
    }
}

/// Returns the reason that the message of an error gives in parentheses.
fn reason(body: &serde_json::Value) -> String {
    let message = body["error"]["message"].as_str().unwrap_or("()");
    let inner = message
        .split_once('(')
        .and_then(|(_, rest)| rest.split_once(')'));
    inner.map_or(message, |(reason, _)| reason).to_owned()
}

/// Kills and freezes processes and lets the log service fail while orders are sent.
async fn inject_faults(fleet: &mut Fleet, next: &AtomicUsize) {
    fleet.log.set_lost_answer_share(0.05);
    wait_for_progress(next, 200).await;
    fleet.agents[0].kill();
    wait_for_progress(next, 400).await;
    fleet.agents[0].spawn();
    fleet.entries[1].kill();
    wait_for_progress(next, 600).await;
    fleet.entries[1].spawn();
    fleet.agents[1].freeze();
    pause().await;
    fleet.agents[1].thaw();
    wait_for_progress(next, 800).await;
    fleet.log.set_down(true);
    pause().await;
    fleet.log.set_down(false);
    wait_for_progress(next, 1_100).await;
    fleet.services[2].drop_next_answers(3);
    fleet.agents[2].kill();
    wait_for_progress(next, 1_300).await;
    fleet.agents[2].spawn();
    fleet.log.set_delay(Duration::from_millis(100));
    wait_for_progress(next, 1_500).await;
    fleet.log.set_delay(Duration::ZERO);
    fleet.entries[0].kill();
    fleet.agents[1].kill();
    wait_for_progress(next, 1_700).await;
    fleet.entries[0].spawn();
    fleet.agents[1].spawn();
    fleet.log.set_lost_answer_share(0.0);
}

/// Waits until the given number of orders were started.
async fn wait_for_progress(next: &AtomicUsize, n_orders: usize) {
    for _ in 0..3_000 {
        if n_orders <= next.load(Ordering::SeqCst) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("fewer than {n_orders} orders were started");
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

/// Waits until no further order runs, so that late runs are detected.
async fn wait_until_idle(fleet: &Fleet) {
    let mut n_ran = usize::MAX;
    while n_ran != fleet.ran().len() {
        n_ran = fleet.ran().len();
        pause().await;
    }
}

fn check_histories(histories: &HashMap<String, OrderHistory>, ran: &[RanCall]) {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for call in ran {
        *runs.entry(call.key.as_deref().unwrap_or("")).or_default() += 1;
    }
    let duplicates: Vec<_> = runs.iter().filter(|(_, n_runs)| 1 < **n_runs).collect();
    assert!(duplicates.is_empty(), "orders ran twice: {duplicates:?}");
    let mut results: BTreeMap<String, usize> = BTreeMap::new();
    for (key, history) in histories {
        let has_run = runs.contains_key(key.as_str());
        let last = history.tries.last().expect("at least one try");
        if last.outcome == "answered" {
            assert!(
                has_run,
                "reported as answered but did not run: {key} {history:?}"
            );
        }
        // A reusable key may run in a later try; a closed one must not.
        let is_closed =
            |result: &TryResult| result.outcome == "not-run" && result.key_use == "closed";
        let is_not_run = history.tries.iter().any(is_closed) || last.outcome == "not-run";
        assert!(
            !(is_not_run && has_run),
            "reported as not-run but ran: {key} {history:?}"
        );
        *results
            .entry(format!("{} {}", last.outcome, last.reason))
            .or_default() += 1;
    }
    println!(
        "{} orders, {} ran, results: {results:#?}",
        histories.len(),
        ran.len()
    );
    assert!(
        histories.len() / 2 < results["answered "],
        "most orders are answered: {results:?}"
    );
}
