//! Tests that a sound process may fall silent for a while without ending or refusing a request.

use comfreyhead::prelude::*;
use comfreyhead_standins::{ServiceOptions, ServiceStandIn, expected_tokens};
use futures::future::join_all;

use crate::caller::{StreamedText, post, read_stream};
use crate::fleet::{Fleet, FleetShape};
use crate::requests::{bearer, completion};

/// How long a process falls silent.
const SILENCE: Duration = Duration::from_millis(1_500);
const STOCK: &str = "/v1/services/ledger/stock";

#[tokio::test(flavor = "multi_thread")]
async fn silent_agent_ends_no_stream() {
    let fleet = one_engine().await;
    let entry = fleet.callers()[0];
    let streams: Vec<_> = (0..4)
        .map(|idx| tokio::spawn(stream(entry, idx, 200)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;

    fleet.agents[0].freeze();
    tokio::time::sleep(SILENCE).await;
    fleet.agents[0].thaw();

    for (idx, streamed) in join_all(streams).await.into_iter().enumerate() {
        assert_whole(idx, 200, &streamed.expect("a stream"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_engine_ends_no_stream() {
    let fleet = one_engine().await;
    let entry = fleet.callers()[0];
    let streams: Vec<_> = (0..4)
        .map(|idx| tokio::spawn(stream(entry, idx, 200)))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;

    fleet.engines[0].set_step_time(SILENCE);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.engines[0].set_step_time(Duration::from_millis(5));

    for (idx, streamed) in join_all(streams).await.into_iter().enumerate() {
        assert_whole(idx, 200, &streamed.expect("a stream"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn service_that_refused_a_connection_serves_again() {
    let mut fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 0,
        services: 1,
    })
    .await;
    let entry = fleet.callers()[0];
    let address = fleet.services[0].address();
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];

    drop(fleet.services.remove(0));
    let refused = post(entry, STOCK, &headers, "{}".to_owned()).await;
    fleet
        .wait_for(0, "/targets", |targets| targets[0]["state"] != "eligible")
        .await;
    let service = ServiceStandIn::start(address, ServiceOptions::default()).await;
    fleet.services.push(service.expect("the same address"));
    fleet.wait_until_eligible().await;
    let answer = post(entry, STOCK, &headers, "{}".to_owned()).await;

    assert_ne!(refused.expect("an answer").status.as_u16(), 200);
    let answer = answer.expect("an answer");
    assert_eq!(answer.body["call"], "stock", "{answer:?}");
}

async fn one_engine() -> Fleet {
    Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 0,
    })
    .await
}

async fn stream(entry: std::net::SocketAddr, idx: usize, n_tokens: u64) -> StreamedText {
    let body = completion(&format!("kit history {idx}"), n_tokens);
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    let streamed = read_stream(entry, "/v1/completions", &headers, &body, usize::MAX).await;
    streamed.expect("a stream")
}

fn assert_whole(idx: usize, n_tokens: u64, streamed: &StreamedText) {
    let body = completion(&format!("kit history {idx}"), n_tokens);
    assert!(streamed.is_whole, "stream {idx}: {streamed:?}");
    assert_eq!(streamed.text, expected_tokens(&body).concat());
}
