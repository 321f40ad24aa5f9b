//! Forwarding over real TCP connections, with an entry, callers, and scripted targets that send
//! faulty responses.

#[path = "forwarding/connections.rs"]
mod connections;
#[path = "forwarding/cut_answers.rs"]
mod cut_answers;
#[path = "forwarding/ended_target.rs"]
mod ended_target;
#[path = "forwarding/endless_target.rs"]
mod endless_target;
#[path = "forwarding/head_limits.rs"]
mod head_limits;
#[path = "forwarding/late_requests.rs"]
mod late_requests;
#[path = "forwarding/leaving_caller.rs"]
mod leaving_caller;
#[path = "forwarding/leaving_waits.rs"]
mod leaving_waits;
#[path = "forwarding/odd_status.rs"]
mod odd_status;
#[path = "forwarding/repeated_refusal.rs"]
mod repeated_refusal;
#[path = "forwarding/resumed_stream.rs"]
mod resumed_stream;
#[path = "forwarding/silent_target.rs"]
mod silent_target;
mod wire;

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use wire::{Entry, Reply, ScriptedTarget};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

#[tokio::test]
async fn response_keeps_its_signature_and_the_target_does_not_get_the_key() {
    // Arrange
    let target = ScriptedTarget::start(vec![Reply::whole("200 OK", "hello")]).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;

    // Act
    let response = entry.call("r1").await;

    // Assert
    assert_eq!(response.status, 200);
    assert_eq!(response.body, "hello");
    assert!(response.head.contains("x-seal: s1"), "{}", response.head);
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
async fn unsafe_call_is_not_sent_again_after_a_lost_response() {
    let targets = [
        ScriptedTarget::start(vec![Reply::Close]).await,
        ScriptedTarget::start(vec![Reply::Close]).await,
    ];
    let entry = Entry::start(CallKind::Unsafe, &[&targets[0], &targets[1]]).await;
    let response = entry.call("r1").await;
    assert_eq!(response.status, 502);
    assert_eq!(targets[0].requests().len() + targets[1].requests().len(), 1);
}

#[tokio::test]
async fn unsafe_call_that_its_target_did_not_run_is_refused_with_a_retry_time() {
    let not_run = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let full = ScriptedTarget::start(vec![Reply::raw(not_run)]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&full]).await;
    let response = entry.call("r1").await;
    assert_eq!(response.status, 503);
    assert!(response.head.contains("retry-after: "), "{}", response.head);
    assert!(!response.head.contains("x-seal"), "{}", response.head);
}

