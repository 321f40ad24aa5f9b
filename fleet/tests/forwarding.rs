//! Forwarding over real connections: an entry's state, callers, and targets that misbehave on the
//! wire.

mod wire;

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use wire::{Entry, Reply, ScriptedTarget};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

#[tokio::test]
async fn whole_answers_arrive_with_their_signature_and_without_the_key() {
    // Arrange
    let target = ScriptedTarget::start(vec![Reply::whole("200 OK", "hello")]).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;

    // Act
    let answer = entry.call("r1").await;

    // Assert
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "hello");
    assert!(answer.head.contains("x-seal: s1"), "{}", answer.head);
    let seen = target.requests();
    assert!(
        !seen[0].to_lowercase().contains("authorization"),
        "{}",
        seen[0]
    );
    assert!(
        seen[0].to_lowercase().contains("x-account: ana"),
        "{}",
        seen[0]
    );
    assert!(
        seen[0].to_lowercase().contains("x-expect: t0"),
        "{}",
        seen[0]
    );
}

#[tokio::test]
async fn unsafe_call_is_not_sent_again_after_a_lost_answer() {
    let targets = [
        ScriptedTarget::start(vec![Reply::Close]).await,
        ScriptedTarget::start(vec![Reply::Close]).await,
    ];
    let entry = Entry::start(CallKind::Unsafe, &[&targets[0], &targets[1]]).await;
    let answer = entry.call("r1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(targets[0].requests().len() + targets[1].requests().len(), 1);
}

#[tokio::test]
async fn unsafe_call_goes_on_where_a_target_states_that_it_did_not_run() {
    let not_run = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let full = ScriptedTarget::start(vec![Reply::raw(not_run)]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&full]).await;
    let answer = entry.call("r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "), "{}", answer.head);
    assert!(!answer.head.contains("x-seal"), "{}", answer.head);
}

#[tokio::test]
async fn status_that_promises_not_to_have_run_is_not_passed_on_without_the_statement() {
    let target = ScriptedTarget::start(vec![Reply::whole("503 Busy", "")]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    assert_eq!(entry.call("r1").await.status, 502);
}

#[tokio::test]
async fn answer_to_another_request_is_passed_on_to_nobody() {
    let foreign = "HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad";
    let target = ScriptedTarget::start(vec![Reply::raw(foreign)]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let answer = entry.call("r1").await;
    assert_eq!(answer.status, 502);
    assert!(!answer.body.contains("bad"));
}

#[tokio::test]
async fn answers_without_a_signature_or_with_an_encoding_are_no_answers() {
    for extra in ["", "x-seal: s\r\ncontent-encoding: gzip\r\n"] {
        let raw = format!("HTTP/1.1 200 OK\r\nx-id: r1\r\n{extra}content-length: 3\r\n\r\nbad");
        let target = ScriptedTarget::start(vec![Reply::raw(&raw)]).await;
        let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
        assert_eq!(entry.call("r1").await.status, 502, "{extra:?}");
    }
}

#[tokio::test]
async fn truncated_answer_of_a_safe_call_is_fetched_from_another_target() {
    let cut = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 9\r\n\r\ncut";
    let targets = [
        ScriptedTarget::start(vec![Reply::raw(cut), Reply::whole("200 OK", "second")]).await,
        ScriptedTarget::start(vec![Reply::raw(cut), Reply::whole("200 OK", "second")]).await,
    ];
    let entry = Entry::start(CallKind::Safe, &[&targets[0], &targets[1]]).await;

    // Act: each target cuts its first answer, so the second call meets whole ones.
    let first = entry.call("r1").await;
    let second = entry.call("r1").await;

    // Assert
    assert_eq!(first.status, 502);
    assert_eq!((second.status, second.body.as_str()), (200, "second"));
}

#[tokio::test]
async fn answer_without_a_length_is_whole_where_its_connection_ends_and_not_where_it_is_reset() {
    let head = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\nconnection: close\r\n\r\nbody";
    let ended = ScriptedTarget::start(vec![Reply::raw(head)]).await;
    let reset = ScriptedTarget::start(vec![Reply::Reset(head.to_owned())]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&ended]).await;
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "body"));
    let entry = Entry::start(CallKind::Unsafe, &[&reset]).await;
    assert_eq!(entry.call("r1").await.status, 502);
}

