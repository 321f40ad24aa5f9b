//! The limit on the heads of requests, which may change while connections are open.

use std::time::Duration;

use comfreyhead_fleet::catalog::CallerLimits;
use comfreyhead_fleet::prelude::*;

use crate::wire::{Entry, Reply, ScriptedTarget, kept_request, route};

/// The limits before and after a change, and the length of heads between them.
const LOW: usize = 16_384;
const HIGH: usize = 65_536;
const BETWEEN: usize = 32_000;

fn limits(header_bytes: usize) -> CallerLimits {
    CallerLimits {
        header_bytes,
        idle_timeout: Duration::from_secs(60),
        ..CallerLimits::default()
    }
}

/// A request whose head has so many bytes.
fn long_request(id: &str, len: usize) -> String {
    let request = kept_request(id);
    let name = "x-long: ";
    let fill = "c".repeat(len - request.len() - name.len() - 2);
    request.replacen("\r\n\r\n", &format!("\r\n{name}{fill}\r\n\r\n"), 1)
}

async fn target() -> ScriptedTarget {
    ScriptedTarget::start(vec![Reply::whole("200 OK", "hello"); 12]).await
}

async fn entry(target: &ScriptedTarget, header_bytes: usize) -> Entry {
    let entry = Entry::start(CallKind::Safe, &[target]).await;
    entry.set_limits(route(CallKind::Safe), limits(header_bytes));
    entry
}

// Guards against a raised limit that does not reach the connections that are open.
#[tokio::test]
async fn raised_limit_holds_on_open_connections() {
    let target = target().await;
    let entry = entry(&target, LOW).await;
    let mut caller = entry.connect().await;
    caller.call("r1").await;
    entry.set_limits(route(CallKind::Safe), limits(HIGH));

    for len in [BETWEEN, HIGH, 1_000, BETWEEN] {
        caller.send(&long_request("r2", len)).await;
        let answer = caller.response().await;

        assert!(answer.starts_with("HTTP/1.1 200"), "{len}: {answer:?}");
    }
}

// Guards against a lowered limit that does not hold, and against a limit that a head may exceed.
#[tokio::test]
async fn head_over_the_limit_in_force_is_refused() {
    let target = target().await;
    for (before, after, len) in [
        (HIGH, LOW, BETWEEN),
        (LOW, LOW, LOW + 1),
        (HIGH, HIGH, HIGH + 9),
    ] {
        let entry = entry(&target, before).await;
        let mut caller = entry.connect().await;
        caller.call("r1").await;
        entry.set_limits(route(CallKind::Safe), limits(after));

        caller.send(&long_request("r2", len)).await;
        let answer = caller.end().await;

        assert!(answer.starts_with("HTTP/1.1 431"), "{len}: {answer:?}");
    }
}

// Guards against a body, or a head that follows it at once, that counts towards a head.
#[tokio::test]
async fn bodies_and_requests_that_follow_at_once_count_towards_no_head() {
    let target = target().await;
    let entry = entry(&target, LOW).await;
    let mut caller = entry.connect().await;
    let body = "x".repeat(200_000);
    let head = format!("\r\ncontent-length: {}\r\n\r\n", body.len());
    let with_body = kept_request("r1").replacen("\r\n\r\n", &head, 1) + &body;

    for _ in 0..2 {
        caller.send(&with_body).await;
        caller.send(&long_request("r2", 12_000)).await;
        let first = caller.response().await;
        let second = caller.response().await;

        assert!(first.starts_with("HTTP/1.1 200"), "{first:?}");
        assert!(second.starts_with("HTTP/1.1 200"), "{second:?}");
    }
}
