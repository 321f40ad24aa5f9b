//! Tests the responses of the stand-ins and the faults that they inject.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreyhead_standins::{
    EngineOptions, EngineStandIn, LogOptions, LogStandIn, ServiceOptions, ServiceStandIn, VmEntry,
    VmListOptions, VmListStandIn, VmState, WeightStoreOptions, WeightStoreStandIn, cache_blocks,
    expected_tokens,
};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

const ANY_PORT: &str = "127.0.0.1:0";
/// A delay longer than any test runs.
const LONG_LAG: Duration = Duration::from_secs(3_600);

/// The status and body of a response, or `None` when the connection was dropped.
type TestResponse = Option<(u16, String)>;

async fn send(address: SocketAddr, path: &str, body: Option<Value>) -> TestResponse {
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http::<Full<Bytes>>();
    let request = Request::builder()
        .uri(format!("http://{address}{path}"))
        .method(if body.is_some() { "POST" } else { "GET" })
        .header("x-request-id", "r1")
        .header("idempotency-key", "k1");
    let bytes = body.map(|body| body.to_string()).unwrap_or_default();
    let request = request.body(Full::from(bytes)).unwrap();
    let response = client.request(request).await.ok()?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8(bytes.to_vec()).unwrap()))
}

async fn get(address: SocketAddr, path: &str) -> (u16, Value) {
    let (status, text) = send(address, path, None).await.unwrap();
    (status, serde_json::from_str(&text).unwrap())
}

async fn post(address: SocketAddr, path: &str, body: Value) -> (u16, Value) {
    let (status, text) = send(address, path, Some(body)).await.unwrap();
    (status, serde_json::from_str(&text).unwrap())
}

async fn start_log() -> LogStandIn {
    LogStandIn::start(ANY_PORT, LogOptions::default())
        .await
        .unwrap()
}

async fn start_engine() -> EngineStandIn {
    let options = EngineOptions {
        step_time: Duration::from_millis(1),
        crash_downtime: Duration::from_millis(10),
        ..EngineOptions::default()
    };
    EngineStandIn::start(ANY_PORT, options).await.unwrap()
}

/// Returns the ids and contents of the events of a stream, and whether the stream is complete.
fn stream_contents(text: &str) -> (Vec<String>, Vec<String>, bool) {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let chunks = text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let contents = chunks.filter_map(|chunk| {
        let chunk: Value = serde_json::from_str(&format!("{{{chunk}")).unwrap();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        content.map(str::to_owned)
    });
    let is_complete = text.ends_with("data: [DONE]\n\n");
    (
        ids.map(str::to_owned).collect(),
        contents.collect(),
        is_complete,
    )
}

const RECORDS: &str = "/v1/streams/s/records";

#[tokio::test]
async fn log_numbers_records_from_one_and_pages_them() {
    let log = start_log().await;

    let first = post(log.address(), RECORDS, json!({"records": ["a", "b"]})).await;
    let second = post(log.address(), RECORDS, json!({"records": ["c"]})).await;
    let (_, page) = get(log.address(), &format!("{RECORDS}?from=2&max=1")).await;

    assert_eq!(first, (200, json!({"first_offset": 1})));
    assert_eq!(second, (200, json!({"first_offset": 3})));
    assert_eq!(page["records"][0]["offset"], 2);
    assert_eq!(page["records"][0]["value"], "b");
    assert_eq!((&page["tail"], &page["oldest"]), (&json!(4), &json!(1)));
}

#[tokio::test]
async fn log_read_waits_for_the_next_record() {
    let log = start_log().await;
    let path = format!("{RECORDS}?from=1&max=10&wait_ms=3600000");
    let read = get(log.address(), &path);
    let write = async {
        tokio::task::yield_now().await;
        log.append("s", vec![json!("late")])
    };

    let ((_, page), _) = tokio::join!(read, write);

    assert_eq!(page["records"][0]["value"], "late");
}

#[tokio::test]
async fn log_writes_nothing_when_down_or_limited() {
    let log = start_log().await;

    log.set_down(true);
    let (down, _) = post(log.address(), RECORDS, json!({"records": ["a"]})).await;
    log.set_down(false);
    log.set_appends_per_second(Some(0));
    let (limited, _) = post(log.address(), RECORDS, json!({"records": ["a"]})).await;

    assert_eq!((down, limited), (503, 429));
    assert_eq!(log.read("s", 1, 10).records, []);
}

#[tokio::test]
async fn log_loses_the_answer_after_the_write() {
    let log = start_log().await;
    log.lose_next_answers(1);

    let answer = send(log.address(), RECORDS, Some(json!({"records": ["a"]}))).await;

    assert_eq!(answer, None);
    assert_eq!(log.read("s", 1, 10).records.len(), 1);
}

#[tokio::test]
async fn log_trims_old_records() {
    let log = start_log().await;
    log.append("s", vec![json!(1), json!(2), json!(3)]);

    log.trim("s", 3);
    let page = log.read("s", 1, 10);

    assert_eq!((page.oldest, page.tail), (3, 4));
    assert_eq!(page.records.len(), 1);
}

#[tokio::test]
async fn vm_list_lags() {
    let vm = |state| VmEntry {
        name: "vm-1".to_owned(),
        data_centre: "sofia-1".to_owned(),
        state,
    };
    let options = VmListOptions {
        vms: vec![vm(VmState::Live)],
        lag: LONG_LAG,
    };
    let list = VmListStandIn::start(ANY_PORT, options).await.unwrap();
    list.put(vm(VmState::Leaving));

    let (_, late) = get(list.address(), "/v1/vms").await;
    list.set_lag(Duration::ZERO);
    let (_, fresh) = get(list.address(), "/v1/vms").await;

    assert_eq!(late["vms"][0]["state"], "live");
    assert_eq!(fresh["vms"][0]["state"], "leaving");
}

