//! Sound targets that fall silent for about a second and go on, over real TCP connections.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;

use crate::wire::{Entry, N_EVENTS, Reply, ScriptedTarget, event, route, stream_route};

/// How long a sound target is silent.
const SILENCE: Duration = Duration::from_millis(1_300);

fn whole_stream() -> String {
    (1..=N_EVENTS).map(event).collect()
}

async fn target(reply: Reply) -> ScriptedTarget {
    ScriptedTarget::start(vec![reply]).await
}

// Guards against a stream that is cut because both of its targets were silent once.
#[tokio::test]
async fn stream_is_whole_though_each_of_its_targets_is_silent_once() {
    let targets = [
        target(Reply::SilentOnce(SILENCE)).await,
        target(Reply::SilentOnce(SILENCE)).await,
    ];
    let entry = Entry::with_route(stream_route(), 1_000.0, &[&targets[0], &targets[1]]).await;
    entry.keep_progress();
    let answer = entry.call("r1").await;
    assert!(answer.is_complete, "{}", answer.body);
    assert_eq!(answer.body, whole_stream());
}

// Guards against a stream that is cut for silence while no retry is left in the budget.
#[tokio::test]
async fn silent_target_goes_on_while_no_retry_is_left() {
    let targets = [
        target(Reply::SilentOnce(SILENCE)).await,
        target(Reply::SilentOnce(SILENCE)).await,
    ];
    let entry = Entry::with_route(stream_route(), 0.0, &[&targets[0], &targets[1]]).await;
    entry.keep_progress();
    let answer = entry.call("r1").await;
    assert!(answer.is_complete, "{}", answer.body);
    assert_eq!(answer.body, whole_stream());
    assert_eq!(
        targets
            .map(|target| target.requests().len())
            .iter()
            .sum::<usize>(),
        1
    );
}

// Guards against a stream that is cut because the target that was to replace a silent one failed.
#[tokio::test]
async fn silent_target_goes_on_where_its_replacement_fails() {
    let silent = target(Reply::SilentOnce(SILENCE)).await;
    let broken = target(Reply::Close).await;
    let entry = Entry::with_route(stream_route(), 1_000.0, &[&silent, &broken]).await;
    entry.keep_progress();
    entry.disfavour(1);
    let answer = entry.call("r1").await;
    assert!(answer.is_complete, "{}", answer.body);
    assert_eq!(answer.body, whole_stream());
}

// Guards against a 504 for a stream whose targets send their first event late.
#[tokio::test]
async fn late_first_event_is_delivered_though_no_attempt_is_left() {
    let late = || {
        let events = whole_stream();
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: {}\r\n\r\n{events}",
            events.len()
        );
        Reply::Late(Duration::from_millis(2_500), text)
    };
    let targets = [target(late()).await, target(late()).await];
    let entry = Entry::with_route(stream_route(), 1_000.0, &[&targets[0], &targets[1]]).await;
    entry.keep_progress();
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body), (200, whole_stream()));
}

// Guards against a 504 for a stream whose only target sends its first event late.
#[tokio::test]
async fn late_first_event_of_the_only_target_is_delivered() {
    let events = whole_stream();
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: {}\r\n\r\n{events}",
        events.len()
    );
    let only = target(Reply::Late(SILENCE, text)).await;
    let entry = Entry::with_route(stream_route(), 1_000.0, &[&only]).await;
    entry.keep_progress();
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body), (200, whole_stream()));
}

// Guards against a 502 for a lookup whose first target answers in time while the second one fails.
#[tokio::test]
async fn late_answer_of_a_safe_call_is_delivered_where_the_other_target_fails() {
    let late = target(Reply::Late(
        Duration::from_millis(600),
        "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: 4\r\n\r\nlate".to_owned(),
    ))
    .await;
    let broken = target(Reply::Close).await;
    let entry = Entry::start(CallKind::Safe, &[&late, &broken]).await;
    entry.disfavour(1);
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "late"));
}

// Guards against a 504 for a lookup that is silent while no retry is left in the budget.
#[tokio::test]
async fn late_answer_of_a_safe_call_is_delivered_while_no_retry_is_left() {
    let late = || {
        Reply::Late(
            Duration::from_millis(600),
            "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: 4\r\n\r\nlate".to_owned(),
        )
    };
    let targets = [target(late()).await, target(late()).await];
    let entry = Entry::with_route(route(CallKind::Safe), 0.0, &[&targets[0], &targets[1]]).await;
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "late"));
}

// Guards against a target that goes on with a request which another one has answered.
#[tokio::test]
async fn silent_target_is_reset_once_another_has_answered() {
    let silent = target(Reply::Silence).await;
    let sound = target(Reply::whole("200 OK", "good")).await;
    let entry = Entry::start(CallKind::Safe, &[&silent, &sound]).await;
    entry.disfavour(1);
    assert_eq!(entry.call("r1").await.body, "good");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(silent.last_end(), Some(std::io::ErrorKind::ConnectionReset));
}

// Guards against a run that goes on after its deadline since its caller does not read.
#[tokio::test]
async fn stream_to_a_caller_that_does_not_read_ends_at_its_deadline() {
    let event = format!("data: {}\n\n", "x".repeat(20_000));
    let large = target(Reply::stream(&event.repeat(1_000))).await;
    let route = RouteSpec {
        timeout: Duration::from_millis(500),
        ..stream_route()
    };
    let entry = Entry::with_route(route, 1_000.0, &[&large]).await;
    let leaving = entry.call_and_leave("r1", Duration::from_secs(2));
    let n_busy = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let before = entry.n_busy_targets();
        tokio::time::sleep(Duration::from_millis(300)).await;
        (before, entry.n_busy_targets())
    };
    let (n_busy, ()) = tokio::join!(n_busy, leaving);
    assert_eq!(n_busy, (1, 0));
}

// Guards against the ejection of a sound target whose answers take longer than their deadlines.
#[tokio::test]
async fn silence_up_to_the_deadline_is_no_failure_of_the_target() {
    for kind in [CallKind::Unsafe, CallKind::Safe, CallKind::SingleStream] {
        for _ in 0..5 {
            let silent = target(Reply::Silence).await;
            let route = RouteSpec {
                timeout: Duration::from_millis(150),
                ..route(kind)
            };
            let entry = Entry::with_route(route, 1_000.0, &[&silent]).await;
            assert!([502, 504].contains(&entry.call("r1").await.status));
            assert_eq!(entry.failures(0), 0.0);
        }
    }
}
