//! Targets and callers that send bytes without end, over real TCP connections.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use tokio::io::AsyncWriteExt;

use crate::wire::{Entry, ROUTE_TIMEOUT, Reply, ScriptedTarget, read_answer, route};

/// The stated memory of an entry.
const ENTRY_MEMORY: usize = 182_000_000;

/// The most that the operating system holds of one connection, in both its buffers.
const SOCKET_BYTES: usize = 36 << 20;

/// The largest answer, as the entry states it.
const MAX_ANSWER: usize = 8 << 20;

const CHUNKED: &str = "x-seal: s1\r\ntransfer-encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn body_of(status: &str, n_pieces: usize) -> Reply {
    let start = format!("HTTP/1.1 {status}\r\n{CHUNKED}");
    Reply::Flood(start, chunk(&"x".repeat(1 << 16)), n_pieces)
}

fn endless_body(status: &str) -> Reply {
    body_of(status, usize::MAX)
}

fn endless_head() -> Reply {
    let start = "HTTP/1.1 200 OK\r\nx-seal: s1\r\n".to_owned();
    Reply::Flood(start, format!("x-a: {}\r\n", "x".repeat(1_000)), usize::MAX)
}

fn endless_interim() -> Reply {
    let piece = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(100);
    Reply::Flood(String::new(), piece, usize::MAX)
}

fn endless_event() -> Reply {
    let start = format!("HTTP/1.1 200 OK\r\n{CHUNKED}");
    let piece = chunk(&format!("data: {}\n", "x".repeat(1 << 16)));
    Reply::Flood(start, piece, usize::MAX)
}

fn long_route(kind: CallKind) -> RouteSpec {
    RouteSpec {
        timeout: Duration::from_secs(3),
        ..route(kind)
    }
}

async fn target(reply: Reply) -> ScriptedTarget {
    ScriptedTarget::start(vec![reply]).await
}

/// Calls a target that floods, and checks the status and how much the target could write.
async fn assert_cut(kind: CallKind, reply: Reply, limit: usize) {
    let flooding = target(reply).await;
    let entry = Entry::with_route(long_route(kind), 1_000.0, &[&flooding]).await;
    let answer = entry.call("r1").await;
    assert_eq!(answer.status, 502, "{kind:?}: {}", flooding.written());
    let written = flooding.written();
    assert!(written <= limit + SOCKET_BYTES, "{written}");
}

// Guards against an entry that takes an answer without end until its memory is used up.
#[tokio::test]
async fn endless_body_is_cut_and_answered_502() {
    assert_cut(CallKind::Unsafe, endless_body("200 OK"), MAX_ANSWER).await;
}

// Guards against a stream whose target states its failure in a body without end.
#[tokio::test]
async fn endless_failure_of_a_stream_is_cut_and_answered_502() {
    assert_cut(CallKind::SingleStream, endless_body("500 No"), MAX_ANSWER).await;
}

// Guards against a head without end.
#[tokio::test]
async fn endless_head_is_cut_and_answered_502() {
    assert_cut(CallKind::Unsafe, endless_head(), 1 << 17).await;
}

// Guards against interim responses without end, each of which is short.
#[tokio::test]
async fn endless_interim_responses_are_cut_and_answered_502() {
    assert_cut(CallKind::Unsafe, endless_interim(), 1 << 17).await;
}

// Guards against an event without end.
#[tokio::test]
async fn endless_event_is_cut_and_answered_502() {
    assert_cut(CallKind::SingleStream, endless_event(), 1 << 20).await;
}

// Guards against input without end beside the body: in the size of a chunk, behind it, and in trailers.
#[tokio::test]
async fn endless_framing_of_a_body_is_cut_and_answered_502() {
    let framing = [
        ("", "0".repeat(1_000)),
        ("5;", "a=b;".repeat(250)),
        ("5\r\nhello\r\n0\r\n", "x-a: b\r\n".repeat(100)),
    ];
    for (start, piece) in framing {
        let start = format!("HTTP/1.1 200 OK\r\n{CHUNKED}{start}");
        let flood = Reply::Flood(start, piece, usize::MAX);
        assert_cut(CallKind::Unsafe, flood, MAX_ANSWER).await;
    }
}

