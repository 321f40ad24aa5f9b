//! Callers that leave in every way, in each state of their request, over real TCP connections.

use std::net::Shutdown;
use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::wire::{
    Entry, N_EVENTS, Reply, ScriptedTarget, event, kept_request, route, stream_route,
};

/// The time within which the run of a caller that has left ends.
pub const END_TIME: Duration = Duration::from_millis(500);

/// What a caller sends behind its request before it leaves.
const SENT_BEHIND: [Behind; 4] = [
    Behind::Nothing,
    Behind::LineBreak,
    Behind::NextRequest,
    Behind::LongBody,
];

/// How a caller leaves.
pub const WAYS: [Way; 3] = [Way::Close, Way::Reset, Way::EndInput];

#[derive(Clone, Copy, Debug)]
enum Behind {
    Nothing,
    LineBreak,
    NextRequest,
    LongBody,
}

#[derive(Clone, Copy, Debug)]
pub enum Way {
    Close,
    Reset,
    EndInput,
}

impl Behind {
    fn bytes(self) -> Vec<u8> {
        match self {
            Self::Nothing => Vec::new(),
            Self::LineBreak => b"\r\n".to_vec(),
            Self::NextRequest => kept_request("next").into_bytes(),
            Self::LongBody => {
                let head = kept_request("next").replace("GET", "POST");
                let head = head.trim_end().to_owned() + "\r\ncontent-length: 60000\r\n\r\n";
                [head.into_bytes(), vec![b'x'; 60_000]].concat()
            }
        }
    }
}

/// Leaves; returns what keeps the caller's own side open.
pub fn leave(stream: TcpStream, way: Way) -> Option<TcpStream> {
    match way {
        Way::Close => None,
        Way::Reset => {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            None
        }
        Way::EndInput => {
            SockRef::from(&stream).shutdown(Shutdown::Write).unwrap();
            Some(stream)
        }
    }
}

async fn silent_target() -> ScriptedTarget {
    ScriptedTarget::start(vec![Reply::Silence, Reply::Silence]).await
}

/// Sends a request and what follows it, waits for so many bytes of the response, and leaves.
async fn call_and_leave(
    entry: &Entry,
    behind: Behind,
    way: Way,
    n_read: usize,
) -> Option<TcpStream> {
    let mut stream = entry.open().await;
    let request = [kept_request("r1").into_bytes(), behind.bytes()].concat();
    stream.write_all(&request).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    stream.read_exact(&mut vec![0; n_read]).await.unwrap();
    leave(stream, way)
}

