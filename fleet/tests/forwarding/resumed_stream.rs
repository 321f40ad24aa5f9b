//! Streams that break off and go on at a target that answers with something else.

use comfreyhead_fleet::prelude::*;

use crate::wire::{Answer, Entry, Reply, ScriptedTarget, route};

/// What both targets send of the stream at first.
const STARTS: [&str; 4] = [
    "id: 1\ndata: a\n\n",
    "id: 1\ndata: a\n\nid: 2\nda",
    "id: 1\r\ndata: a\r\n\r\n",
    "id: 1\r\ndata: a\r\n\r\nid: 2\r",
];

/// Answers that do not continue a stream after its first event.
fn wrong_answers() -> Vec<Reply> {
    let error_head = "HTTP/1.1 503 Full\r\ncontent-length: 3\r\n\r\n";
    vec![
        Reply::whole("500 Oops", "STRAY\n\n"),
        Reply::whole("404 Gone", "data: STRAY\n\n"),
        Reply::whole("504 Late", "STRAY"),
        Reply::whole("204 Empty", ""),
        Reply::raw("HTTP/1.1 302 Found\r\nlocation: /STRAY\r\ncontent-length: 0\r\n\r\n"),
        Reply::raw("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 5\r\n\r\nSTRAY"),
        Reply::raw("HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\ndata: STRAY\n\n"),
        Reply::raw("HTTP/1.1 200 OK\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nSTRAY"),
        Reply::raw("STRAY\r\n\r\n"),
        signed("text/plain", "STRAY\n\n"),
        signed("application/json", "{\"error\":\"STRAY\"}\n\n"),
        signed("application/json", ""),
        signed("text/event-stream", "STRAY\n\n"),
        signed("text/event-stream", "data: STRAY\n\n"),
        signed("text/event-stream", "event: error\ndata: STRAY\n\n"),
        signed("text/event-stream", "id: STRAY\ndata: b\n\n"),
        signed("text/event-stream", "id: 1\ndata: STRAY\n\n"),
        signed("text/event-stream", "id: 3\ndata: STRAY\n\n"),
        Reply::stream(&format!("{error_head}STRAY\n\n")),
        Reply::stream(&format!("{error_head}data: STRAY\n\n")),
        Reply::cut_stream(&format!("{error_head}STRAY")),
    ]
}

/// A signed success with a body of a kind.
fn signed(kind: &str, body: &str) -> Reply {
    let length = body.len();
    Reply::raw(&format!(
        "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-type: {kind}\r\n\
         content-length: {length}\r\n\r\n{body}"
    ))
}

/// Plays a stream that breaks off at the first target after a start, and which the second one answers.
async fn play(start: &str, answer: &Reply) -> Answer {
    let first = ScriptedTarget::start(vec![Reply::cut_stream(start)]).await;
    let second = ScriptedTarget::start(vec![answer.clone()]).await;
    let entry = Entry::start(CallKind::ResumableStream, &[&first, &second]).await;
    for _ in 0..5 {
        entry.disfavour(1);
    }
    let answer = entry.call("r1").await;
    assert_eq!(second.requests().len(), 1);
    answer
}

// Guards against a stream with the text of an error in it, or one that looks complete, after it broke
// off and the next target answered with something else.
#[tokio::test]
async fn answer_that_does_not_continue_a_stream_leaves_it_incomplete() {
    for start in STARTS {
        for wrong in wrong_answers() {
            let answer = play(start, &wrong).await;
            let is_own = answer.body.starts_with("id: 1");

            assert!(
                is_own && answer.status == 200,
                "{start:?} {wrong:?}: {}",
                answer.head
            );
            assert!(
                !answer.body.contains("STRAY"),
                "{start:?} {wrong:?}: {}",
                answer.body
            );
            assert!(
                !answer.body.contains("503"),
                "{start:?} {wrong:?}: {}",
                answer.body
            );
            assert!(!answer.is_complete, "{start:?} {wrong:?}: {}", answer.body);
        }
    }
}

// Guards against sound answers that are taken for wrong ones.
#[tokio::test]
async fn answer_that_continues_a_stream_completes_it() {
    let next = "id: 2\ndata: b\n\n";
    for (answer, rest) in [
        (Reply::stream(next), next.to_owned()),
        (
            Reply::stream(&format!(": wait\n\n: wait\r\n\r\n{next}data: [DONE]\n\n")),
            format!(": wait\n\n: wait\r\n\r\n{next}data: [DONE]\n\n"),
        ),
        (
            signed("text/event-stream; charset=utf-8", next),
            next.to_owned(),
        ),
        (signed("text/event-stream", ""), String::new()),
    ] {
        for start in ["id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda"] {
            let got = play(start, &answer).await;

            assert!(got.is_complete, "{answer:?}");
            assert_eq!(got.body, format!("id: 1\ndata: a\n\n{rest}"), "{answer:?}");
        }
    }
}

// Guards against the text of an error in a stream that breaks off a second time.
#[tokio::test]
async fn stream_that_breaks_off_twice_holds_its_events_alone() {
    let first = Reply::cut_stream("id: 1\ndata: a\n\nid: 2\nda");
    for second in [
        "id: 2\ndata: b\n\n",
        "id: 2\ndata: b\n\nHTTP/1.1 500 STRAY\r\n",
    ] {
        let targets = [
            ScriptedTarget::start(vec![first.clone()]).await,
            ScriptedTarget::start(vec![Reply::cut_stream(second)]).await,
            ScriptedTarget::start(vec![Reply::whole("500 Oops", "STRAY\n\n")]).await,
        ];
        let [a, b, c] = &targets;
        let entry = Entry::with_route(three_attempts(), 1_000.0, &[a, b, c]).await;
        for (n_target, n_times) in [(1, 3), (2, 9)] {
            for _ in 0..n_times {
                entry.disfavour(n_target);
            }
        }

        let answer = entry.call("r1").await;

        assert!(
            !answer.body.contains("STRAY") && !answer.is_complete,
            "{}",
            answer.body
        );
        assert!(
            answer.body.starts_with("id: 1\ndata: a\n\n"),
            "{}",
            answer.body
        );
    }
}

fn three_attempts() -> RouteSpec {
    RouteSpec {
        attempts: 3,
        ..route(CallKind::ResumableStream)
    }
}
