//! Tests that a sound process may fall silent for a while without ending or refusing a request.

use std::net::SocketAddr;

use comfreyhead::prelude::*;
use comfreyhead_standins::{ServiceOptions, ServiceStandIn, expected_tokens};
use futures::future::join_all;
use serde_json::json;
use tokio::net::TcpStream;
use uuid::Uuid;

use crate::caller::{Answer, StreamedText, post, read_stream};
use crate::fleet::{DaemonProcess, Fleet, FleetShape};
use crate::requests::{bearer, completion};

/// How long a process falls silent.
const SILENCE: Duration = Duration::from_millis(1_500);
const COMPLETIONS: &str = "/v1/completions";
const SHIP: &str = "/v1/services/ledger/ship";
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
async fn agents_that_fall_silent_refuse_no_request() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 1,
    })
    .await;
    let entry = fleet.callers()[0];
    let calls = [COMPLETIONS, STOCK, SHIP];

    fleet.agents.iter().for_each(DaemonProcess::freeze);
    wait_until_unheard(&fleet).await;
    let answers = calls.map(|path| tokio::spawn(whole_answer(entry, path)));
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.agents.iter().for_each(DaemonProcess::thaw);

    for (answer, path) in join_all(answers).await.into_iter().zip(calls) {
        let answer = answer.expect("a task").expect("an answer");
        assert_eq!(answer.outcome, "answered", "{path}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_accepts_no_connection_for_a_while_ends_no_request() {
    let fleet = one_engine().await;
    let engine = &fleet.engines[0];

    engine.set_accepting(false);
    let fillers = fill_backlog(engine.address()).await;
    engine.drop_connections();
    let answer = tokio::spawn(whole_answer(fleet.callers()[0], COMPLETIONS));
    tokio::time::sleep(SILENCE - Duration::from_millis(100)).await;
    engine.set_accepting(true);
    drop(fillers);

    let answer = answer.await.expect("a task").expect("an answer");
    assert_eq!(answer.outcome, "answered", "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_log_ends_no_order() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 0,
        services: 2,
    })
    .await;
    let entry = fleet.callers()[0];

    fleet.log.set_delay(SILENCE);
    let orders: Vec<_> = (0..4)
        .map(|_| tokio::spawn(whole_answer(entry, SHIP)))
        .collect();
    tokio::time::sleep(SILENCE).await;
    fleet.log.set_delay(Duration::ZERO);

    for answer in join_all(orders).await {
        let answer = answer.expect("a task").expect("an answer");
        assert_eq!(answer.outcome, "answered", "{answer:?}");
    }
    assert_eq!(fleet.ran().len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_for_an_agent_that_stays_silent_is_refused() {
    let fleet = one_engine().await;
    let entry = fleet.callers()[0];

    fleet.agents[0].freeze();
    wait_until_unheard(&fleet).await;
    let answer = whole_answer(entry, COMPLETIONS).await;

    let answer = answer.expect("an answer");
    let code = &answer.body["error"]["code"];
    assert_eq!(
        (answer.outcome.as_str(), code),
        ("not-run", &json!("no_target"))
    );
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

#[tokio::test(flavor = "multi_thread")]
async fn lookup_that_takes_nearly_its_whole_time_is_answered() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 0,
        services: 1,
    })
    .await;
    let bearer = bearer();
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-request-timeout-ms", "1500"),
    ];
    fleet.services[0].set_delay(Duration::from_millis(1_350));

    let answer = post(fleet.callers()[0], STOCK, &headers, "{}".to_owned()).await;

    let answer = answer.expect("an answer");
    assert_eq!(answer.body["call"], json!("stock"), "{answer:?}");
}

/// Opens connections until the system takes no more for a server that accepts none.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let time = Duration::from_millis(200);
    while let Ok(stream) = tokio::time::timeout(time, TcpStream::connect(address)).await {
        streams.push(stream.expect("a connection"));
    }
    streams
}

/// Waits until no target is eligible and routing has taken that up.
async fn wait_until_unheard(fleet: &Fleet) {
    fleet
        .wait_for(0, "/targets", |targets| {
            let mut targets = targets.as_array().expect("a list").iter();
            targets.all(|target| target["state"] != "eligible")
        })
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
}

async fn one_engine() -> Fleet {
    Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 0,
    })
    .await
}

async fn whole_answer(entry: SocketAddr, path: &str) -> Option<Answer> {
    let mut body = completion("kit history 1", 3);
    body["stream"] = json!(false);
    let (bearer, key) = (bearer(), Uuid::now_v7().to_string());
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
    ];
    post(entry, path, &headers, body.to_string()).await
}

async fn stream(entry: SocketAddr, idx: usize, n_tokens: u64) -> StreamedText {
    let body = completion(&format!("kit history {idx}"), n_tokens);
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    let streamed = read_stream(entry, COMPLETIONS, &headers, &body, usize::MAX).await;
    streamed.expect("a stream")
}

fn assert_whole(idx: usize, n_tokens: u64, streamed: &StreamedText) {
    let body = completion(&format!("kit history {idx}"), n_tokens);
    assert!(streamed.is_whole, "stream {idx}: {streamed:?}");
    assert_eq!(streamed.text, expected_tokens(&body).concat());
}