/// Waits until nothing runs at any target; fails if that takes longer than `END_TIME`.
async fn assert_ends(entry: &Entry, target: &ScriptedTarget, case: &str) {
    let since = Instant::now();
    while 0 < entry.n_busy_targets() || target.last_end().is_none() {
        assert!(since.elapsed() < END_TIME, "still at work: {case}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// Guards against targets that work on for a caller that has left while bytes of it lie unread (GONE).
#[tokio::test]
async fn run_ends_when_its_caller_leaves_before_a_response() {
    for kind in [CallKind::Safe, CallKind::Unsafe, CallKind::ResumableStream] {
        for behind in SENT_BEHIND {
            for way in WAYS {
                let target = silent_target().await;
                let route = RouteSpec {
                    timeout: Duration::from_secs(6),
                    ..route(kind)
                };
                let entry = Entry::with_route(route, 1_000.0, &[&target]).await;
                let _stream = call_and_leave(&entry, behind, way, 0).await;
                assert_ends(&entry, &target, &format!("{kind:?} {behind:?} {way:?}")).await;
            }
        }
    }
}

// Guards against targets that work on for a caller that has left a stream in which nothing is sent,
// while bytes of it lie unread (GONE).
#[tokio::test]
async fn run_ends_when_its_caller_leaves_a_silent_stream() {
    for behind in SENT_BEHIND {
        for way in WAYS {
            let first = event(1);
            let start = format!(
                "HTTP/1.1 200 OK\r\nx-seal: s1\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n",
                first.len()
            );
            let target = ScriptedTarget::start(vec![Reply::Flood(start, String::new(), 0)]).await;
            let entry = Entry::with_route(stream_route(), 1_000.0, &[&target]).await;
            let _stream = call_and_leave(&entry, behind, way, 20).await;
            assert_ends(&entry, &target, &format!("{behind:?} {way:?}")).await;
        }
    }
}

// Guards against a second run that begins after the caller of the first one has left (GONE).
#[tokio::test]
async fn nothing_is_sent_for_a_caller_that_has_left() {
    for behind in SENT_BEHIND {
        for way in WAYS {
            let targets = [silent_target().await, silent_target().await];
            let route = RouteSpec {
                timeout: Duration::from_secs(1),
                ..route(CallKind::Safe)
            };
            let entry = Entry::with_route(route, 1_000.0, &[&targets[0], &targets[1]]).await;
            let _stream = call_and_leave(&entry, behind, way, 0).await;
            // A second run of a silent call would begin after 350 ms.
            tokio::time::sleep(END_TIME).await;
            let n_sent: usize = targets.iter().map(|target| target.requests().len()).sum();
            assert_eq!(n_sent, 1, "{behind:?} {way:?}");
        }
    }
}

// Guards against an answer that is lost as its caller has sent more than the request and stays.
#[tokio::test]
async fn caller_that_sends_more_and_stays_is_answered() {
    for behind in SENT_BEHIND {
        let target = ScriptedTarget::start(vec![
            Reply::Late(
                Duration::from_millis(300),
                "HTTP/1.1 200 OK\r\nx-seal: s1\r\ncontent-length: 4\r\n\r\nlate".to_owned(),
            ),
            Reply::whole("200 OK", "next"),
        ])
        .await;
        let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
        let mut stream = entry.open().await;
        let request = [kept_request("r1").into_bytes(), behind.bytes()].concat();
        stream.write_all(&request).await.unwrap();
        let mut answer = vec![0; 4_096];
        let n_read = stream.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..n_read]).into_owned();
        assert!(answer.ends_with("late"), "{behind:?}: {answer}");
    }
}

// Guards against a stream that is cut as its caller has sent more than the request and stays.
#[tokio::test]
async fn stream_of_a_caller_that_sends_more_and_stays_is_whole() {
    for behind in [Behind::LineBreak, Behind::NextRequest] {
        let target =
            ScriptedTarget::start(vec![Reply::SilentOnce(Duration::from_millis(300))]).await;
        let entry = Entry::with_route(stream_route(), 1_000.0, &[&target]).await;
        let mut caller = entry.connect().await;
        caller.send(&kept_request("r1")).await;
        caller
            .send(&String::from_utf8(behind.bytes()).unwrap())
            .await;
        let answer = caller.response().await;
        assert!(answer.contains(&event(N_EVENTS)), "{behind:?}: {answer}");
    }
}

// Guards against streams sent to a group whose earlier streams were given up before their first event;
// at a rank that stands still their runs would go on (GONE).
#[tokio::test]
async fn stream_is_refused_at_once_while_others_wait_in_vain() {
    // Arrange
    let silent = || vec![Reply::Silence; 8];
    let targets = [
        ScriptedTarget::start(silent()).await,
        ScriptedTarget::start(silent()).await,
    ];
    let entry = Entry::with_route(stream_route(), 0.0, &[&targets[0], &targets[1]]).await;
    entry.form_group(stream_route());
    let give_up = |id| entry.call_and_leave(id, Duration::from_millis(1_200));
    tokio::join!(give_up("r1"), give_up("r2"), give_up("r3"));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let n_sent = || {
        targets
            .iter()
            .map(|target| target.requests().len())
            .sum::<usize>()
    };
    let n_before = n_sent();

    // Act
    let mut waiting = entry.connect().await;
    waiting.send(&kept_request("r4")).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let since = Instant::now();
    let refused = entry.call("r5").await;

    // Assert
    assert_eq!((n_before, n_sent()), (3, 4), "one may always wait");
    assert_eq!(refused.status, 503, "{}", refused.head);
    assert!(since.elapsed() < Duration::from_millis(200));
    assert!(refused.head.contains("retry-after: 1."), "{}", refused.head);
}

/// What a request waits for when its caller leaves.
#[derive(Clone, Copy, Debug)]
enum State {
    SecondRun,
    HeldFailure,
    UnreadAnswer,
    StoppingEntry,
}

/// Starts an entry and brings a request of a caller into a state; returns what the caller has open.
async fn request_in(state: State, targets: &[ScriptedTarget; 2]) -> (Entry, TcpStream) {
    let kind = match state {
        State::UnreadAnswer => CallKind::ResumableStream,
        _ => CallKind::Safe,
    };
    let route = RouteSpec {
        timeout: Duration::from_secs(2),
        ..route(kind)
    };
    let entry = Entry::with_route(route, 1_000.0, &[&targets[0], &targets[1]]).await;
    entry.disfavour(1);
    if matches!(state, State::StoppingEntry) {
        entry.stop_since(Duration::from_secs(1));
    }
    let mut stream = entry.open().await;
    SockRef::from(&stream).set_recv_buffer_size(4_096).unwrap();
    stream
        .write_all((kept_request("r1") + "\r\n").as_bytes())
        .await
        .unwrap();
    let pause = match state {
        State::SecondRun => 1_000,
        _ => 200,
    };
    tokio::time::sleep(Duration::from_millis(pause)).await;
    (entry, stream)
}

fn replies_in(state: State, n_target: usize) -> Vec<Reply> {
    match state {
        State::HeldFailure if n_target == 0 => {
            vec![Reply::whole("500 Internal Server Error", "no")]
        }
        State::SecondRun | State::HeldFailure | State::StoppingEntry => vec![Reply::Silence],
        State::UnreadAnswer => {
            let start = "HTTP/1.1 200 OK\r\nx-seal: s1\r\n\r\n";
            let piece = format!("data: {}\n\n", "x".repeat(8_000));
            vec![Reply::Flood(start.to_owned(), piece, 2_000)]
        }
    }
}

// Guards against targets that work on for a caller that has left while its request waits for something
// else than its target's first byte (GONE).
#[tokio::test]
async fn run_ends_in_whatever_state_its_caller_leaves() {
    let states = [
        State::SecondRun,
        State::HeldFailure,
        State::UnreadAnswer,
        State::StoppingEntry,
    ];
    for state in states {
        for way in WAYS {
            let targets = [
                ScriptedTarget::start(replies_in(state, 0)).await,
                ScriptedTarget::start(replies_in(state, 1)).await,
            ];
            let (entry, stream) = request_in(state, &targets).await;
            assert!(0 < entry.n_busy_targets(), "{state:?} {way:?}");
            let _stream = leave(stream, way);
            let since = Instant::now();
            while 0 < entry.n_busy_targets() {
                assert!(
                    since.elapsed() < END_TIME,
                    "still at work: {state:?} {way:?}"
                );
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let n_sent = || {
                targets
                    .iter()
                    .map(|target| target.requests().len())
                    .sum::<usize>()
            };
            let n_before = n_sent();
            tokio::time::sleep(END_TIME).await;
            assert_eq!(n_sent(), n_before, "sent later: {state:?} {way:?}");
        }
    }
}

// Guards against a request that is sent although its caller left before its body had arrived (GONE).
#[tokio::test]
async fn request_whose_caller_leaves_within_its_body_is_not_sent() {
    for way in WAYS {
        let target = silent_target().await;
        let entry = Entry::start(CallKind::Safe, &[&target]).await;
        let mut stream = entry.open().await;
        let head = kept_request("r1").replace("GET", "POST");
        let head = head.trim_end().to_owned() + "\r\ncontent-length: 600\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&[b'x'; 300]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let _stream = leave(stream, way);
        tokio::time::sleep(END_TIME).await;
        assert_eq!(target.requests().len(), 0, "{way:?}");
    }
}
