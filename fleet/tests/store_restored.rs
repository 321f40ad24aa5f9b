//! The store comes back from an older copy: offsets go back and are given out again, and records
//! that it had acknowledged are gone until operators and targets write them again.
//!
//! Decisions only, without a network: the mirror, the roster, the table of peers, the choice of a
//! reader, and the replica that joins them.

#[path = "store_restored/fixtures.rs"]
mod fixtures;

use std::time::Duration;

use comfreyhead_fleet::mirror::{
    KeyedMirror, MirrorChange, MirrorDelta, MirrorRecord, StoreEra, StorePosition,
};
use comfreyhead_fleet::peers::{
    CopySpans, PeerHeartbeat, PeerTable, ReaderChoice, ReaderInput, StoreTopic, TopicPosition,
    choose_reader,
};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{EntryState, StoreReplica};
use comfreyhead_fleet::roster::{DepartedTarget, RosterChange, TargetRoster};

use fixtures::{decode_target, replica};

/// The time in which live targets write their records again.
const RESTORE_TIME: Duration = Duration::from_secs(2);

/// The time in which operators write again and all live entries hear of each other.
const DENIAL_GRACE_PERIOD: Duration = Duration::from_secs(6);

fn record(key: &str, offset: u64, value: &str) -> MirrorRecord {
    MirrorRecord {
        key: key.to_owned(),
        offset,
        value: (!value.is_empty()).then(|| value.as_bytes().to_vec()),
    }
}

fn delta(era: u64, end: u64, complete: bool, records: &[(&str, u64, &str)]) -> MirrorDelta {
    let records = records
        .iter()
        .map(|(key, offset, value)| record(key, *offset, value));
    MirrorDelta {
        era: StoreEra(era),
        end,
        complete,
        records: records.collect(),
    }
}

fn at(era: u64, offset: u64) -> StorePosition {
    StorePosition {
        era: StoreEra(era),
        offset,
    }
}

fn target(id: &str, state: &str) -> TargetEntry {
    decode_target(id, format!("{state} 80").as_bytes()).unwrap()
}

fn is_routable(state: &EntryState, id: &str) -> bool {
    let excluded = [];
    let picks = (0..32).filter_map(|_| {
        state.with_table(|table, rng| table.choose("svc", &excluded, Instant::now(), rng))
    });
    picks.into_iter().any(|pick| &*pick.id == id)
}

#[test]
fn copy_of_a_newer_era_replaces_the_older_whole() {
    // Arrange: "c" was written after the copy was taken, and "a" was read at a higher offset.
    let mut mirror = KeyedMirror::default();
    mirror.apply(delta(
        0,
        9,
        false,
        &[("a", 7, "new"), ("b", 2, "same"), ("c", 8, "late")],
    ));

    // Act
    let restored = delta(1, 4, true, &[("a", 3, "old"), ("b", 2, "same")]);
    let change = mirror.apply(restored);

    // Assert
    let MirrorChange::Replaced(replaced) = change else {
        panic!("{change:?}");
    };
    assert_eq!((replaced.old_era, replaced.n_kept), (StoreEra(0), 1));
    assert_eq!(replaced.dropped, vec![record("c", 3, "")]);
    assert_eq!(mirror.end(), at(1, 4));
    assert_eq!(mirror.value("a"), Some(&b"old"[..]));
    assert_eq!(mirror.value("c"), None);
}

#[test]
fn records_written_again_at_lower_offsets_are_taken() {
    // Arrange
    let mut mirror = KeyedMirror::default();
    mirror.apply(delta(0, 9, false, &[("a", 8, "draining")]));
    mirror.apply(delta(1, 3, true, &[("a", 2, "ready")]));

    // Act
    let change = mirror.apply(delta(1, 4, false, &[("a", 3, "draining")]));

    // Assert
    assert_eq!(
        change,
        MirrorChange::Updated(vec![record("a", 3, "draining")])
    );
}

#[test]
fn log_that_has_grown_past_the_old_end_shows_its_hole() {
    // Arrange
    let mut mirror = KeyedMirror::default();
    mirror.apply(delta(0, 5, false, &[("a", 4, "1")]));

    // Act: the read from offset 5 succeeds, as other records have taken the offsets since.
    let change = mirror.apply(delta(2, 7, false, &[("b", 6, "1")]));

    // Assert
    assert_eq!(change, MirrorChange::Incomplete);
    assert_eq!(mirror.end(), at(0, 5));
}

