//! Targets that write an earlier response once more, where the next one is expected.

use comfreyhead_fleet::prelude::*;

use crate::wire::{Entry, Reply, ScriptedTarget};

/// Refusals as they answer health checks and requests without an id.
const REFUSALS: [&str; 3] = [
    "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 429 Slow\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n",
];

fn without_id(text: &str) -> Reply {
    Reply::WithoutId(text.to_owned())
}

// Guards against callers that are told "not run" of a request that runs, by an earlier refusal.
#[tokio::test]
async fn refusal_without_an_id_on_a_used_connection_is_no_statement() {
    for refusal in REFUSALS {
        let hello = Reply::whole("200 OK", "hello");
        let target = ScriptedTarget::start(vec![hello, without_id(refusal)]).await;
        let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
        assert_eq!(entry.call("r1").await.status, 200);

        let answer = entry.call("r2").await;

        assert_eq!(answer.status, 502, "{refusal}");
        assert_eq!(target.n_connections(), 1, "{refusal}");
    }
}

// Guards against a second run of a call that may run only once, after an earlier refusal.
#[tokio::test]
async fn unsafe_call_is_not_sent_again_after_a_refusal_without_an_id() {
    for refusal in REFUSALS {
        let script = || vec![Reply::whole("200 OK", "hello"); 6];
        let targets = [
            ScriptedTarget::start(script()).await,
            ScriptedTarget::start(script()).await,
        ];
        let entry = Entry::start(CallKind::Unsafe, &[&targets[0], &targets[1]]).await;
        while targets.iter().any(|target| target.requests().is_empty()) {
            assert_eq!(entry.call("warm").await.status, 200);
        }
        for target in &targets {
            target.replace(vec![without_id(refusal), Reply::whole("200 OK", "again")]);
        }
        let n_before: usize = targets.iter().map(|target| target.requests().len()).sum();

        let answer = entry.call("r1").await;

        let n_after: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert_eq!((answer.status, n_after - n_before), (502, 1), "{refusal}");
    }
}

// Guards against answers to another request that are passed on, as they bear no id.
#[tokio::test]
async fn answer_without_an_id_on_a_used_connection_is_not_passed_on() {
    for earlier in [
        "HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad",
        "HTTP/1.1 404 Gone\r\ncontent-length: 3\r\n\r\nbad",
        "HTTP/1.1 500 Oops\r\ncontent-length: 3\r\n\r\nbad",
    ] {
        let hello = Reply::whole("200 OK", "hello");
        let target = ScriptedTarget::start(vec![hello, without_id(earlier)]).await;
        let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
        entry.call("r1").await;

        let answer = entry.call("r2").await;

        assert_eq!(answer.status, 502, "{earlier}");
        assert!(!answer.body.contains("bad"), "{earlier}");
    }
}

// Guards against true refusals that are no longer believed: nothing else was asked on a new
// connection.
#[tokio::test]
async fn refusal_without_an_id_on_a_new_connection_is_believed() {
    for refusal in REFUSALS {
        let target = ScriptedTarget::start(vec![without_id(refusal)]).await;
        let entry = Entry::start(CallKind::Unsafe, &[&target]).await;

        let answer = entry.call("r1").await;

        assert_eq!(answer.status, 503, "{refusal}");
    }
}

// Guards against a request without an id whose answer cannot be told from an earlier one.
#[tokio::test]
async fn request_without_an_id_goes_out_on_a_new_connection() {
    let hello = "HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nhello";
    let target = ScriptedTarget::start(vec![without_id(hello), without_id(hello)]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let request = b"GET /r/x HTTP/1.1\r\nhost: shop.example\r\nauthorization: Token k1\r\n\
        connection: close\r\n\r\n";

    let first = entry.send(request).await;
    let second = entry.send(request).await;

    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(target.n_connections(), 2);
}