#[tokio::test]
async fn status_503_without_the_not_run_header_is_not_relayed() {
    let target = ScriptedTarget::start(vec![Reply::whole("503 Busy", "")]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    assert_eq!(entry.call("r1").await.status, 502);
}

#[tokio::test]
async fn response_to_another_request_is_not_relayed() {
    let foreign = "HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 3\r\n\r\nbad";
    let target = ScriptedTarget::start(vec![Reply::raw(foreign)]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let response = entry.call("r1").await;
    assert_eq!(response.status, 502);
    assert!(!response.body.contains("bad"));
}

#[tokio::test]
async fn unsigned_and_encoded_responses_are_rejected() {
    for extra in ["", "x-seal: s\r\ncontent-encoding: gzip\r\n"] {
        let raw = format!("HTTP/1.1 200 OK\r\nx-id: r1\r\n{extra}content-length: 3\r\n\r\nbad");
        let target = ScriptedTarget::start(vec![Reply::raw(&raw)]).await;
        let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
        assert_eq!(entry.call("r1").await.status, 502, "{extra:?}");
    }
}

#[tokio::test]
async fn truncated_response_of_a_safe_call_is_fetched_from_another_target() {
    let cut = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 9\r\n\r\ncut";
    let targets = [
        ScriptedTarget::start(vec![Reply::raw(cut), Reply::whole("200 OK", "second")]).await,
        ScriptedTarget::start(vec![Reply::raw(cut), Reply::whole("200 OK", "second")]).await,
    ];
    let entry = Entry::start(CallKind::Safe, &[&targets[0], &targets[1]]).await;

    // Act: each target truncates its first response only, so the second call gets a complete one.
    let first = entry.call("r1").await;
    let second = entry.call("r1").await;

    // Assert
    assert_eq!(first.status, 502);
    assert_eq!((second.status, second.body.as_str()), (200, "second"));
}

#[tokio::test]
async fn response_without_a_length_is_complete_after_a_close_and_not_after_a_reset() {
    let head = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\nconnection: close\r\n\r\nbody";
    let ended = ScriptedTarget::start(vec![Reply::raw(head)]).await;
    let reset = ScriptedTarget::start(vec![Reply::Reset(head.to_owned())]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&ended]).await;
    let response = entry.call("r1").await;
    assert_eq!((response.status, response.body.as_str()), (200, "body"));
    let entry = Entry::start(CallKind::Unsafe, &[&reset]).await;
    assert_eq!(entry.call("r1").await.status, 502);
}

#[tokio::test]
async fn bytes_after_a_response_are_discarded() {
    // Arrange: the target sends an unrequested second response after the first one.
    let response = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 3\r\n\r\none";
    let doubled = format!("{response}{}", response.replace("one", "two"));
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
async fn stream_resumes_at_another_target_after_the_last_complete_event() {
    // Arrange: each target cuts its first response in the middle of an event.
    let targets = [
        ScriptedTarget::start(vec![Reply::cut_stream("id: 1\ndata: a\n\nid: 2\nda")]).await,
        ScriptedTarget::start(vec![Reply::cut_stream("id: 1\ndata: a\n\nid: 2\nda")]).await,
    ];
    for target in &targets {
        target.then(Reply::stream("id: 2\ndata: b\n\n"));
    }
    let entry = Entry::start(CallKind::ResumableStream, &[&targets[0], &targets[1]]).await;

    // Act: the second target may cut the stream as well; a target completes it only after its cut.
    let response = entry.call("r1").await;

    // Assert: events are complete, in order and not repeated, and a cut stream is not complete.
    let events: Vec<&str> = response
        .body
        .split("\n\n")
        .filter(|event| !event.is_empty())
        .collect();
    assert_eq!(response.status, 200);
    assert_eq!(events.first(), Some(&"id: 1\ndata: a"));
    assert!(events.len() == 2 || !response.is_complete, "{events:?}");
    let resumed = targets
        .iter()
        .flat_map(|target| target.requests())
        .any(|request| request.to_lowercase().contains("last-event-id: 1"));
    assert!(resumed);
}

// Guards against events that are sent twice because no id says where the next target goes on.
#[tokio::test]
async fn stream_without_event_ids_is_not_resumed() {
    let cut = || Reply::cut_stream("data: a\n\ndata: b\n\nda");
    let targets = [
        ScriptedTarget::start(vec![cut()]).await,
        ScriptedTarget::start(vec![cut()]).await,
    ];
    let entry = Entry::start(CallKind::ResumableStream, &[&targets[0], &targets[1]]).await;
    let response = entry.call("r1").await;
    assert_eq!(response.body, "data: a\n\ndata: b\n\n");
    assert!(!response.is_complete);
}

#[tokio::test]
async fn single_stream_is_cut_and_not_sent_again() {
    let targets = [
        ScriptedTarget::start(vec![Reply::cut_stream("id: 1\ndata: a\n\nid: 2\nda")]).await,
        ScriptedTarget::start(vec![Reply::stream(EVENTS)]).await,
    ];
    let entry = Entry::start(CallKind::SingleStream, &[&targets[0]]).await;
    let response = entry.call("r1").await;
    assert!(!response.is_complete);
    assert_eq!(targets[0].requests().len(), 1);
    assert_eq!(targets[1].requests().len(), 0);
}

#[tokio::test]
async fn failure_that_the_last_target_states_for_a_stream_is_passed_on() {
    // Arrange
    let failure = || Reply::whole("500 Internal Server Error", "out of order");
    let targets = [
        ScriptedTarget::start(vec![failure()]).await,
        ScriptedTarget::start(vec![failure()]).await,
    ];
    let entry = Entry::start(CallKind::ResumableStream, &[&targets[0], &targets[1]]).await;

    // Act
    let response = entry.call("r1").await;

    // Assert
    assert_eq!(response.status, 500);
    assert_eq!(response.body, "out of order");
    assert!(response.head.contains("x-seal: s1"), "{}", response.head);
    let n_requests = targets.iter().map(|target| target.requests().len());
    assert_eq!(n_requests.sum::<usize>(), 2);
}

#[tokio::test]
async fn stream_that_a_target_fails_is_served_by_another() {
    let failing = ScriptedTarget::start(vec![Reply::whole("500 Oops", "no")]).await;
    let sound = ScriptedTarget::start(vec![Reply::stream(EVENTS), Reply::stream(EVENTS)]).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&failing, &sound]).await;
    for id in ["r1", "r2"] {
        assert_eq!(entry.call(id).await.body, EVENTS);
    }
}

#[tokio::test]
async fn uncut_stream_arrives_complete() {
    let target = ScriptedTarget::start(vec![Reply::stream(EVENTS)]).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&target]).await;
    let response = entry.call("r1").await;
    assert_eq!(response.body, EVENTS);
    assert!(response.is_complete);
}

#[tokio::test]
async fn abandoned_request_is_reset_at_its_target() {
    // Arrange
    let target = ScriptedTarget::start(vec![Reply::Silence]).await;
    let entry = Entry::start(CallKind::Safe, &[&target]).await;

    // Act
    entry.call_and_leave("r1", Duration::from_millis(100)).await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    // Assert: a reset and not an orderly close, so that no delayed byte is delivered later.
    assert_eq!(target.last_end(), Some(std::io::ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn route_timeout_ends_a_call_at_once() {
    let target = ScriptedTarget::start(vec![Reply::Silence]).await;
    let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
    let started_at = Instant::now();
    let response = entry.call("r1").await;
    assert_eq!(response.status, 504);
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
async fn entry_without_a_configuration_refuses_with_a_retry_time() {
    let entry = Entry::without_configuration().await;
    let response = entry.call("r1").await;
    assert_eq!(response.status, 503);
    assert!(
        response.head.contains("retry-after: 0.500"),
        "{}",
        response.head
    );
}