#[test]
fn answer_that_was_on_its_way_does_not_overwrite_a_newer_era() {
    // Arrange
    let mut mirror = KeyedMirror::default();
    mirror.apply(delta(2, 3, true, &[("a", 2, "now")]));

    // Act
    let change = mirror.apply(delta(1, 90, true, &[("a", 80, "before")]));

    // Assert
    assert_eq!(change, MirrorChange::Outdated);
    assert_eq!(mirror.value("a"), Some(&b"now"[..]));
}

#[test]
fn entries_that_read_a_second_apart_agree_after_one_exchange() {
    // Arrange: the second entry reads after a heartbeat record that changes nothing.
    let (_, first) = replica();
    let (_, second) = replica();
    let now = Instant::now();
    for replica in [&first, &second] {
        let before = delta(0, 90, false, &[("t", 80, "ready 80")]);
        replica.apply_from_store(StoreTopic::Targets, before, now);
    }
    first.apply_from_store(
        StoreTopic::Targets,
        delta(1, 5, true, &[("t", 4, "ready 80")]),
        now,
    );
    second.apply_from_store(
        StoreTopic::Targets,
        delta(1, 9, true, &[("t", 8, "ready 80")]),
        now,
    );

    // Act
    let position = |replica: &StoreReplica| replica.position(StoreTopic::Targets, now).changed_end;
    let copy = second.since(StoreTopic::Targets, position(&first));
    first.apply_from_peer(StoreTopic::Targets, copy);

    // Assert
    assert_eq!(position(&first), position(&second));
}

#[test]
fn peer_that_is_cut_off_in_an_older_era_is_neither_ahead_nor_a_reader() {
    // Arrange
    let now = Instant::now();
    let position = TopicPosition {
        changed_end: at(0, 90),
        age_ms: 100,
    };
    let heartbeat = PeerHeartbeat {
        sender: 1,
        zone: "a".to_owned(),
        draining: false,
        for_zone: false,
        version: Some(9),
        operator: position,
        targets: position,
        running: Vec::new(),
        demand: Vec::new(),
        results: Vec::new(),
        spans: Some(CopySpans::default()),
    };
    let mut peers = PeerTable::default();
    peers.record_heartbeat(([127, 0, 0, 1], 1).into(), heartbeat, now);
    let input = ReaderInput {
        topic: StoreTopic::Targets,
        own: 5,
        era: StoreEra(1),
        end: at(1, 4),
        own_read_at: Some(now),
        behind_since: None,
        jitter: 0.0,
    };

    // Act, assert
    assert_eq!(peers.ahead_of(StoreTopic::Targets, at(1, 4), now), None);
    assert_eq!(
        peers.confirmed_at(StoreTopic::Targets, StoreEra(1), now),
        None
    );
    assert_eq!(choose_reader(&input, &peers, now), ReaderChoice::Reader);
    assert!(peers.newer_version(Some(7), now).is_some());
}

#[test]
fn configuration_in_force_stays_and_is_handed_to_processes_that_start() {
    // Arrange
    let (state, old) = replica();
    let (started_state, started) = replica();
    let now = Instant::now();
    old.apply_from_store(
        StoreTopic::Operator,
        delta(0, 9, false, &[("config", 8, "9")]),
        now,
    );
    let restored = delta(1, 3, true, &[("config", 2, "7")]);

    // Act
    old.apply_from_store(StoreTopic::Operator, restored.clone(), now);
    started.apply_from_store(StoreTopic::Operator, restored, now);
    let version_from_store = started_state.version();
    started.apply_peer_catalog(old.catalog_bytes().unwrap());

    // Assert
    assert_eq!(state.version(), Some(9));
    assert_eq!(version_from_store, Some(7));
    assert_eq!(started_state.version(), Some(9));
    assert_eq!(started.catalog_bytes(), Some(b"9".to_vec()));
}

