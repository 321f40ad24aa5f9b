//! The state of an entry: routes and API keys, the target roster, mirrors of the store, and the
//! choice of the entry that reads the store.

use std::time::Duration;

use comfreyhead_fleet::catalog::{Account, Backend, RouteError};
use comfreyhead_fleet::mirror::{
    KeyedMirror, MirrorChange, MirrorDelta, MirrorRecord, StoreEra, StorePosition,
};
use comfreyhead_fleet::peers::{
    CopySpans, PeerHeartbeat, PeerMessage, PeerTable, ReaderChoice, ReaderInput, StoreTopic,
    TopicPosition, choose_reader,
};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::roster::{RosterChange, TargetRoster};
use proptest::prelude::*;

fn route(prefix: &str, public: bool) -> RouteSpec {
    RouteSpec {
        name: prefix.into(),
        prefix: prefix.into(),
        kind: CallKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        attempts: 2,
        priority: 2,
        public,
        backends: SmallVec::from_elem(
            Backend {
                service: "ledger".into(),
                weight: 1.0,
            },
            1,
        ),
        pause: None,
    }
}

fn catalog() -> RouteCatalog {
    let mut catalog = RouteCatalog::default();
    catalog.add_route("Shop.example", route("/a/", false));
    catalog.add_route("shop.example", route("/a/b/", false));
    catalog.add_route("shop.example", route("/open/", true));
    let account = Account {
        name: "ana".into(),
        priority: None,
    };
    catalog.accounts = Some([("k1".into(), account)].into());
    catalog
}

fn target(id: &str, draining: bool) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "ledger".into(),
        // Each target has an address of its own.
        address: ([127, 0, 0, 1], u16::from(id.as_bytes()[0])).into(),
        zone: "sofia-a".into(),
        slots: 6,
        draining,
        started_ms: 0,
    }
}

fn record(key: &str, offset: u64, value: Option<&[u8]>) -> MirrorRecord {
    MirrorRecord {
        key: key.to_owned(),
        offset,
        value: value.map(<[u8]>::to_vec),
    }
}

fn at(offset: u64) -> StorePosition {
    StorePosition {
        era: StoreEra::default(),
        offset,
    }
}

fn heartbeat(sender: u64, age_ms: u32, end: u64) -> PeerHeartbeat {
    let position = TopicPosition {
        changed_end: at(end),
        age_ms,
    };
    PeerHeartbeat {
        sender,
        zone: "sofia-b".to_owned(),
        draining: false,
        for_zone: false,
        version: Some(3),
        operator: position,
        targets: position,
        running: vec![(7, 2)],
        demand: vec![(9, 4.5)],
        results: Vec::new(),
        spans: Some(CopySpans::default()),
    }
}

#[test]
fn longest_prefix_of_the_host_is_the_route() {
    let catalog = catalog();
    let found = |path| {
        catalog
            .find_route("SHOP.example:80", path)
            .map(|route| &*route.name)
    };
    assert_eq!(found("/a/b/c"), Some("/a/b/"));
    assert_eq!(found("/a/x"), Some("/a/"));
    assert_eq!(found("/ab/"), None);
    assert!(catalog.find_route("other.example", "/a/").is_none());
}

#[test]
fn keys_are_needed_unless_a_route_is_public() {
    let catalog = catalog();
    let account = |path, key| {
        let resolved = catalog.resolve("shop.example", path, key);
        resolved.map(|(_, account)| account.map(|account| account.name.to_string()))
    };
    assert_eq!(account("/a/", Some("k1")), Ok(Some("ana".to_owned())));
    assert_eq!(account("/a/", Some("k2")), Err(RouteError::UnknownKey));
    assert_eq!(account("/a/", None), Err(RouteError::UnknownKey));
    assert_eq!(account("/open/", None), Ok(None));
    assert_eq!(account("/none/", Some("k1")), Err(RouteError::NoRoute));
}

#[test]
fn services_share_a_route_by_weight() {
    let mut split = route("/a/", false);
    split.backends = SmallVec::from_vec(vec![
        Backend {
            service: "old".into(),
            weight: 3.0,
        },
        Backend {
            service: "none".into(),
            weight: 0.0,
        },
        Backend {
            service: "new".into(),
            weight: 1.0,
        },
    ]);
    let picks = (0..100).map(|draw| split.pick_service(f64::from(draw) / 100.0).unwrap());
    let n_new = picks.filter(|service| &***service == "new").count();
    assert_eq!(n_new, 25);
}