// Guards against bytes without end behind a whole answer, which are kept for a request to come.
#[tokio::test]
async fn endless_text_behind_an_answer_is_not_read_on() {
    let start = "HTTP/1.1 200 OK\r\nx-seal: s1\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";
    let flooding = target(Reply::Flood(
        start.to_owned(),
        "x".repeat(1_000),
        usize::MAX,
    ))
    .await;
    let entry = Entry::with_route(long_route(CallKind::Unsafe), 1_000.0, &[&flooding]).await;
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let written = flooding.written();
    assert!(written <= (1 << 17) + SOCKET_BYTES, "{written}");
}

// Guards against a repeatable call that gets no answer because its first target sends too much.
#[tokio::test]
async fn safe_call_is_answered_by_another_target_than_the_endless_one() {
    let flooding = target(endless_body("200 OK")).await;
    let sound = target(Reply::whole("200 OK", "hello")).await;
    let route = long_route(CallKind::Safe);
    let entry = Entry::with_route(route, 1_000.0, &[&flooding, &sound]).await;
    entry.disfavour(1);
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
    assert_eq!(flooding.requests().len(), 1);
}

// Guards against a limit that cuts an answer of several megabytes.
#[tokio::test]
async fn answer_of_several_megabytes_is_delivered() {
    let body = "x".repeat(5 << 20);
    let sound = target(Reply::whole("200 OK", &body)).await;
    let entry = Entry::with_route(long_route(CallKind::Safe), 0.0, &[&sound]).await;
    let answer = entry.call("r1").await;
    assert_eq!((answer.status, answer.body.len()), (200, body.len()));
}

/// The number of calls and of callers whose bodies together exceed the memory of an entry.
const N_LARGE: usize = 48;

