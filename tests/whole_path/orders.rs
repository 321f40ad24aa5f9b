//! Orders while agents and entries are killed and frozen and the log service fails.

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

const ORDERS: usize = 2_000;
const CALLERS: usize = 24;
const SHIP: &str = "/v1/services/ledger/ship";
/// The tries of one key, through one entry VM after the other.
const TRIES: usize = 3;

/// When a refused caller comes back, as it is told.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a caller was told of one key, try by try.
#[derive(Clone, Debug, Default)]
struct OrderStory {
    tries: Vec<OrderEnd>,
}

/// What a caller was told of one try.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct OrderEnd {
    outcome: String,
    key_use: String,
    reason: String,
}

#[tokio::test(flavor = "multi_thread")]
async fn no_order_runs_twice_and_none_told_as_not_run_runs() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 3,
        engines: 0,
        services: 3,
    })
    .await;
    let entries = fleet.callers();
    let next = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(send_orders(caller, entries.clone(), Arc::clone(&next)));
    }

    bring_about_faults(&mut fleet, &next).await;
    let mut stories = HashMap::new();
    while let Some(sent) = callers.join_next().await {
        stories.extend(sent.expect("a caller"));
    }
    settle_down(&fleet).await;

    assert_eq!(stories.len(), ORDERS);
    check_stories(&stories, &fleet.ran());
}

/// Sends new keys until all are sent; each key is tried again until its outcome is final.
async fn send_orders(
    caller: usize,
    entries: Vec<SocketAddr>,
    next: Arc<AtomicUsize>,
) -> HashMap<String, OrderStory> {
    let mut stories = HashMap::new();
    while next.fetch_add(1, Ordering::SeqCst) < ORDERS {
        let key = Uuid::now_v7().to_string();
        let mut story = OrderStory::default();
        for attempt in 0..TRIES {
            let entry = entries[(caller + attempt) % entries.len()];
            let end = send_order(entry, &key, attempt).await;
            let is_final = end.key_use == "closed";
            story.tries.push(end);
            if is_final {
                break;
            }
            tokio::time::sleep(RETRY_AFTER).await;
        }
        stories.insert(key, story);
    }
    stories
}

async fn send_order(entry: SocketAddr, key: &str, attempt: usize) -> OrderEnd {
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
        Some(answer) => OrderEnd {
            reason: reason(&answer.body),
            outcome: answer.outcome,
            key_use: answer.key_use,
        },
        None => OrderEnd {
            outcome: "no-answer".to_owned(),
            ..OrderEnd::default()
        },
    }
}

/// The reason that an error's message names between parentheses.
fn reason(body: &serde_json::Value) -> String {
    let message = body["error"]["message"].as_str().unwrap_or("()");
    let inner = message
        .split_once('(')
        .and_then(|(_, rest)| rest.split_once(')'));
    inner.map_or(message, |(reason, _)| reason).to_owned()
}

/// Kills and freezes daemons and lets the log service fail while orders are sent.
async fn bring_about_faults(fleet: &mut Fleet, next: &AtomicUsize) {
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

/// Waits until so many orders are begun.
async fn wait_for_progress(next: &AtomicUsize, n_orders: usize) {
    for _ in 0..3_000 {
        if n_orders <= next.load(Ordering::SeqCst) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no {n_orders} orders were begun");
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

/// Waits until nothing runs any longer, so that a late run would be seen.
async fn settle_down(fleet: &Fleet) {
    let mut n_ran = usize::MAX;
    while n_ran != fleet.ran().len() {
        n_ran = fleet.ran().len();
        pause().await;
    }
}

fn check_stories(stories: &HashMap<String, OrderStory>, ran: &[RanCall]) {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for call in ran {
        *runs.entry(call.key.as_deref().unwrap_or("")).or_default() += 1;
    }
    let doubled: Vec<_> = runs.iter().filter(|(_, n_runs)| 1 < **n_runs).collect();
    assert!(doubled.is_empty(), "orders ran twice: {doubled:?}");
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for (key, story) in stories {
        let has_run = runs.contains_key(key.as_str());
        let last = story.tries.last().expect("at least one try");
        if last.outcome == "answered" {
            assert!(has_run, "told as answered but did not run: {key} {story:?}");
        }
        // A key that may be used again may run later; one that is closed may not.
        let is_closed = |end: &OrderEnd| end.outcome == "not-run" && end.key_use == "closed";
        let is_denied = story.tries.iter().any(is_closed) || last.outcome == "not-run";
        assert!(
            !(is_denied && has_run),
            "told as not-run but ran: {key} {story:?}"
        );
        *ends
            .entry(format!("{} {}", last.outcome, last.reason))
            .or_default() += 1;
    }
    println!(
        "{} orders, {} ran, ends: {ends:#?}",
        stories.len(),
        ran.len()
    );
    assert!(
        stories.len() / 2 < ends["answered "],
        "most orders are answered: {ends:?}"
    );
}