// Guards against a version in force that no process can hand on, after an operator wrote an older one
// again: processes that start keep to the older one for good.
#[test]
fn configuration_in_force_is_handed_on_after_an_older_one_is_written() {
    // Arrange
    let (state, replica) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Operator;
    replica.apply_from_store(topic, delta(0, 9, false, &[("config", 8, "9")]), now);

    // Act
    replica.apply_from_store(topic, delta(0, 10, false, &[("config", 9, "7")]), now);
    let after_older = replica.catalog_bytes();
    replica.apply_from_store(topic, delta(1, 10, true, &[("config", 9, "7")]), now);

    // Assert
    assert_eq!(state.version(), Some(9));
    assert_eq!(after_older, Some(b"9".to_vec()));
    assert_eq!(replica.catalog_bytes(), Some(b"9".to_vec()));
}

// The same where one read brings both versions.
#[test]
fn configuration_in_force_is_handed_on_after_an_older_one_came_with_it() {
    let (state, replica) = replica();
    let records = [("config", 8, "9"), ("config", 9, "7")];
    let delta = delta(0, 10, false, &records);
    replica.apply_from_store(StoreTopic::Operator, delta, Instant::now());
    assert_eq!(state.version(), Some(9));
    assert_eq!(replica.catalog_bytes(), Some(b"9".to_vec()));
}

#[test]
fn configuration_that_is_written_again_is_the_stores_again() {
    // Arrange
    let (state, replica) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Operator;
    replica.apply_from_store(topic, delta(0, 9, false, &[("config", 8, "9")]), now);
    replica.apply_from_store(topic, delta(1, 3, true, &[("config", 2, "7")]), now);
    replica.apply_from_store(topic, delta(2, 2, true, &[("config", 1, "6")]), now);
    let retained = replica.catalog_bytes();

    // Act
    replica.apply_from_store(topic, delta(2, 3, false, &[("config", 2, "9")]), now);
    replica.apply_from_store(topic, delta(2, 4, false, &[("config", 3, "10")]), now);

    // Assert
    assert_eq!(retained, Some(b"9".to_vec()));
    assert_eq!(state.version(), Some(10));
    assert_eq!(replica.catalog_bytes(), Some(b"10".to_vec()));
}

#[test]
fn nothing_is_denied_by_a_configuration_that_may_be_older() {
    // Arrange
    let (state, replica) = replica();
    let now = Instant::now();
    let restored = delta(1, 3, true, &[("config", 2, "7")]);

    // Act
    replica.apply_from_store(StoreTopic::Operator, restored, now);
    let is_confirmed_at_once = state.is_confirmed(now);
    let early = Instant::now() + RESTORE_TIME * 2;
    replica.apply_from_store(StoreTopic::Operator, delta(1, 3, false, &[]), early);
    let is_confirmed_early = state.is_confirmed(early);
    let later = Instant::now() + DENIAL_GRACE_PERIOD;
    replica.apply_from_store(StoreTopic::Operator, delta(1, 3, false, &[]), later);

    // Assert
    assert!(!is_confirmed_at_once && !is_confirmed_early);
    assert!(state.is_confirmed(later));
}

#[test]
fn departed_targets_stay_away_and_live_ones_that_are_lacking_stay_for_a_while() {
    // Arrange: "gone" has left, "leaving" drains, "new" started after the copy was taken.
    let (state, replica) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Targets;
    let live = [
        ("gone", 1, "ready 81"),
        ("leaving", 2, "ready 82"),
        ("new", 3, "ready 83"),
    ];
    replica.apply_from_store(topic, delta(0, 4, false, &live), now);
    let later = [("gone", 4, ""), ("leaving", 5, "draining 82")];
    replica.apply_from_store(topic, delta(0, 6, false, &later), now);

    // Act
    let copy = [("gone", 1, "ready 81"), ("leaving", 2, "ready 82")];
    replica.apply_from_store(topic, delta(1, 3, true, &copy), now);

    // Assert
    assert!(!is_routable(&state, "gone"));
    assert!(!is_routable(&state, "leaving"));
    assert!(is_routable(&state, "new"));
    replica.tick(Instant::now() + RESTORE_TIME);
    assert!(!is_routable(&state, "new"));
}

