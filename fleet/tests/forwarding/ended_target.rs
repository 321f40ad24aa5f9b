//! Targets that end while they run a request.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;

use crate::wire::{Entry, Reply, ScriptedTarget};

/// The time of a run until its target ends.
const RUN_TIME: Duration = Duration::from_millis(100);

/// The time until a request counts as harmful at one entry: until others can have told of an answer.
const VERDICT_TIME: Duration = Duration::from_millis(1_300);

/// Starts targets that end under their first request, after these bytes of an answer.
async fn ending_targets<const N: usize>(text: &str) -> [ScriptedTarget; N] {
    let mut targets = Vec::new();
    for _ in 0..N {
        let reply = Reply::End(text.to_owned(), RUN_TIME);
        targets.push(ScriptedTarget::start(vec![reply]).await);
    }
    targets.try_into().ok().unwrap()
}

#[tokio::test]
async fn request_that_ended_three_targets_is_refused_and_others_are_served() {
    // Arrange: the sound target is chosen last.
    let ending = ending_targets::<3>("").await;
    let replies = vec![Reply::whole("200 OK", "ok"); 2];
    let sound = ScriptedTarget::start(replies).await;
    let [a, b, c] = &ending;
    let entry = Entry::start(CallKind::Unsafe, &[a, b, c, &sound]).await;
    for _ in 0..5 {
        entry.disfavour(3);
    }

    // Act
    for id in ["r1", "r2", "r3"] {
        assert_eq!(entry.call(id).await.status, 502);
    }
    tokio::time::sleep(VERDICT_TIME).await;
    let refused = entry.call("r4").await;
    let other = entry.call_path("/r/other", "k1").await;

    // Assert
    assert_eq!(refused.status, 503);
    assert!(refused.head.contains("retry-after: 59"), "{}", refused.head);
    assert_eq!(other.status, 200);
    assert_eq!(sound.requests().len(), 1);
}

// Guards against a request that counts as harmful as its targets leave one after the other.
#[tokio::test]
async fn targets_that_end_as_announced_are_not_held_against_a_request() {
    // Arrange
    let ending = ending_targets::<3>("").await;
    let sound = ScriptedTarget::start(vec![Reply::whole("200 OK", "ok")]).await;
    let [a, b, c] = &ending;
    let entry = Entry::start(CallKind::Unsafe, &[a, b, c, &sound]).await;
    for _ in 0..5 {
        entry.disfavour(3);
    }

    // Act
    for id in ["r1", "r2", "r3"] {
        let draining = async {
            tokio::time::sleep(RUN_TIME / 2).await;
            for (n_target, target) in ending.iter().enumerate() {
                if !target.requests().is_empty() {
                    entry.drain(n_target, target);
                }
            }
        };
        let (response, ()) = tokio::join!(entry.call(id), draining);
        assert_eq!(response.status, 502);
    }
    tokio::time::sleep(VERDICT_TIME).await;

    // Assert
    assert_eq!(entry.call("r4").await.status, 200);
}

// Guards against streams without a length that seem answered as their target ends between two events.
#[tokio::test]
async fn stream_that_ends_with_its_target_clears_nothing() {
    // Arrange
    let ending = ending_targets::<3>(&undelimited("id: 1\ndata: a\n\n")).await;
    let sound = ScriptedTarget::start(vec![Reply::stream("id: 1\ndata: a\n\n")]).await;
    let [a, b, c] = &ending;
    let entry = Entry::start(CallKind::SingleStream, &[a, b, c, &sound]).await;
    for _ in 0..5 {
        entry.disfavour(3);
    }

    // Act
    for id in ["r1", "r2", "r3"] {
        assert_eq!(entry.call(id).await.status, 200);
    }
    tokio::time::sleep(VERDICT_TIME).await;

    // Assert
    assert_eq!(entry.call("r4").await.status, 503);
    assert_eq!(sound.requests().len(), 0);
}

#[tokio::test]
async fn stream_without_a_length_is_complete_after_an_event_and_resumed_within_one() {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let whole = ScriptedTarget::start(vec![Reply::raw(&undelimited(events))]).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&whole]).await;
    let response = entry.call("r1").await;
    assert_eq!(response.body, events);
    assert!(response.is_complete);

    let cut = ScriptedTarget::start(vec![Reply::raw(&undelimited(&events[..20]))]).await;
    let rest = ScriptedTarget::start(vec![Reply::stream("id: 2\ndata: b\n\n")]).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&cut, &rest]).await;
    entry.disfavour(1);
    let response = entry.call("r1").await;
    assert_eq!(response.body, events);
    assert!(response.is_complete);
    assert!(
        rest.requests()[0]
            .to_lowercase()
            .contains("last-event-id: 1")
    );
}

// Guards against a connection that is opened for each answer that has no body.
#[tokio::test]
async fn answer_without_a_body_leaves_its_connection_as_it_is() {
    let empty = Reply::raw("HTTP/1.1 204 No Content\r\nx-seal: s1\r\n\r\n");
    let target = ScriptedTarget::start(vec![empty.clone(), empty]).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    for id in ["r1", "r2"] {
        assert_eq!(entry.call(id).await.status, 204);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(target.n_connections(), 1);
}

/// Returns a response that ends with its connection.
fn undelimited(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-seal: s1\r\nconnection: close\r\n\r\n{body}")
}
