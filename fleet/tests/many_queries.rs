//! More datagrams than an agent answers at the same time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use comfreyhead_fleet::peers::{PeerMessage, RankQuery};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{
    AgentConfig, CallError, Decoders, StoreAnswer, TargetReply, TargetRequest, run_agent,
};
use slog::{Discard, Logger, o};
use tokio::net::UdpSocket;

/// The most datagrams that an agent answers at the same time, as it states it.
const MAX_TASKS: usize = 32;

/// The calls of the agent itself: of its leader, its keeper and its check of the pace.
const OWN_CALLS: usize = 3;

/// How long the target keeps each call waiting.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Returns an address that no other process binds: a port that was free a moment ago may be taken.
fn own_address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 111 + high, middle, low], 7_340))
}

// Guards against an agent whose memory is used up by the datagrams that it answers.
#[tokio::test]
async fn number_of_datagrams_answered_at_once_is_limited() {
    // Arrange
    let agent = own_address();
    let n_calls = Arc::new(AtomicUsize::new(0));
    let most_calls = Arc::new(AtomicUsize::new(0));
    let (count, most) = (n_calls.clone(), most_calls.clone());
    let target_call = move |_: SocketAddr, _: TargetRequest| {
        let (count, most) = (count.clone(), most.clone());
        async move {
            most.fetch_max(count.fetch_add(1, Ordering::Relaxed) + 1, Ordering::Relaxed);
            tokio::time::sleep(CALL_TIME).await;
            count.fetch_sub(1, Ordering::Relaxed);
            Err::<TargetReply, _>(CallError::Silent)
        }
    };
    let store_call = |_| async {
        StoreAnswer {
            era: None,
            result: Err(CallError::Unreachable),
        }
    };
    let config = AgentConfig {
        peer_address: agent,
        target_address: "127.0.0.1:9".parse().unwrap(),
        service: "svc".into(),
        decoders: Decoders {
            catalog: |_| Err("none".to_owned()),
            target: |_, _| Err("none".to_owned()),
            catalog_key: "current",
        },
        life: 1,
    };
    let log = Logger::root(Discard, o!());
    let running = tokio::spawn(run_agent(config, target_call, store_call, log));
    tokio::time::sleep(CALL_TIME / 3).await;

    // Act
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let query = PeerMessage::Ask(RankQuery::Report).encode();
    for n_query in 0..400 {
        sender.send_to(&query, agent).await.unwrap();
        if n_query % 20 == 0 {
            tokio::task::yield_now().await;
        }
    }
    tokio::time::sleep(CALL_TIME / 3).await;

    // Assert
    assert!(!running.is_finished());
    let at_once = most_calls.load(Ordering::Relaxed);
    assert!(at_once <= MAX_TASKS + OWN_CALLS, "{at_once}");
    // The agent answers again once those calls have ended.
    tokio::time::sleep(CALL_TIME).await;
    most_calls.store(0, Ordering::Relaxed);
    for _ in 0..10 {
        sender.send_to(&query, agent).await.unwrap();
    }
    tokio::time::sleep(CALL_TIME / 3).await;
    let at_once = most_calls.load(Ordering::Relaxed);
    assert!(10 <= at_once, "{at_once}");
}
