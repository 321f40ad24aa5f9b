//! Heartbeats from more senders than an entry keeps.

use std::net::SocketAddr;

use comfreyhead_fleet::mirror::StorePosition;
use comfreyhead_fleet::peers::{CopySpans, PeerHeartbeat, PeerTable, StoreTopic, TopicPosition};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::{LoadView, PeerLoad};

/// A number of senders that no deployment has.
const N_SENDERS: u32 = 20_000;

/// The most senders that an entry keeps, as it states it.
const MAX_PEERS: usize = 1_024;

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

// Guards against tables that grow with each new sender of a datagram.
#[test]
fn number_of_senders_is_limited_and_registered_peers_are_kept() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    let address = |n_sender: u32| SocketAddr::from((n_sender.to_be_bytes(), 7));
    let registered = address(u32::MAX);
    peers.add(registered, "a");
    let mut view = LoadView::default();
    for n_sender in 0..N_SENDERS {
        let beat = heartbeat(u64::from(n_sender));
        let load = PeerLoad {
            running: beat.running.clone(),
            ..PeerLoad::default()
        };
        peers.record_heartbeat(address(n_sender), beat, now);
        view.update(u64::from(n_sender), load, now);
    }
    assert!(peers.len() <= MAX_PEERS, "{}", peers.len());
    assert!(view.running_at(1, now) as usize <= MAX_PEERS);
    // A registered peer is heard, and a new one takes the place of one that fell silent.
    let later = now + Duration::from_secs(60);
    let mut ahead = heartbeat(1);
    ahead.operator.changed_end.offset = 90;
    peers.record_heartbeat(registered, ahead.clone(), later);
    let end = StorePosition::default();
    let furthest = peers.ahead_of(StoreTopic::Operator, end, later);
    assert_eq!(furthest.map(|(address, _)| address), Some(registered));
    ahead.operator.changed_end.offset = 91;
    peers.record_heartbeat(address(N_SENDERS), ahead, later);
    let furthest = peers.ahead_of(StoreTopic::Operator, end, later);
    assert_eq!(
        furthest.map(|(address, _)| address),
        Some(address(N_SENDERS))
    );
    assert!(peers.len() <= MAX_PEERS, "{}", peers.len());
}
