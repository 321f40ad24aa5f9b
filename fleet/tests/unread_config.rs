//! An entry with a configuration in the store that it cannot read.

#[path = "store_restored/fixtures.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhead_fleet::mirror::{MirrorDelta, MirrorRecord, StoreEra};
use comfreyhead_fleet::peers::{CopySpans, PeerHeartbeat, StoreTopic, TopicPosition};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{EntryState, StoreReplica};

use fixtures::replica;

/// The age of a confirmation up to which requests are denied by a version.
const CONFIRMED_TIME: Duration = Duration::from_secs(3);

fn written(topic: StoreTopic, offset: u64, key: &str, value: &str) -> (StoreTopic, MirrorDelta) {
    let record = MirrorRecord {
        key: key.to_owned(),
        offset,
        value: Some(value.as_bytes().to_vec()),
    };
    let delta = MirrorDelta {
        era: StoreEra::default(),
        end: offset + 1,
        complete: false,
        records: vec![record],
    };
    (topic, delta)
}

fn apply(replica: &StoreReplica, (topic, delta): (StoreTopic, MirrorDelta), now: Instant) {
    assert!(replica.apply_from_store(topic, delta, now));
}

/// An entry that has version 7 in force and one target, and so is ready.
fn ready_entry(now: Instant) -> (Arc<EntryState>, StoreReplica) {
    let (state, replica) = replica();
    apply(
        &replica,
        written(StoreTopic::Operator, 0, "config", "7"),
        now,
    );
    apply(
        &replica,
        written(StoreTopic::Targets, 0, "i-1", "ready 80"),
        now,
    );
    assert!(state.is_ready());
    (state, replica)
}

/// Hears of a peer with a version in force.
fn hear(replica: &StoreReplica, peer: u8, version: u64, now: Instant) {
    let address = SocketAddr::from(([127, 0, 1, peer], 7340));
    let heartbeat = PeerHeartbeat {
        sender: peer.into(),
        zone: "a".to_owned(),
        draining: false,
        for_zone: false,
        version: Some(version),
        operator: TopicPosition::default(),
        targets: TopicPosition::default(),
        running: Vec::new(),
        demand: Vec::new(),
        results: Vec::new(),
        spans: Some(CopySpans::default()),
    };
    replica.with_peers(|peers| {
        peers.add(address, "a");
        peers.record_heartbeat(address, heartbeat, now);
    });
    replica.tick(now);
}

// Guards against an entry that denies requests, as if it had the newest version, by one that an unread
// version has replaced.
#[test]
fn entry_with_an_unread_version_serves_on_and_denies_nothing() {
    // Arrange
    let now = Instant::now();
    let (state, replica) = ready_entry(now);
    let late = now + CONFIRMED_TIME;
    let is_denying = || state.is_confirmed(late + Duration::from_millis(500));

    // Act
    apply(
        &replica,
        written(StoreTopic::Operator, 1, "config", "odd"),
        late,
    );
    replica.tick(late);
    let while_unread = (state.version(), state.is_ready(), is_denying());
    let metrics = String::from_utf8(state.metrics.text()).unwrap();
    apply(
        &replica,
        written(StoreTopic::Operator, 2, "config", "9"),
        late,
    );
    let once_read = (state.version(), state.is_ready(), is_denying());

    // Assert
    assert_eq!(while_unread, (Some(7), true, false));
    assert!(metrics.contains("comfrey_config_unread 1"), "{metrics}");
    assert_eq!(once_read, (Some(9), true, true));
}

// Guards against an entry that takes callers by an old version while most others have the new one in
// force, and against all entries leaving at once.
#[test]
fn entry_with_an_unread_version_leaves_callers_to_a_majority_that_has_read_it() {
    // Arrange
    let now = Instant::now();
    let (state, replica) = ready_entry(now);
    hear(&replica, 1, 8, now);
    hear(&replica, 2, 8, now);
    let before_unread = state.is_ready();

    // Act
    apply(
        &replica,
        written(StoreTopic::Operator, 1, "config", "odd"),
        now,
    );
    replica.tick(now);
    let among_newer = state.is_ready();
    hear(&replica, 2, 7, now);
    let among_equals = state.is_ready();
    hear(&replica, 2, 8, now);
    apply(
        &replica,
        written(StoreTopic::Operator, 2, "config", "9"),
        now,
    );
    replica.tick(now);
    let once_read = state.is_ready();

    // Assert
    assert!(before_unread, "a version on its way does not count");
    assert!(!among_newer);
    assert!(among_equals);
    assert!(once_read);
}

// Guards against the same unreadable bytes being asked of a peer without a pause.
#[test]
fn unreadable_version_of_a_peer_is_reported() {
    let (_, replica) = ready_entry(Instant::now());
    assert!(!replica.apply_peer_catalog(b"odd".to_vec()));
    assert!(replica.apply_peer_catalog(b"8".to_vec()));
}
