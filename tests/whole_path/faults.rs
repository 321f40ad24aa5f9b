//! Tests graceful stops, kills, crashes and VM removals while requests are in progress.

use std::net::SocketAddr;

use comfreyhead_standins::expected_tokens;
use futures::future::join_all;
use tokio::task::{JoinError, JoinHandle};

use crate::caller::{StreamedText, read_stream, resume_stream};
use crate::fleet::{CALLER_TOKEN, Fleet, FleetShape};
use crate::requests::{bearer, completion};

const COMPLETIONS: &str = "/v1/completions";
/// Enough tokens for a response to still be in progress when the test injects its fault.
const LONG_RESPONSE_TOKENS: u64 = 300;

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_of_an_entry_and_an_agent_cuts_no_request() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 2,
        engines: 3,
        services: 0,
    })
    .await;
    let entries = fleet.callers();
    let streams = start_streams(&fleet, 24).await;

    fleet.entries[1].terminate();
    fleet.agents[0].terminate();
    let responses = join_all(streams).await;
    let entry_exited_successfully = fleet.entries[1].wait_for_end().await;
    let agent_exited_successfully = fleet.agents[0].wait_for_end().await;
    let after = long_stream(entries[0], 99).await;

    assert_all_complete(responses);
    assert!(entry_exited_successfully && agent_exited_successfully);
    assert_complete(99, &after);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_costs_its_callers_a_reconnect_not_the_answer() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 2,
        engines: 2,
        services: 0,
    })
    .await;
    let entries = fleet.callers();
    let body = completion("kit history 7", LONG_RESPONSE_TOKENS);
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    let streamed = read_stream(entries[1], COMPLETIONS, &headers, &body, 20).await;
    let mut streamed = streamed.expect("a stream");

    fleet.entries[1].kill();
    let status = resume_stream(entries[0], CALLER_TOKEN, &mut streamed).await;

    assert_eq!(status.expect("a response").as_u16(), 200);
    assert_complete(7, &streamed);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_account_is_not_resumed() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 0,
    })
    .await;
    let entry = fleet.callers()[0];
    let body = completion("kit history 8", LONG_RESPONSE_TOKENS);
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    let streamed = read_stream(entry, COMPLETIONS, &headers, &body, 20).await;
    let mut streamed = streamed.expect("a stream");

    let status = resume_stream(entry, "nobody", &mut streamed).await;

    assert_eq!(status.expect("a response").as_u16(), 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_agent_leaves_a_whole_answer_or_a_truthful_error() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 3,
        services: 0,
    })
    .await;
    let streams = start_streams(&fleet, 12).await;

    fleet.agents[1].kill();
    let responses = join_all(streams).await;

    assert_all_complete(responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn crashed_engine_leaves_a_whole_answer() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 3,
        services: 0,
    })
    .await;
    let streams = start_streams(&fleet, 12).await;

    fleet.engines[0].crash();
    let responses = join_all(streams).await;

    assert_all_complete(responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_engines_is_refused_in_the_end() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 3,
        services: 0,
    })
    .await;
    let entry = fleet.callers()[0];
    let body = completion("CRASH-ENGINE now", 5);
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    let mut codes = Vec::new();
    for _ in 0..12 {
        fleet.wait_for(0, "/targets", has_eligible_target).await;
        let streamed = read_stream(entry, COMPLETIONS, &headers, &body, usize::MAX).await;
        let streamed = streamed.expect("a response");
        assert!(!streamed.is_whole);
        codes.push(format!("{:?}", streamed.error));
    }
    let n_crashes: u64 = fleet.engines.iter().map(|engine| engine.n_crashes()).sum();
    fleet.wait_until_eligible().await;
    let harmless = long_stream(entry, 1).await;

    let n_later: u64 = fleet.engines.iter().map(|engine| engine.n_crashes()).sum();
    assert!(
        (2..12).contains(&n_crashes),
        "{n_crashes} crashes, {codes:?}"
    );
    assert_eq!(n_crashes, n_later);
    assert_complete(1, &harmless);
}

#[tokio::test(flavor = "multi_thread")]
async fn listed_as_leaving_drains_the_agent() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 2,
        engines: 2,
        services: 0,
    })
    .await;
    let entries = fleet.callers();
    let in_progress = tokio::spawn(long_stream(entries[0], 0));
    wait_until_started(&fleet, 1).await;

    fleet.list_as_leaving("model-0");
    fleet
        .wait_for(0, "/targets", |targets| targets[0]["state"] == "leaving")
        .await;
    fleet
        .wait_for(1, "/targets", |targets| targets[0]["state"] == "leaving")
        .await;
    let n_before = fleet.engines[0].started().len();
    let later = join_all((1..9).map(|idx| long_stream(entries[idx % 2], idx))).await;
    let n_after = fleet.engines[0].started().len();
    let exited_successfully = fleet.agents[0].wait_for_end().await;

    assert_eq!(n_before, n_after);
    assert_complete(0, &in_progress.await.expect("a stream"));
    for (idx, response) in later.iter().enumerate() {
        assert_complete(idx + 1, response);
    }
    assert!(exited_successfully);
}

fn has_eligible_target(targets: &serde_json::Value) -> bool {
    let mut targets = targets.as_array().expect("a list").iter();
    targets.any(|target| target["state"] == "eligible")
}

async fn long_stream(entry: SocketAddr, idx: usize) -> StreamedText {
    let body = completion(&format!("kit history {idx}"), LONG_RESPONSE_TOKENS);
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    let streamed = read_stream(entry, COMPLETIONS, &headers, &body, usize::MAX).await;
    streamed.expect("a stream")
}

/// Starts streams across all entry VMs and waits until each one runs on an engine.
async fn start_streams(fleet: &Fleet, n_streams: usize) -> Vec<JoinHandle<StreamedText>> {
    let entries = fleet.callers();
    let start = |idx| tokio::spawn(long_stream(entries[idx % entries.len()], idx));
    let streams = (0..n_streams).map(start).collect();
    wait_until_started(fleet, n_streams).await;
    streams
}

fn assert_all_complete(responses: Vec<Result<StreamedText, JoinError>>) {
    for (idx, response) in responses.into_iter().enumerate() {
        assert_complete(idx, &response.expect("a stream"));
    }
}

async fn wait_until_started(fleet: &Fleet, n_requests: usize) {
    for _ in 0..600 {
        let n_started: usize = fleet
            .engines
            .iter()
            .map(|engine| engine.started().len())
            .sum();
        if n_requests <= n_started {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    panic!("{n_requests} requests did not start");
}

fn assert_complete(idx: usize, streamed: &StreamedText) {
    let body = completion(&format!("kit history {idx}"), LONG_RESPONSE_TOKENS);
    assert!(streamed.is_whole, "response {idx}: {:?}", streamed.error);
    assert_eq!(
        streamed.text,
        expected_tokens(&body).concat(),
        "response {idx}"
    );
}
