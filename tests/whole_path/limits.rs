//! Tests targets that send more than any answer may have.

use comfreyhead::prelude::*;
use comfreyhead_standins::expected_tokens;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::caller::read_stream;
use crate::fleet::{Fleet, FleetShape};
use crate::requests::{bearer, completion};

/// The memory of an agent while it serves, far below what the target sends.
const MAX_AGENT_KIB: u64 = 100 << 10;

#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_costs_no_answer_and_no_memory() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 2,
        services: 0,
    })
    .await;
    let entry = fleet.callers()[0];
    fleet.engines[0].set_endless_events(true);
    let bearer = bearer();
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-request-timeout-ms", "20000"),
    ];

    for idx in 0.. {
        if !fleet.engines[0].started().is_empty() {
            break;
        }
        let body = completion(&format!("kit history {idx}"), 40);
        let streamed = read_stream(entry, "/v1/completions", &headers, &body, usize::MAX).await;

        let peak = fleet.agents[0].peak_memory_kib();
        assert!(peak < MAX_AGENT_KIB, "the agent took {peak} KiB");
        let streamed = streamed.expect("a stream");
        assert!(streamed.is_whole, "{streamed:?}");
        assert_eq!(streamed.text, expected_tokens(&body).concat());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_whose_body_does_not_end_is_answered_at_its_deadline() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 0,
    })
    .await;
    let mut stream = TcpStream::connect(fleet.callers()[0])
        .await
        .expect("connect");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: {}\r\n\
         x-request-timeout-ms: 500\r\ncontent-length: 1000\r\n\r\n{{\"model\":",
        bearer()
    );
    stream.write_all(head.as_bytes()).await.expect("write");

    let mut answer = vec![0; 4_096];
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read(&mut answer)).await;

    let n_read = read.expect("an answer before the timeout").expect("bytes");
    let answer = String::from_utf8_lossy(&answer[..n_read]);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(
        answer.contains("x-comfreyhead-outcome: not-run"),
        "{answer}"
    );
}