#[test]
fn removed_target_is_gone_at_once_and_one_that_lapsed_has_two_seconds() {
    // Arrange
    let back_at = Instant::now();
    let mut roster = TargetRoster::default();
    for id in ["a", "b", "c"] {
        roster.insert(target(id, id == "c"));
    }

    // Act
    let removed = roster.remove("a", back_at);
    let lapsed = roster.remove_lapsed("b", back_at, back_at);
    let draining = roster.remove_lapsed("c", back_at, back_at);
    let early = roster.expire(back_at + Duration::from_millis(1_900));
    let late = roster.expire(back_at + Duration::from_millis(2_000));

    // Assert
    assert_eq!(removed, RosterChange::Removed("a".into()));
    assert!(matches!(lapsed, RosterChange::Lapsing(..)));
    assert_eq!(draining, RosterChange::Removed("c".into()));
    assert!(early.is_empty());
    assert_eq!(&*late, &[Arc::<str>::from("b")]);
    assert!(roster.is_empty());
}

#[test]
fn lapsed_target_that_is_back_stays() {
    // Arrange
    let back_at = Instant::now();
    let mut roster = TargetRoster::default();
    roster.insert(target("a", false));
    roster.remove_lapsed("a", back_at, back_at);

    // Act
    let change = roster.insert(target("a", false));

    // Assert
    assert!(matches!(change, RosterChange::Changed(_)));
    assert!(roster.expire(back_at + Duration::from_secs(9)).is_empty());
}

#[test]
fn older_records_change_nothing() {
    // Arrange
    let mut mirror = KeyedMirror::default();
    let first = MirrorDelta {
        era: StoreEra::default(),
        end: 5,
        complete: false,
        records: vec![record("config", 4, Some(b"new"))],
    };
    mirror.apply(first);

    // Act
    let newer = mirror.apply(MirrorDelta {
        era: StoreEra::default(),
        end: 3,
        complete: false,
        records: vec![record("config", 2, Some(b"old"))],
    });

    // Assert
    assert_eq!(newer, MirrorChange::Updated(Vec::new()));
    assert_eq!(mirror.end(), at(5));
    assert_eq!(
        mirror.since(at(0)).records,
        vec![record("config", 4, Some(b"new"))]
    );
}

#[test]
fn complete_reads_remove_the_keys_that_they_lack() {
    // Arrange
    let mut mirror = KeyedMirror::default();
    mirror.apply(MirrorDelta {
        era: StoreEra::default(),
        end: 2,
        complete: false,
        records: vec![record("a", 0, Some(b"1")), record("b", 1, Some(b"1"))],
    });

    // Act
    let newer = mirror.apply(MirrorDelta {
        era: StoreEra::default(),
        end: 9,
        complete: true,
        records: vec![record("b", 1, Some(b"1"))],
    });

    // Assert
    assert_eq!(newer, MirrorChange::Updated(vec![record("a", 8, None)]));
}

#[test]
fn one_entry_reads_and_others_read_where_their_copy_grows_old() {
    // Arrange
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.record_heartbeat(([127, 0, 0, 1], 1).into(), heartbeat(1, 100, 3), now);
    let input = |own, read_ms: Option<u64>| ReaderInput {
        topic: StoreTopic::Targets,
        own,
        era: StoreEra::default(),
        end: at(3),
        own_read_at: read_ms.map(|ms| now.checked_sub(Duration::from_millis(ms)).unwrap()),
        behind_since: None,
        jitter: 0.0,
    };

    // Act, assert
    assert_eq!(
        choose_reader(&input(0, Some(300)), &peers, now),
        ReaderChoice::Reader
    );
    assert_eq!(
        choose_reader(&input(5, Some(300)), &peers, now),
        ReaderChoice::Skip
    );
    assert_eq!(
        choose_reader(&input(5, None), &peers, now),
        ReaderChoice::Skip
    );
    let later = now + Duration::from_millis(1_150);
    assert_eq!(
        choose_reader(&input(5, None), &peers, later),
        ReaderChoice::Stale
    );
    assert_eq!(
        choose_reader(&input(5, None), &PeerTable::default(), now),
        ReaderChoice::Stale
    );
}

#[test]
fn a_peer_that_knows_more_is_found() {
    // Arrange
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.record_heartbeat(([127, 0, 0, 1], 1).into(), heartbeat(1, 100, 3), now);
    peers.record_heartbeat(([127, 0, 0, 1], 2).into(), heartbeat(2, 100, 8), now);

    // Act, assert
    let ahead = peers.ahead_of(StoreTopic::Operator, at(4), now);
    assert_eq!(ahead, Some((([127, 0, 0, 1], 2).into(), at(8))));
    assert_eq!(peers.ahead_of(StoreTopic::Operator, at(8), now), None);
    assert_eq!(
        peers.ahead_of(StoreTopic::Operator, at(4), now + Duration::from_secs(5)),
        None
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_datagram_is_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = PeerMessage::decode(&bytes);
    }

    #[test]
    fn beats_survive_their_encoding(sender: u64, age_ms: u32, end: u64) {
        let message = PeerMessage::Beat(heartbeat(sender, age_ms, end));
        prop_assert_eq!(PeerMessage::decode(&message.encode()), Some(message));
    }
}
