//! Sound targets that fall silent for about a second and go on, over real TCP connections.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::BudgetSettings;

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

// Guards against streams of a group that pauses as a whole being sent to a second rank each.
#[tokio::test]
async fn streams_of_a_group_that_is_silent_as_a_whole_are_sent_once() {
    let silence = Duration::from_millis(900);
    let scripts = || vec![Reply::SilentOnce(silence); 3];
    let targets = [
        ScriptedTarget::start(scripts()).await,
        ScriptedTarget::start(scripts()).await,
        ScriptedTarget::start(scripts()).await,
    ];
    let ranks: Vec<&ScriptedTarget> = targets.iter().collect();
    let entry = Entry::with_route(stream_route(), 1_000.0, &ranks).await;
    entry.form_group(stream_route());
    let (first, second, third) = tokio::join!(entry.call("r1"), entry.call("r2"), entry.call("r3"));
    for answer in [first, second, third] {
        assert_eq!(answer.body, whole_stream());
    }
    let n_sent: usize = targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(n_sent, 3);
}

// Guards against a silence that counts as the speed of the group and makes it refuse streams.
#[tokio::test]
async fn silence_is_no_pause_of_the_group() {
    let silent = target(Reply::SilentOnce(Duration::from_secs(10))).await;
    let sound = target(Reply::SilentOnce(Duration::ZERO)).await;
    let entry = Entry::with_route(stream_route(), 1_000.0, &[&silent, &sound]).await;
    entry.disfavour(1);
    let answer = entry.call("r1").await;
    assert_eq!(answer.body, whole_stream());
    let pause = entry.average_pause().unwrap();
    assert!(pause < 0.12, "{pause}");
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

// Guards against a stated failure that is held until its caller has given up.
#[tokio::test]
async fn stated_failure_reaches_its_caller_before_the_deadline() {
    for kind in [CallKind::Safe, CallKind::ResumableStream] {
        let silent = target(Reply::Silence).await;
        let failing = target(Reply::whole("500 Oops", "bad")).await;
        let route = RouteSpec {
            timeout: Duration::from_millis(1_500),
            ..route(kind)
        };
        let entry = Entry::with_route(route, 1_000.0, &[&silent, &failing]).await;
        entry.disfavour(1);
        let began_at = Instant::now();
        let answer = entry.call("r1").await;
        assert_eq!((answer.status, answer.body.as_str()), (500, "bad"));
        assert!(began_at.elapsed() < Duration::from_millis(1_500));
    }
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

// Guards against requests without any answer as a process exits that waits for a silent target.
#[tokio::test]
async fn silent_call_is_answered_before_the_process_exits() {
    for kind in [CallKind::Unsafe, CallKind::Safe, CallKind::ResumableStream] {
        let silent = target(Reply::Silence).await;
        let route = RouteSpec {
            timeout: Duration::from_secs(6),
            ..route(kind)
        };
        let entry = Entry::with_route(route, 1_000.0, &[&silent]).await;
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            // The grace period is 8 s.
            entry.stop_since(Duration::from_millis(7_300));
        };
        let began_at = Instant::now();
        let (answer, ()) = tokio::join!(entry.call("r1"), stopping);
        assert_eq!(answer.status, 504);
        assert!(began_at.elapsed() < Duration::from_millis(500));
    }
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

// Guards against retries that are drawn from the budget while there is no other target.
#[tokio::test]
async fn no_retry_is_drawn_without_another_target() {
    let late = "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: 4\r\n\r\nlate";
    let only = target(Reply::Late(Duration::from_millis(600), late.to_owned())).await;
    // One retry for the request.
    let budget = BudgetSettings {
        window: Duration::from_secs(60),
        ratio: 2.0,
        slack: 0.0,
    };
    let entry = Entry::with_budget(route(CallKind::Safe), budget, &[&only]).await;
    assert_eq!(entry.call("r1").await.body, "late");
    assert!(entry.draw_retry());
}

// Guards against a stream that ends early since its replacement has no events.
#[tokio::test]
async fn empty_replacement_does_not_end_a_silent_stream() {
    let silent = target(Reply::SilentOnce(SILENCE)).await;
    let empty = target(Reply::whole("200 OK", "")).await;
    let entry = Entry::with_route(stream_route(), 1_000.0, &[&silent, &empty]).await;
    entry.disfavour(1);
    assert_eq!(entry.call("r1").await.body, whole_stream());
}