#[tokio::test]
async fn bytes_after_an_answer_belong_to_nobody() {
    // Arrange: the first answer is followed by a second one that nobody asked for.
    let answer = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 3\r\n\r\none";
    let doubled = format!("{answer}{}", answer.replace("one", "two"));
    let target =
        ScriptedTarget::start(vec![Reply::raw(&doubled), Reply::whole("200 OK", "three")]).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;

    // Act
    let first = entry.call("r1").await;
    let second = entry.call("r2").await;

    // Assert
    assert_eq!(first.body, "one");
    assert_eq!(second.body, "three");
}

#[tokio::test]
async fn stream_goes_on_at_another_target_after_the_last_whole_event() {
    // Arrange: the first target breaks off in the middle of an event.
    let targets = [
        ScriptedTarget::start(vec![Reply::cut_stream("id: 1\ndata: a\n\nid: 2\nda")]).await,
        ScriptedTarget::start(vec![Reply::cut_stream("id: 1\ndata: a\n\nid: 2\nda")]).await,
    ];
    for target in &targets {
        target.then(Reply::stream("id: 2\ndata: b\n\n"));
    }
    let entry = Entry::start(CallKind::ResumableStream, &[&targets[0], &targets[1]]).await;

    // Act: both targets must have cut before one completes; the second may cut as well.
    let answer = entry.call("r1").await;

    // Assert: events are whole, in order and never doubled, and a cut does not look complete.
    let events: Vec<&str> = answer
        .body
        .split("\n\n")
        .filter(|event| !event.is_empty())
        .collect();
    assert_eq!(answer.status, 200);
    assert_eq!(events.first(), Some(&"id: 1\ndata: a"));
    assert!(events.len() == 2 || !answer.is_complete, "{events:?}");
    let resumed = targets
        .iter()
        .flat_map(|target| target.requests())
        .any(|request| request.to_lowercase().contains("last-event-id: 1"));
    assert!(resumed);
}

#[tokio::test]
async fn stream_that_runs_once_is_broken_off_and_not_sent_again() {
    let targets = [
        ScriptedTarget::start(vec![Reply::cut_stream("id: 1\ndata: a\n\nid: 2\nda")]).await,
        ScriptedTarget::start(vec![Reply::stream(EVENTS)]).await,
    ];
    let entry = Entry::start(CallKind::SingleStream, &[&targets[0]]).await;
    let answer = entry.call("r1").await;
    assert!(!answer.is_complete);
    assert_eq!(targets[0].requests().len(), 1);
    assert_eq!(targets[1].requests().len(), 0);
}

#[tokio::test]
async fn whole_stream_arrives_complete() {
    let target = ScriptedTarget::start(vec![Reply::stream(EVENTS)]).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&target]).await;
    let answer = entry.call("r1").await;
    assert_eq!(answer.body, EVENTS);
    assert!(answer.is_complete);
}

#[tokio::test]
async fn request_that_its_caller_gave_up_is_reset_at_the_target() {
    // Arrange
    let target = ScriptedTarget::start(vec![Reply::Silence]).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;

    // Act
    entry.call_and_leave("r1", Duration::from_millis(100)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    // Assert: a reset, not an orderly close, so that no byte is sent on later.
    assert_eq!(target.last_end(), Some(std::io::ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn route_timeout_ends_a_call_at_once() {
    let target = ScriptedTarget::start(vec![Reply::Silence]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let started_at = Instant::now();
    let answer = entry.call("r1").await;
    assert_eq!(answer.status, 504);
    assert!(started_at.elapsed() < wire::ROUTE_TIMEOUT + Duration::from_millis(300));
}

#[tokio::test]
async fn unknown_keys_and_routes_are_refused_by_a_confirmed_version_only() {
    let target = ScriptedTarget::start(vec![]).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;
    assert_eq!(entry.call_path("/other/", "k1").await.status, 404);
    assert_eq!(entry.call_path("/r/", "wrong").await.status, 401);
    entry.outdate();
    assert_eq!(entry.call_path("/r/", "wrong").await.status, 503);
}

#[tokio::test]
async fn entry_without_a_configuration_refuses_with_a_time() {
    let entry = Entry::without_configuration().await;
    let answer = entry.call("r1").await;
    assert_eq!(answer.status, 503);
    assert!(
        answer.head.contains("retry-after: 0.500"),
        "{}",
        answer.head
    );
}
