//! Tests requests and rejections in a fleet without faults.

use comfreyhead_standins::expected_tokens;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use uuid::Uuid;

use crate::caller::{post, read_stream};
use crate::fleet::{CALLER_TOKEN, Fleet, FleetShape};

const COMPLETIONS: &str = "/v1/completions";

pub fn bearer() -> String {
    format!("Bearer {CALLER_TOKEN}")
}

pub fn completion(prompt: &str, max_tokens: u64) -> Value {
    json!({ "model": "kit-assistant", "prompt": prompt, "max_tokens": max_tokens, "stream": true })
}

#[tokio::test(flavor = "multi_thread")]
async fn every_entry_answers_requests_lookups_and_orders() {
    let fleet = Fleet::start(FleetShape {
        entries: 3,
        engines: 3,
        services: 2,
    })
    .await;
    let bearer = bearer();
    let headers = [("authorization", bearer.as_str())];
    for (idx, entry) in fleet.callers().into_iter().enumerate() {
        let body = completion(&format!("voicing guide {idx}"), 9);
        let expected = expected_tokens(&body).concat();

        let streamed = read_stream(entry, COMPLETIONS, &headers, &body, usize::MAX).await;
        let mut whole_body = body.clone();
        whole_body["stream"] = json!(false);
        let whole = post(entry, COMPLETIONS, &headers, whole_body.to_string()).await;
        let lookup = post(
            entry,
            "/v1/services/ledger/stock",
            &headers,
            "{}".to_owned(),
        )
        .await;
        let key = Uuid::now_v7().to_string();
        let order_headers = [headers[0], ("idempotency-key", &key)];
        let order = post(
            entry,
            "/v1/services/ledger/ship",
            &order_headers,
            "{}".to_owned(),
        )
        .await;

        let streamed = streamed.expect("a stream");
        assert!(streamed.is_whole, "{streamed:?}");
        assert_eq!(streamed.text, expected);
        let whole = whole.expect("an answer");
        assert_eq!(whole.body["choices"][0]["text"], expected.as_str());
        assert_eq!(whole.outcome, "answered");
        assert_eq!(lookup.expect("an answer").body["call"], "stock");
        let order = order.expect("an answer");
        assert_eq!(
            (order.outcome.as_str(), &order.body["call"]),
            ("answered", &json!("ship"))
        );
    }
    let ran = fleet.ran();
    assert_eq!(ran.iter().filter(|call| call.call == "ship").count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_a_specific_error_and_the_entry_keeps_serving() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 1,
    })
    .await;
    let entry = fleet.callers()[0];
    let good = bearer();
    let cases = [
        (
            "Bearer nobody",
            COMPLETIONS,
            "{}".to_owned(),
            401,
            "invalid_token",
        ),
        (
            &good,
            COMPLETIONS,
            "{\"model\":".to_owned(),
            400,
            "invalid_json",
        ),
        (&good, COMPLETIONS, "[1]".to_owned(), 400, "invalid_json"),
        (
            &good,
            COMPLETIONS,
            "{\"model\":\"x\"}".to_owned(),
            404,
            "model_not_found",
        ),
        (
            &good,
            COMPLETIONS,
            format!("\"{}\"", "x".repeat(5 << 20)),
            413,
            "body_too_large",
        ),
        (
            &good,
            "/v1/services/ledger/steal",
            "{}".to_owned(),
            404,
            "no_such_call",
        ),
        (
            &good,
            "/v1/services/ledger/ship",
            "{}".to_owned(),
            400,
            "invalid_idempotency_key",
        ),
        (&good, "/v1/nothing", "{}".to_owned(), 404, "no_such_call"),
    ];
    for (bearer, path, body, status, code) in cases {
        let answer = post(entry, path, &[("authorization", bearer)], body).await;

        let answer = answer.expect("an answer");
        let error = &answer.body["error"];
        assert_eq!(
            (answer.status.as_u16(), &error["code"]),
            (status, &json!(code))
        );
        assert_eq!(
            (answer.outcome.as_str(), &error["outcome"]),
            ("not-run", &json!("not-run"))
        );
    }

    let answered = send_cut_body(entry).await;
    let body = completion("still there", 3);
    let headers = [("authorization", good.as_str())];
    let streamed = read_stream(entry, COMPLETIONS, &headers, &body, usize::MAX).await;

    assert!(!answered.contains("200 OK"), "{answered}");
    assert!(streamed.expect("a stream").is_whole);
    assert_eq!(fleet.ran().len(), 0);
}

/// Sends fewer body bytes than `content-length` states and returns the response.
async fn send_cut_body(entry: std::net::SocketAddr) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("connect");
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: {}\r\n\
         content-length: 1000\r\n\r\n{{\"model\":",
        bearer()
    );
    stream.write_all(head.as_bytes()).await.expect("write");
    stream.shutdown().await.expect("shut down");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}
