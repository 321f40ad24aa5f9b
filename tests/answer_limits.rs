//! Tests that an answer of another machine is read only up to a limit, whatever it sends.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreyhead::prelude::*;
use comfreyhead::process::platform::{
    AnswerLimit, AppendFailure, CallFailure, EngineCall, EngineClient, EngineEvent, HttpFailure,
    LogClient, ServiceCall, ServiceClient, VmListClient, WeightClient,
};
use comfreyhead_standins::{LogOptions, LogStandIn};
use futures::StreamExt;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use uuid::Uuid;

const CHUNK: usize = 64 << 10;
/// What the server sends at most; it then holds the connection open.
const SENT_AT_MOST: usize = 256 << 20;
/// What the sockets of both ends may hold beside what the client has read.
const SOCKET_BUFFERS: usize = 16 << 20;
const JSON_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";

/// A server that answers each request with a head and bytes without end.
struct EndlessServer {
    address: SocketAddr,
    n_sent: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn start(head: &str, filler: &'static [u8]) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let n_sent = Arc::new(AtomicUsize::new(0));
        let (head, counter) = (head.to_owned(), Arc::clone(&n_sent));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (head, counter) = (head.clone(), Arc::clone(&counter));
                tokio::spawn(async move { answer(stream, &head, filler, &counter).await });
            }
        });
        Self { address, n_sent }
    }

    fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Asserts that the client took no more than `limit` and what the sockets hold.
    async fn assert_taken(&self, limit: usize) {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let n_sent = self.n_sent.load(Ordering::SeqCst);
        assert!(
            n_sent <= limit + SOCKET_BUFFERS,
            "{n_sent} bytes were taken, {limit} are allowed"
        );
    }
}

async fn answer(mut stream: TcpStream, head: &str, filler: &[u8], n_sent: &AtomicUsize) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await;
    let _ = stream.write_all(head.as_bytes()).await;
    let is_chunked = head.contains("chunked");
    let chunk = filler.repeat(CHUNK / filler.len().max(1));
    let framed = match is_chunked {
        true => [format!("{:x}\r\n", chunk.len()).as_bytes(), &chunk, b"\r\n"].concat(),
        false => chunk,
    };
    while !framed.is_empty() && n_sent.load(Ordering::SeqCst) < SENT_AT_MOST {
        if stream.write_all(&framed).await.is_err() {
            return;
        }
        n_sent.fetch_add(framed.len(), Ordering::SeqCst);
    }
    let _ = stream.read(&mut request).await;
}

fn engine_call(body: &Value) -> EngineCall<'_> {
    EngineCall {
        path: "/v1/completions",
        request: RequestId(Uuid::now_v7()),
        priority: 0,
        body,
        timeout: Duration::from_secs(3),
    }
}

