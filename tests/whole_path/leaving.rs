//! Tests that work ends for a caller that leaves, whatever it has sent behind its request.

use std::net::Shutdown;
use std::time::Instant;

use comfreyhead::prelude::*;
use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::{Fleet, FleetShape};
use crate::requests::{bearer, completion};

/// The time within which the work for a caller that has left ends.
const END_TIME: Duration = Duration::from_millis(500);

/// How a caller leaves.
#[derive(Clone, Copy, Debug)]
enum Way {
    Close,
    Reset,
    EndInput,
}

// Guards against engines that work on for a caller that has left while bytes of it lie unread (GONE).
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_when_its_caller_leaves() {
    // Arrange
    let fleet = one_engine().await;
    let next = request(3);
    for behind in ["", "\r\n", &next, &next[..next.len() / 2]] {
        for way in [Way::Close, Way::Reset, Way::EndInput] {
            let case = format!("{way:?}, {} bytes behind", behind.len());
            let mut stream = TcpStream::connect(fleet.callers()[0]).await.unwrap();
            let text = request(20_000) + behind;
            stream.write_all(text.as_bytes()).await.unwrap();
            wait_for_work(&fleet, 1, &case).await;

            // Act
            let _stream = leave(stream, way);

            // Assert
            let since = Instant::now();
            wait_for_work(&fleet, 0, &case).await;
            assert!(since.elapsed() < END_TIME, "{case}: {:?}", since.elapsed());
        }
    }
}

// Guards against an answer that is lost as its caller has sent more than the request and stays.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_sends_more_and_stays_is_answered() {
    let fleet = one_engine().await;
    let next = request(3);
    for behind in ["\r\n", &next] {
        let mut stream = TcpStream::connect(fleet.callers()[0]).await.unwrap();
        let text = request(50) + behind;
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = vec![0; 65_536];
        let n_read = stream.read(&mut answer).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..n_read]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    }
}

async fn one_engine() -> Fleet {
    Fleet::start(FleetShape {
        entries: 1,
        engines: 1,
        services: 0,
    })
    .await
}

/// Returns the text of a completion request whose answer comes in one piece.
fn request(n_tokens: u64) -> String {
    let mut body = completion("kit history 1", n_tokens);
    body["stream"] = json!(false);
    let body = body.to_string();
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: {}\r\n\
         content-length: {}\r\n\r\n{body}",
        bearer(),
        body.len()
    )
}

/// Leaves; returns what keeps the caller's own side open.
fn leave(stream: TcpStream, way: Way) -> Option<TcpStream> {
    match way {
        Way::Close => None,
        Way::Reset => {
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
        Way::EndInput => {
            SockRef::from(&stream).shutdown(Shutdown::Write).unwrap();
            Some(stream)
        }
    }
}

async fn wait_for_work(fleet: &Fleet, n_requests: usize, case: &str) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while fleet.engines[0].n_open() != n_requests {
        assert!(
            Instant::now() < deadline,
            "{case}: not {n_requests} at work"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