// Guards against answers that together use up the memory, each of which is below its limit.
#[tokio::test]
async fn many_large_answers_leave_memory_and_ordinary_calls_are_served() {
    let large = vec![body_of("200 OK", 96); N_LARGE];
    let flooding = ScriptedTarget::start(large).await;
    let entry = Entry::with_route(long_route(CallKind::Unsafe), 0.0, &[&flooding]).await;
    let entry = Arc::new(entry);
    let calls: Vec<_> = (0..N_LARGE)
        .map(|n_call| {
            let entry = entry.clone();
            tokio::spawn(async move { entry.call(&format!("r{n_call}")).await.status })
        })
        .collect();
    let mut most_held = 0;
    for _ in 0..150 {
        most_held = most_held.max(flooding.held());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    flooding.then(Reply::whole("200 OK", &"y".repeat(100_000)));
    let ordinary = entry.call("ordinary").await;
    assert_eq!((ordinary.status, ordinary.body.len()), (200, 100_000));
    assert!(most_held <= ENTRY_MEMORY / 2, "{most_held}");
    for call in calls {
        assert!(matches!(call.await.unwrap(), 502 | 504));
    }
}
/// The number of streams whose incomplete events together exceed the memory of an entry.
const N_STREAMS: usize = 240;

// Guards against events that together use up the memory, each of which is below its limit.
#[tokio::test]
async fn many_large_events_leave_memory_and_an_ordinary_stream_is_served() {
    let start = format!(
        "HTTP/1.1 200 OK\r\n{CHUNKED}{}",
        chunk("id: 1\ndata: a\n\n")
    );
    let part = chunk(&format!("data: {}\n", "x".repeat(1 << 16)));
    let script = vec![Reply::Flood(start, part, 14); N_STREAMS];
    let flooding = ScriptedTarget::start(script).await;
    let route = long_route(CallKind::SingleStream);
    let entry = Arc::new(Entry::with_route(route, 0.0, &[&flooding]).await);
    let calls: Vec<_> = (0..N_STREAMS)
        .map(|n_call| {
            let entry = entry.clone();
            tokio::spawn(async move { entry.call(&format!("r{n_call}")).await })
        })
        .collect();
    let mut most_held = 0;
    for _ in 0..150 {
        most_held = most_held.max(flooding.held());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let events = format!("id: 1\ndata: {}\n\n", "y".repeat(10_000));
    flooding.then(Reply::stream(&events));
    let ordinary = entry.call("ordinary").await;
    assert!(ordinary.is_complete);
    assert_eq!(ordinary.body, events);
    assert!(most_held <= ENTRY_MEMORY / 2, "{most_held}");
    for call in calls {
        assert!(!call.await.unwrap().is_complete);
    }
}

fn request_with_body(id: &str, length: usize) -> String {
    format!(
        "POST /r/x HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\n\
         authorization: Token k1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

// Guards against callers whose bodies together use up the memory, each of which is allowed.
#[tokio::test]
async fn many_large_requests_are_refused_with_a_retry_time_and_others_are_served() {
    let script = vec![Reply::whole("200 OK", "hello"); N_LARGE + 1];
    let sound = ScriptedTarget::start(script).await;
    let entry = Entry::with_route(long_route(CallKind::Unsafe), 0.0, &[&sound]).await;
    let body = vec![b'x'; 4 << 20];
    let mut open = Vec::new();
    for n_caller in 0..N_LARGE {
        let mut caller = entry.open().await;
        let head = request_with_body(&format!("r{n_caller}"), body.len());
        caller.write_all(head.as_bytes()).await.unwrap();
        // All but the last byte, so that the entry waits for the rest.
        caller.write_all(&body[1..]).await.unwrap();
        open.push(caller);
    }
    let mut small = request_with_body("small", 5).into_bytes();
    small.extend_from_slice(b"small");
    let served = entry.send(&small).await;
    assert_eq!((served.status, served.body.as_str()), (200, "hello"));

    for caller in &mut open {
        caller.write_all(&body[..1]).await.unwrap();
    }
    let mut n_served = 0;
    for caller in open {
        let answer = read_answer(caller).await;
        match answer.status {
            200 => n_served += 1,
            status => {
                assert_eq!(status, 503, "{}", answer.head);
                assert!(answer.head.contains("retry-after"), "{}", answer.head);
            }
        }
    }
    // Those served were held whole at the same time.
    assert!(n_served * body.len() <= ENTRY_MEMORY / 2, "{n_served}");
    assert_eq!(sound.requests().len(), n_served + 1);
}

// Guards against callers that stop in the middle of a body and hold what others need.
#[tokio::test]
async fn stalled_body_is_given_up_once_its_route_would_have_timed_out() {
    let sound = target(Reply::whole("200 OK", "hello")).await;
    let entry = Entry::start(CallKind::Unsafe, &[&sound]).await;
    let mut caller = entry.open().await;
    let head = request_with_body("stalled", 2 << 20);
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![b'x'; 1 << 20]).await.unwrap();
    let answer = tokio::time::timeout(ROUTE_TIMEOUT * 4, read_answer(caller)).await;
    let answer = answer.expect("the_entry_answers");
    assert_eq!(answer.status, 408, "{}", answer.head);
    assert_eq!(entry.buffered(), 0);
    assert!(sound.requests().is_empty());
}

// Guards against a stream that is held by a target that sends only comments.
#[tokio::test]
async fn stream_of_comments_without_end_is_served_by_another_target() {
    let start = format!("HTTP/1.1 200 OK\r\n{CHUNKED}");
    let comments = chunk(&": still here\n\n".repeat(64));
    let flooding = target(Reply::Flood(start, comments, 100_000)).await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let sound = target(Reply::stream(events)).await;
    let route = long_route(CallKind::ResumableStream);
    let entry = Entry::with_route(route, 1_000.0, &[&flooding, &sound]).await;
    entry.disfavour(1);
    let answer = entry.call("r1").await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, events);
}

// Guards against a body that is changed because comments of a stream are left out.
#[tokio::test]
async fn comments_of_a_stream_are_passed_on() {
    let events = ": first\n\nid: 1\ndata: a\n\n: more\n\nid: 2\ndata: b\n\n: last\n\n";
    let sound = target(Reply::stream(events)).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&sound]).await;
    assert_eq!(entry.call("r1").await.body, events);
}
