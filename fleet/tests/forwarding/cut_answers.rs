//! Targets that stop at any byte of their answer, by a close or a reset.

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use futures::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::wire::{Answer, Entry, Reply, ScriptedTarget, route};

/// The number of cuts that are tried at the same time.
const N_AT_ONCE: usize = 32;

/// How a target ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Close,
    Reset,
}

/// A target that answers so many requests whole, and the next one up to a byte.
#[derive(Clone, Copy)]
struct CutAnswer {
    whole: &'static str,
    n_whole: usize,
    cut: usize,
    ending: Ending,
}

const LENGTH: &str = "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: ID\r\ncontent-length: 5\r\n\r\nhello";

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n\
    HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: ID\r\ncontent-length: 5\r\n\r\nhello";

const TRAILERS: &str = "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\
    trailer: x-sum\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nx-sum: 1\r\n\r\n";

const EVENTS: &str = "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: ID\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n\
    13\r\nid: 2\ndata: second\n\r\n1\r\n\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\nx-sum: 1\r\n\r\n";

async fn start_target(answer: CutAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, answer));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, answer: CutAnswer) -> std::io::Result<()> {
    for n_request in 0.. {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let id = head.split_once("x-id: ").map_or("", |(_, rest)| rest);
        let id = id.lines().next().unwrap_or_default();
        // All ids have two letters, so that a cut keeps its place.
        let text = answer.whole.replace("ID", id);
        if n_request < answer.n_whole {
            stream.write_all(text.as_bytes()).await?;
            continue;
        }
        stream.write_all(&text.as_bytes()[..answer.cut]).await?;
        if answer.ending == Ending::Reset {
            // What was written must arrive first.
            tokio::time::sleep(Duration::from_millis(20)).await;
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        return Ok(());
    }
    Ok(())
}

/// Tries each cut of an answer, also the one behind its last byte, with both endings.
async fn check_cuts<Check, Checked>(whole: &'static str, n_whole: usize, check: Check)
where
    Check: Fn(CutAnswer) -> Checked,
    Checked: Future<Output = Answer>,
{
    let cuts = (0..=whole.len()).flat_map(|cut| {
        [Ending::Close, Ending::Reset].map(|ending| CutAnswer {
            whole,
            n_whole,
            cut,
            ending,
        })
    });
    let checks = cuts.map(|answer| {
        let checking = check(answer);
        async move { (answer, checking.await) }
    });
    let mut checked = futures::stream::iter(checks).buffer_unordered(N_AT_ONCE);
    let mut n_served = 0;
    while let Some((answer, received)) = checked.next().await {
        let is_served = received.status == 200 && received.is_complete;
        let is_whole = answer.cut == whole.len();
        assert!(
            !is_served || is_whole,
            "{:?} at byte {}: {:?} {:?}",
            answer.ending,
            answer.cut,
            received.head,
            received.body
        );
        n_served += usize::from(is_served);
    }
    assert_eq!(n_served, 2, "the whole answers are served");
}

async fn call(kind: CallKind, answer: CutAnswer) -> Answer {
    let address = start_target(answer).await;
    let entry = Entry::with_addresses(route(kind), &[address]).await;
    for _ in 0..answer.n_whole {
        assert_eq!(entry.call("r0").await.status, 200);
    }
    entry.call("r1").await
}

// Guards against an answer that stops within its head or body and is passed on as whole (MIXED).
#[tokio::test]
async fn cut_answer_is_not_passed_on_as_whole() {
    for whole in [LENGTH, INTERIM, TRAILERS] {
        check_cuts(whole, 0, |answer| call(CallKind::Unsafe, answer)).await;
    }
}

// The same on a connection on which an answer came before.
#[tokio::test]
async fn cut_answer_behind_an_earlier_one_is_not_passed_on_as_whole() {
    for whole in [LENGTH, INTERIM, TRAILERS] {
        check_cuts(whole, 1, |answer| call(CallKind::Unsafe, answer)).await;
    }
}

// The same for a stream (ORDER).
#[tokio::test]
async fn cut_stream_is_not_passed_on_as_whole() {
    check_cuts(EVENTS, 0, |answer| call(CallKind::SingleStream, answer)).await;
}

// The same where another target goes on with a stream.
#[tokio::test]
async fn cut_rest_of_a_resumed_stream_is_not_passed_on_as_whole() {
    check_cuts(EVENTS, 0, |answer| async move {
        let first = ScriptedTarget::start(vec![Reply::cut_stream("id: 1\ndata: a\n\n")]).await;
        let second = start_target(answer).await;
        let addresses = [first.address, second];
        let entry = Entry::with_addresses(route(CallKind::ResumableStream), &addresses).await;
        entry.disfavour(1);
        entry.call("r1").await
    })
    .await;
}
