//! Peers that send bytes without end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreyhead_fleet::mirror::{MirrorDelta, MirrorRecord, StorePosition};
use comfreyhead_fleet::peers::{CopySpans, PeerCopy, PeerHeartbeat, PeerMessage, TopicPosition};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{
    CallError, Decoders, EntryConfig, ProcessBounds, StoreAnswer, run_entry,
};
use comfreyhead_fleet::roster::DepartedTarget;
use comfreyhead_fleet::routing::BudgetSettings;
use http::HeaderName;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// The most that the operating system holds of one connection, in both its buffers.
const SOCKET_BYTES: usize = 36 << 20;

/// The limit on a copy that is pulled from a peer, as the entry states it.
const MAX_COPY: usize = 8 << 20;

fn heartbeat(sender: u64) -> PeerHeartbeat {
    let position = TopicPosition {
        changed_end: StorePosition {
            offset: 9,
            ..StorePosition::default()
        },
        age_ms: 0,
    };
    PeerHeartbeat {
        sender,
        zone: "a".to_owned(),
        draining: false,
        for_zone: false,
        version: None,
        operator: position,
        targets: position,
        running: vec![(1, 1)],
        demand: Vec::new(),
        results: Vec::new(),
        spans: Some(CopySpans::default()),
    }
}

/// Returns an address that no other process binds: a port that was free a moment ago may be taken.
fn own_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 101 + high, middle, low], 7_340))
}

fn entry_config(peer_address: SocketAddr) -> EntryConfig {
    let local: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let name = HeaderName::from_static;
    let bounds = ProcessBounds {
        budget: BudgetSettings {
            window: Duration::from_secs(1),
            ratio: 0.1,
            slack: 1.0,
        },
        grace: Duration::from_secs(8),
    };
    EntryConfig {
        name: "e".into(),
        zone: "a".into(),
        caller_address: local,
        ready_address: local,
        ready_path: "/ready".into(),
        peer_address,
        metrics_address: local,
        names: comfreyhead_fleet::forward::HeaderNames {
            attempt_id: name("x-id"),
            deadline_ms: name("x-deadline"),
            expected_target: name("x-expect"),
            account: name("x-account"),
            signature: name("x-seal"),
            not_run: name("x-not-run"),
            limit: name("server-limit"),
            last_event_id: name("last-event-id"),
            prompt_parts: name("x-parts"),
            retry_after: http::header::RETRY_AFTER,
            key: http::header::AUTHORIZATION,
            key_scheme: "Token".into(),
        },
        bounds: watch::channel(bounds).1,
        decoders: Decoders {
            catalog: |_| Err("none".to_owned()),
            target: |_, _| Err("none".to_owned()),
            catalog_key: "current",
        },
    }
}

async fn write_without_end(mut stream: TcpStream, most_written: Arc<AtomicUsize>) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await;
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let _ = stream.write_all(head.as_bytes()).await;
    let piece = format!("{:x}\r\n{}\r\n", 1 << 16, "x".repeat(1 << 16));
    let (mut rest, mut n_written) = (piece.as_bytes(), 0);
    while let Ok(n_more) = stream.write(rest).await {
        n_written += n_more;
        most_written.fetch_max(n_written, Ordering::Relaxed);
        rest = &rest[n_more..];
        if rest.is_empty() {
            rest = piece.as_bytes();
        }
    }
}

// Guards against a peer whose records fill the memory until the pull times out.
#[tokio::test]
async fn endless_pull_is_cut_and_not_repeated_at_once() {
    // Arrange
    let entry_address = own_address();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = UdpSocket::bind(listener.local_addr().unwrap())
        .await
        .unwrap();
    let most_written = Arc::new(AtomicUsize::new(0));
    let n_pulls = Arc::new(AtomicUsize::new(0));
    let (most, count) = (most_written.clone(), n_pulls.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(write_without_end(stream, most.clone()));
        }
    });
    let call = |_| async {
        StoreAnswer {
            era: None,
            result: Err(CallError::Unreachable),
        }
    };
    let log = Logger::root(Discard, o!());
    let entry = tokio::spawn(run_entry(entry_config(entry_address), call, log));

    // Act
    for _ in 0..20 {
        let beat = PeerMessage::Beat(heartbeat(7)).encode();
        let _ = socket.send_to(&beat, entry_address).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    // Assert
    assert!(!entry.is_finished());
    let most_written = most_written.load(Ordering::Relaxed);
    assert_ne!(most_written, 0);
    assert!(most_written <= MAX_COPY + SOCKET_BYTES, "{most_written}");
    // Each of the two topics is pulled at most once a second.
    let n_pulls = n_pulls.load(Ordering::Relaxed);
    assert!(n_pulls <= 6, "{n_pulls}");
}

// Guards against records of few bytes that take many times their length when decoded.
#[test]
fn copy_that_holds_too_much_when_decoded_is_not_decoded() {
    let record = MirrorRecord {
        key: String::new(),
        offset: 1,
        value: None,
    };
    let copy = |n_records| PeerCopy {
        delta: MirrorDelta {
            records: vec![record.clone(); n_records],
            ..MirrorDelta::default()
        },
        ..PeerCopy::default()
    };
    let decode = |copy: &PeerCopy| {
        let bytes = postcard::to_allocvec(copy).unwrap();
        postcard::from_bytes::<PeerCopy>(&bytes)
    };
    assert!(decode(&copy(100_000)).is_ok());
    assert!(decode(&copy(1_000_000)).is_err());
    let departed = DepartedTarget {
        id: "".into(),
        started_ms: 0,
    };
    let with_departed = |n_departed| PeerCopy {
        departed: vec![departed.clone(); n_departed],
        ..PeerCopy::default()
    };
    assert!(decode(&with_departed(4_096)).is_ok());
    assert!(decode(&with_departed(4_097)).is_err());
}