#[test]
fn target_that_writes_again_is_used_again() {
    // Arrange
    let (state, replica) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Targets;
    replica.apply_from_store(topic, delta(0, 2, false, &[("t", 1, "ready 81")]), now);
    replica.apply_from_store(topic, delta(0, 3, false, &[("t", 2, "")]), now);
    replica.apply_from_store(topic, delta(1, 2, true, &[("t", 1, "ready 81")]), now);
    let is_used_from_the_copy = is_routable(&state, "t");

    // Act
    replica.apply_from_store(topic, delta(1, 3, false, &[("t", 2, "ready 81")]), now);

    // Assert
    assert!(!is_used_from_the_copy);
    assert!(is_routable(&state, "t"));
}

#[test]
fn process_that_starts_learns_of_departures_from_a_peer() {
    // Arrange
    let (_, old) = replica();
    let (state, started) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Targets;
    let copy = delta(
        1,
        3,
        true,
        &[("gone", 1, "ready 81"), ("live", 2, "ready 82")],
    );
    old.apply_from_store(topic, delta(0, 2, false, &[("gone", 1, "ready 81")]), now);
    old.apply_from_store(topic, delta(0, 3, false, &[("gone", 2, "")]), now);
    old.apply_from_store(topic, copy.clone(), now);
    started.apply_from_store(topic, copy, now);
    let is_used_before = is_routable(&state, "gone");

    // Act
    let position = started.position(topic, now).changed_end;
    started.apply_from_peer(topic, old.since(topic, position));

    // Assert
    assert!(is_used_before);
    assert!(!is_routable(&state, "gone"));
    assert!(is_routable(&state, "live"));
}

#[test]
fn address_that_another_target_has_taken_is_released_at_once() {
    // Arrange
    let (state, replica) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Targets;
    replica.apply_from_store(topic, delta(0, 2, false, &[("old", 1, "ready 81")]), now);
    replica.apply_from_store(topic, delta(1, 1, true, &[]), now);
    let stays_at_first = is_routable(&state, "old");

    // Act
    replica.apply_from_store(topic, delta(1, 2, false, &[("other", 1, "ready 81")]), now);

    // Assert
    assert!(stays_at_first);
    assert!(!is_routable(&state, "old"));
    assert!(is_routable(&state, "other"));
}

#[test]
fn address_that_the_copy_gives_to_another_target_is_released_at_once() {
    // Arrange
    let (state, replica) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Targets;
    let before = delta(0, 2, false, &[("old", 1, "ready 81")]);
    replica.apply_from_store(topic, before, now);

    // Act
    let copy = delta(1, 1, true, &[("other", 0, "ready 81")]);
    replica.apply_from_store(topic, copy, now);

    // Assert
    assert!(!is_routable(&state, "old"));
    assert!(is_routable(&state, "other"));
}

#[test]
fn departures_are_remembered_over_two_restores_and_then_forgotten() {
    // Arrange
    let start = Instant::now();
    let mut roster = TargetRoster::default();
    roster.insert(target("t", "ready"));
    roster.remove("t", start);

    // Act: the store comes back twice, forty seconds apart.
    let first = roster.restore(target("t", "ready"));
    roster.renew_departed(start + Duration::from_secs(40));
    let second = roster.restore(target("t", "ready"));
    roster.insert(target("other", "ready"));
    roster.remove("other", start + Duration::from_secs(101));

    // Assert
    assert_eq!((first, second), (RosterChange::Same, RosterChange::Same));
    assert_eq!(
        roster.departed(),
        vec![DepartedTarget::of(&target("other", "ready"))]
    );
}

#[test]
fn era_may_rise_by_two_and_be_seen_first_in_an_error() {
    // Arrange
    let (state, replica) = replica();
    let now = Instant::now();
    let topic = StoreTopic::Targets;
    replica.apply_from_store(topic, delta(1, 2, true, &[("t", 1, "ready 81")]), now);

    // Act: an error states the new era; the answer of a read that began before it is ignored.
    replica.observe_era(StoreEra(3));
    let is_taken =
        replica.apply_from_store(topic, delta(1, 9, false, &[("x", 8, "ready 90")]), now);
    let is_behind = replica.next_position(topic).era < replica.era();
    replica.apply_from_store(topic, delta(3, 2, true, &[("t", 1, "ready 81")]), now);

    // Assert
    assert!(!is_taken && is_behind);
    assert!(!is_routable(&state, "x"));
    assert!(is_routable(&state, "t"));
    assert_eq!(replica.next_position(topic), at(3, 2));
}
