//! Requests that are not done as their entry stops: whole too late, or waiting for something.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use tokio::time::{sleep, timeout};

use crate::wire::{Entry, Reply, ScriptedTarget, kept_request, route, stream_route};

/// A time after the start of a stop at which an entry still accepts requests, and one at which it does
/// not any more.
const BEFORE_CLOSE: Duration = Duration::from_millis(2_400);
const AFTER_CLOSE: Duration = Duration::from_millis(2_900);

/// A time after the start of a stop shortly before the last answers are given.
const BEFORE_LAST_ANSWERS: Duration = Duration::from_millis(7_200);

/// The time in which these answers arrive.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(600);

fn route_for(kind: CallKind, timeout: Duration) -> RouteSpec {
    RouteSpec {
        timeout,
        ..route(kind)
    }
}

/// Sends a request with a body to an entry that stops, its last byte after the entry has closed; returns
/// the status line and the number of requests that reached the target.
async fn call_with_late_byte(kind: CallKind, time_limit: Duration) -> (String, usize) {
    let target = ScriptedTarget::start(vec![Reply::whole("200 OK", "hello")]).await;
    let entry = Entry::with_route(route_for(kind, time_limit), 1_000.0, &[&target]).await;
    let mut caller = entry.connect().await;
    entry.stop_since(BEFORE_CLOSE);
    let head = kept_request("r1").replacen("\r\n\r\n", "\r\ncontent-length: 5\r\n\r\n", 1);
    caller.send(&head).await;
    caller.send("hell").await;
    sleep(AFTER_CLOSE - BEFORE_CLOSE).await;
    caller.send("o").await;
    let answer = caller.response().await;
    let status = answer.lines().next().unwrap_or_default().to_owned();
    (status, target.requests().len())
}

// Guards against a request that is passed on though the end of the grace period may cut it (LOST).
#[tokio::test]
async fn request_that_is_whole_too_late_to_end_is_refused() {
    for kind in [CallKind::Unsafe, CallKind::Safe, CallKind::SingleStream] {
        let (status, n_sent) = call_with_late_byte(kind, Duration::from_secs(6)).await;
        assert!(status.starts_with("HTTP/1.1 503"), "{kind:?}: {status}");
        assert_eq!(n_sent, 0, "{kind:?}");
    }
}

// Guards against refusing what ends before the entry does.
#[tokio::test]
async fn request_that_is_whole_late_and_ends_in_time_is_served() {
    for kind in [CallKind::Unsafe, CallKind::Safe] {
        let (status, n_sent) = call_with_late_byte(kind, Duration::from_secs(2)).await;
        assert!(status.starts_with("HTTP/1.1 200"), "{kind:?}: {status}");
        assert_eq!(n_sent, 1, "{kind:?}");
    }
}

// Guards against a call that may run once only being sent to another target so late that it may be cut.
#[tokio::test]
async fn unsafe_call_is_not_sent_again_once_it_may_be_cut() {
    for (time_limit, status, n_again) in [(6, 503, 0), (2, 200, 1)] {
        let refusal = "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n".to_owned();
        let targets = [
            ScriptedTarget::start(vec![Reply::Late(AFTER_CLOSE - BEFORE_CLOSE, refusal)]).await,
            ScriptedTarget::start(vec![Reply::whole("200 OK", "hello")]).await,
        ];
        let route = route_for(CallKind::Unsafe, Duration::from_secs(time_limit));
        let entry = Entry::with_route(route, 1_000.0, &[&targets[0], &targets[1]]).await;
        entry.disfavour(1);
        entry.stop_since(BEFORE_CLOSE);

        let answer = entry.call("r1").await;

        assert_eq!(answer.status, status, "{time_limit} s");
        assert_eq!(targets[1].requests().len(), n_again, "{time_limit} s");
    }
}

// Guards against a body that is still arriving as the entry ends, so that its caller gets no answer.
#[tokio::test]
async fn request_without_its_last_byte_is_refused_before_the_entry_ends() {
    let target = ScriptedTarget::start(vec![]).await;
    let route = route_for(CallKind::Unsafe, Duration::from_secs(9));
    let entry = Entry::with_route(route, 1_000.0, &[&target]).await;
    let mut caller = entry.connect().await;
    let head = kept_request("r1").replacen("\r\n\r\n", "\r\ncontent-length: 5\r\n\r\n", 1);
    caller.send(&head).await;
    sleep(Duration::from_millis(50)).await;

    entry.stop_since(BEFORE_LAST_ANSWERS);
    let answer = timeout(LAST_ANSWER_TIME, caller.response()).await;

    let answer = answer.expect("an answer in time");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

// Guards against a stream that waits for its group as the entry ends, so that its caller gets no answer.
#[tokio::test]
async fn stream_that_waits_for_a_group_is_refused_before_the_entry_ends() {
    let targets = [
        ScriptedTarget::start(vec![Reply::Silence]).await,
        ScriptedTarget::start(vec![Reply::Silence]).await,
    ];
    let entry = Entry::with_route(stream_route(), 0.0, &[&targets[0], &targets[1]]).await;
    entry.form_group(stream_route());
    entry.begin_forming().await;
    let mut caller = entry.connect().await;
    caller.send(&kept_request("r1")).await;
    sleep(Duration::from_millis(50)).await;

    entry.stop_since(BEFORE_LAST_ANSWERS);
    let answer = timeout(LAST_ANSWER_TIME, caller.response()).await;

    let answer = answer.expect("an answer in time");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let n_sent: usize = targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(n_sent, 0);
}