#[tokio::test]
async fn weight_store_limits_reads() {
    let store = WeightStoreStandIn::start(ANY_PORT, WeightStoreOptions::default())
        .await
        .unwrap();

    let read = send(store.address(), "/v1/weights/m/0/7", None).await;
    store.set_reads_per_second(Some(0));
    let limited = send(store.address(), "/v1/weights/m/0/7", None).await;

    assert_eq!(
        read.map(|(status, body)| (status, body.len())),
        Some((200, 4_096))
    );
    assert_eq!(limited.map(|(status, _)| status), Some(429));
}

#[tokio::test]
async fn engine_streams_the_expected_tokens_and_resumes() {
    let engine = start_engine().await;
    let body = json!({
        "model": "m", "stream": true, "max_tokens": 20,
        "messages": [{"role": "user", "content": "voice the jacks"}],
    });

    let streamed = send(engine.address(), "/v1/chat/completions", Some(body.clone())).await;
    let resumed = send(engine.address(), "/v1/requests/r1/events?from=15", None).await;

    let (ids, contents, is_complete) = stream_contents(&streamed.unwrap().1);
    assert_eq!(contents, expected_tokens(&body));
    assert_eq!(contents.len(), 20);
    assert!(is_complete);
    assert_eq!(ids, (0..=20).map(|id| id.to_string()).collect::<Vec<_>>());
    let (resumed_ids, resumed_contents, _) = stream_contents(&resumed.unwrap().1);
    assert_eq!(resumed_ids[0], "15");
    assert_eq!(resumed_contents, contents[15..]);
}

#[tokio::test]
async fn engine_answers_whole_and_reports_cache_and_load() {
    let engine = start_engine().await;
    let body = json!({"model": "m", "max_tokens": 3, "prompt": "x".repeat(130)});

    let (status, answer) = post(engine.address(), "/v1/completions", body.clone()).await;
    let (_, events) = get(engine.address(), "/cache-events?from=0").await;
    engine.set_cache_faults(LONG_LAG, 0.0);
    let (_, late_events) = get(engine.address(), "/cache-events?from=0").await;
    let (_, load) = get(engine.address(), "/load").await;

    assert_eq!(status, 200);
    assert_eq!(
        answer["choices"][0]["text"],
        expected_tokens(&body).concat()
    );
    assert_eq!(events["events"][1]["block"], cache_blocks(&body)[1]);
    assert_eq!(late_events["events"], json!([]));
    assert_eq!(load["running"], 0);
    assert!(0 < load["sequence"].as_u64().unwrap());
}

#[tokio::test]
async fn engine_cancels_a_request() {
    let engine = start_engine().await;
    let body = json!({"model": "m", "stream": true, "max_tokens": 1_000_000, "prompt": "p"});
    let stream = send(engine.address(), "/v1/completions", Some(body));
    let cancel = async {
        while engine.started().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        post(engine.address(), "/v1/requests/r1/cancel", Value::Null).await
    };

    let (streamed, (status, cancelled)) = tokio::join!(stream, cancel);

    assert_eq!(status, 200);
    assert_eq!(cancelled["started"], true);
    assert!(
        streamed
            .unwrap()
            .1
            .contains("\"finish_reason\":\"cancelled\"")
    );
}

#[tokio::test]
async fn engine_crashes_on_a_marked_request_and_comes_back() {
    let engine = start_engine().await;
    let marked = json!({"model": "m", "prompt": "CRASH-ENGINE please"});
    let plain = json!({"model": "m", "prompt": "p"});

    let crashed = send(engine.address(), "/v1/completions", Some(marked)).await;
    let mut answer = None;
    while answer.is_none() {
        answer = send(engine.address(), "/v1/completions", Some(plain.clone())).await;
    }

    assert_eq!(crashed, None);
    assert_eq!(engine.n_crashes(), 1);
    assert_eq!(answer.map(|(status, _)| status), Some(200));
}

#[tokio::test]
async fn engine_checks_the_fencing_number_only_when_told() {
    let order =
        |fencing_number: u64| json!({"fencing_number": fencing_number, "window": 1, "map": 2});
    let checked = start_engine().await;
    let options = EngineOptions {
        checks_fencing: false,
        ..EngineOptions::default()
    };
    let unchecked = EngineStandIn::start(ANY_PORT, options).await.unwrap();

    let mut statuses = Vec::new();
    for engine in [&checked, &unchecked] {
        for fencing_number in [5, 4] {
            let (status, _) = post(engine.address(), "/expert-map", order(fencing_number)).await;
            statuses.push(status);
        }
    }
    let (_, kept) = get(checked.address(), "/expert-map").await;

    assert_eq!(statuses, [200, 409, 200, 200]);
    let expected = json!({"running": order(5), "queued": null, "loaded": []});
    assert_eq!(kept, expected);
}

#[tokio::test]
async fn service_counts_what_ran_and_never_deduplicates() {
    let service = ServiceStandIn::start(ANY_PORT, ServiceOptions::default())
        .await
        .unwrap();

    let first = post(service.address(), "/calls/book", json!({})).await;
    service.drop_next_answers(1);
    let dropped = send(service.address(), "/calls/book", Some(json!({}))).await;
    service.set_refusing(true);
    let (refused, _) = post(service.address(), "/calls/book", json!({})).await;
    let (_, ran) = get(service.address(), "/ran").await;

    assert_eq!(
        first,
        (200, json!({"ok": true, "call": "book", "number": 1}))
    );
    assert_eq!(dropped, None);
    assert_eq!(refused, 422);
    let call = json!({"call": "book", "key": "k1", "request_id": "r1"});
    assert_eq!(ran, json!({"ran": [call, call]}));
}
