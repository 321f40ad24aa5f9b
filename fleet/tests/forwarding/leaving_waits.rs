//! Callers that leave while their request waits until it may be sent.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::leaving_caller::{END_TIME, WAYS, Way, leave};
use crate::wire::{Entry, Reply, ScriptedTarget, kept_request, route, stream_route};

/// What the caller of a waiting request does.
#[derive(Clone, Copy, Debug)]
enum Act {
    Stay,
    Leave(Way),
}

fn acts() -> impl Iterator<Item = Act> {
    [Act::Stay]
        .into_iter()
        .chain(WAYS.into_iter().map(Act::Leave))
}

/// Sends a request with a line break behind it, and leaves or stays; returns what is still open.
async fn wait_and_act(entry: &Entry, act: Act) -> Option<TcpStream> {
    let mut stream = entry.open().await;
    let request = kept_request("r1") + "\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stream = match act {
        Act::Stay => Some(stream),
        Act::Leave(way) => leave(stream, way),
    };
    tokio::time::sleep(Duration::from_millis(100)).await;
    stream
}

fn n_expected(act: Act) -> usize {
    match act {
        Act::Stay => 1,
        Act::Leave(_) => 0,
    }
}

// Guards against a request that waits for room at a limit and is sent after its caller has left (GONE).
#[tokio::test]
async fn request_that_waits_for_room_is_not_sent_once_its_caller_has_left() {
    for act in acts() {
        // Arrange
        let targets = [
            ScriptedTarget::start(vec![Reply::Close]).await,
            ScriptedTarget::start(vec![Reply::Silence]).await,
        ];
        let route = RouteSpec {
            timeout: Duration::from_secs(6),
            ..route(CallKind::Safe)
        };
        let entry = Entry::with_route(route, 1_000.0, &[&targets[0], &targets[1]]).await;
        entry.disfavour(1);
        entry.limit(1, 2.0);

        // Act
        let _stream = wait_and_act(&entry, act).await;
        let n_sent = targets.each_ref().map(|target| target.requests().len());
        tokio::time::sleep(END_TIME).await;

        // Assert
        assert_eq!(n_sent, [1, 0], "does not wait: {act:?}");
        assert_eq!(targets[1].requests().len(), n_expected(act), "{act:?}");
    }
}

// Guards against a stream that waits for a group to form and is sent after its caller has left (GONE).
#[tokio::test]
async fn stream_that_waits_for_a_group_is_not_sent_once_its_caller_has_left() {
    for act in acts() {
        // Arrange
        let targets = [
            ScriptedTarget::start(vec![Reply::Silence]).await,
            ScriptedTarget::start(vec![Reply::Silence]).await,
        ];
        let entry = Entry::with_route(stream_route(), 0.0, &[&targets[0], &targets[1]]).await;
        entry.form_group(stream_route());
        entry.begin_forming().await;
        let n_sent = || -> usize { targets.iter().map(|target| target.requests().len()).sum() };

        // Act
        let _stream = wait_and_act(&entry, act).await;
        let n_before = n_sent();
        entry.end_forming();
        tokio::time::sleep(END_TIME).await;

        // Assert
        assert_eq!(n_before, 0, "does not wait: {act:?}");
        assert_eq!(n_sent(), n_expected(act), "{act:?}");
    }
}