fn service_call(body: &Value) -> ServiceCall<'_> {
    ServiceCall {
        call: "ship",
        request: RequestId(Uuid::now_v7()),
        key: "",
        body,
        timeout: Duration::from_secs(3),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn list_without_end_is_refused_at_4_mib() {
    let server = EndlessServer::start(JSON_HEAD, b"[").await;

    let list = VmListClient::new(&server.url()).read().await;

    server.assert_taken(4 << 20).await;
    let err = list.expect_err("no list").to_string();
    assert!(err.contains("longer than 4194304 bytes"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn page_without_end_is_refused_at_32_mib() {
    let server = EndlessServer::start(JSON_HEAD, b" ").await;
    let log = LogClient::new(&server.url());

    let page = log
        .read("config", LogOffset(1), 1, Duration::from_secs(2))
        .await;

    server.assert_taken(32 << 20).await;
    let err = page.expect_err("no page").to_string();
    assert!(err.contains("longer than 33554432 bytes"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn append_answered_without_end_may_have_been_written() {
    let server = EndlessServer::start(JSON_HEAD, b" ").await;
    let log = LogClient::new(&server.url());

    let appended = log.append("config", &[json!({ "n": 1 })]).await;

    server.assert_taken(64 << 10).await;
    let err = appended.expect_err("no offset");
    assert!(matches!(err, AppendFailure::Unknown(_)), "{err}");
    assert!(err.to_string().contains("longer than"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn call_answered_without_end_may_have_run() {
    let server = EndlessServer::start(JSON_HEAD, b" ").await;
    let body = json!({});

    let answer = ServiceClient::new(&server.url())
        .run(&service_call(&body))
        .await;

    server.assert_taken(4 << 20).await;
    let err = answer.expect_err("no answer");
    assert!(matches!(err, CallFailure::Unknown(_)), "{err}");
    assert!(err.to_string().contains("longer than"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_end_keeps_its_status() {
    let head = JSON_HEAD.replace("200 OK", "422 Unprocessable Entity");
    let server = EndlessServer::start(&head, b" ").await;
    let body = json!({});

    let answer = ServiceClient::new(&server.url())
        .run(&service_call(&body))
        .await;

    server.assert_taken(64 << 10).await;
    let err = answer.expect_err("no answer");
    assert!(matches!(err, CallFailure::Refused(422, _)), "{err}");
    assert!(err.to_string().contains("longer than 65536 bytes"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_answered_by_an_error_without_end_fails_at_64_kib() {
    let head = JSON_HEAD.replace("200 OK", "500 Internal Server Error");
    let server = EndlessServer::start(&head, b"x").await;
    let body = json!({});

    let engine = EngineClient::new(&server.url());
    let started = engine.start(&engine_call(&body)).await.map(drop);

    server.assert_taken(64 << 10).await;
    let err = started.expect_err("no stream");
    assert!(matches!(err, HttpFailure::Status(..)), "{err}");
    assert!(err.to_string().contains("longer than 65536 bytes"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn load_of_an_engine_without_end_is_refused() {
    let server = EndlessServer::start(JSON_HEAD, b" ").await;

    let load = EngineClient::new(&server.url()).load().await;

    server.assert_taken(32 << 20).await;
    let err = load.expect_err("no load").to_string();
    assert!(err.contains("longer than"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn long_head_is_refused() {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 26\r\nx-filler: {}\r\n\r\n{}",
        "x".repeat(200 << 10),
        r#"{"as_of_ms": 1, "vms": []}"#
    );
    let server = EndlessServer::start(&head, b"").await;

    let list = VmListClient::new(&server.url()).read().await;

    assert!(list.is_err(), "{list:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn early_heads_without_end_last_no_longer_than_the_timeout() {
    let server = EndlessServer::start("", b"HTTP/1.1 103 Early Hints\r\n\r\n").await;
    let started = tokio::time::Instant::now();

    let list = VmListClient::new(&server.url()).read().await;

    assert!(list.is_err(), "{list:?}");
    assert!(started.elapsed() < Duration::from_secs(4));
}

#[tokio::test(flavor = "multi_thread")]
async fn records_too_long_for_one_page_are_read_in_several() {
    let server = LogStandIn::start((Ipv4Addr::LOCALHOST, 0), LogOptions::default()).await;
    let server = server.expect("a log");
    let log = LogClient::new(&format!("http://{}", server.address()));
    for _ in 0..40 {
        let record = json!({ "filler": "x".repeat(1 << 20) });
        log.append("config", &[record]).await.expect("an offset");
    }

    let page = log.read("config", LogOffset(1), 64, Duration::ZERO).await;

    let page = page.expect("a page");
    assert_eq!(page.records[0].offset, LogOffset(1));
    assert_eq!(page.tail, LogOffset(41));
    assert!(page.records.len() < 40, "{}", page.records.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn weights_without_end_are_refused_at_64_mib() {
    let server = EndlessServer::start(JSON_HEAD, b"w").await;
    let weights = WeightClient::new(&server.url());
    let model = ModelName::from("kit-assistant");

    let loaded = tokio::time::timeout(Duration::from_secs(5), weights.load(&model, 1, 2)).await;

    server.assert_taken(64 << 20).await;
    let err = loaded.expect("an end").expect_err("no weights").to_string();
    assert!(err.contains("longer than 67108864 bytes"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn weights_that_stop_halfway_are_given_up() {
    let server = EndlessServer::start("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", b"").await;
    let limit = AnswerLimit {
        time: Duration::from_secs(1),
        bytes: 1 << 20,
    };
    let weights = WeightClient::with_limit(&server.url(), limit);
    let model = ModelName::from("kit-assistant");

    let loaded = tokio::time::timeout(Duration::from_secs(5), weights.load(&model, 1, 2)).await;

    let err = loaded.expect("an end").expect_err("no weights").to_string();
    assert!(err.contains("no whole answer within 1s"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_is_refused_at_4_mib() {
    let head = JSON_HEAD.replace("application/json", "text/event-stream");
    for filler in [&b"data: more\n"[..], b"x"] {
        let server = EndlessServer::start(&head, filler).await;
        let body = json!({});
        let engine = EngineClient::new(&server.url());
        let started = engine.start(&engine_call(&body)).await;
        let mut events = Box::pin(started.expect("a stream"));

        let event = tokio::time::timeout(Duration::from_secs(5), events.next()).await;

        server.assert_taken(4 << 20).await;
        let event = event.expect("an event before the timeout");
        assert_eq!(event, Some(EngineEvent::TooLong(4 << 20)));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn short_events_are_read_however_many() {
    let head = JSON_HEAD.replace("application/json", "text/event-stream");
    for filler in [&b"data: more\n\n"[..], b"data: more\r\n\r\n"] {
        let server = EndlessServer::start(&head, filler).await;
        let body = json!({});
        let engine = EngineClient::new(&server.url());
        let started = engine.start(&engine_call(&body)).await;

        let events = started.expect("a stream").take(600_000);
        let are_chunks = events.all(async |event| event == EngineEvent::Chunk("more".to_owned()));

        assert!(are_chunks.await);
    }
}
