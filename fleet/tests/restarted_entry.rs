//! An entry starts, or reads the whole store again, beside targets that leave: its copy holds no
//! removals from before, and the others must not take it for one that does.
//!
//! Decisions only, without a network.

#[path = "store_restored/fixtures.rs"]
mod fixtures;
#[path = "restarted_entry/model.rs"]
mod model;

use std::time::Duration;

use comfreyhead_fleet::mirror::{
    KeyedMirror, MirrorChange, MirrorDelta, MirrorRecord, StoreEra, StorePosition,
};
use comfreyhead_fleet::peers::{
    CopySpan, CopySpans, PeerHeartbeat, PeerMessage, PeerTable, ReaderChoice, ReaderInput,
    StoreTopic, TopicPosition, choose_reader,
};
use comfreyhead_fleet::prelude::*;
use proptest::prelude::*;

use fixtures::replica;
use model::{Fleet, Step};

const TOPIC: StoreTopic = StoreTopic::Targets;

fn delta(end: u64, complete: bool, records: &[(&str, u64, &str)]) -> MirrorDelta {
    let records = records.iter().map(|(key, offset, value)| MirrorRecord {
        key: (*key).to_owned(),
        offset: *offset,
        value: (!value.is_empty()).then(|| value.as_bytes().to_vec()),
    });
    MirrorDelta {
        era: StoreEra::default(),
        end,
        complete,
        records: records.collect(),
    }
}

fn at(offset: u64) -> StorePosition {
    StorePosition {
        era: StoreEra::default(),
        offset,
    }
}

/// The heartbeat of a peer that has just read the store, with a copy of a span.
fn heartbeat(changed_end: u64, spans: Option<CopySpan>) -> PeerHeartbeat {
    let position = TopicPosition {
        changed_end: at(changed_end),
        age_ms: 10,
    };
    PeerHeartbeat {
        sender: 2,
        zone: "a".to_owned(),
        draining: false,
        for_zone: false,
        version: None,
        operator: position,
        targets: position,
        running: Vec::new(),
        demand: Vec::new(),
        results: Vec::new(),
        spans: spans.map(|span| CopySpans {
            operator: span,
            targets: span,
        }),
    }
}

fn peers_of(heartbeat: PeerHeartbeat, now: Instant) -> PeerTable {
    let mut peers = PeerTable::default();
    peers.record_heartbeat(([127, 0, 0, 2], 1).into(), heartbeat, now);
    peers
}

/// Guards against entries that keep a removed target after a pull from one that has just started.
#[test]
fn pull_from_an_entry_that_has_just_started_shows_the_removal_of_a_target() {
    // Arrange: "t" was removed at 12, before the read of the entry that starts.
    let mut started = KeyedMirror::default();
    started.apply(delta(20, true, &[("live", 15, "ready 82")]));
    let mut old = KeyedMirror::default();
    let known = [("t", 3, "ready 81"), ("live", 4, "ready 82")];
    old.apply(delta(10, false, &known));

    // Act
    let change = old.apply(started.since(old.end()));

    // Assert
    let MirrorChange::Updated(records) = change else {
        panic!("{change:?}");
    };
    assert!(
        records
            .iter()
            .any(|record| record.key == "t" && record.value.is_none())
    );
    assert_eq!(old.value("t"), None);
    assert!(old.value("live").is_some());
}

/// Guards against whole copies where a part is enough.
#[test]
fn copy_that_followed_every_record_answers_with_a_part() {
    // Arrange
    let mut mirror = KeyedMirror::default();
    mirror.apply(delta(20, true, &[("a", 15, "ready 81")]));
    mirror.apply(delta(
        23,
        false,
        &[("b", 21, "ready 82"), ("a", 22, "ready 81")],
    ));

    // Act
    let (part, whole) = (mirror.since(at(20)), mirror.since(at(19)));

    // Assert
    assert_eq!((part.complete, part.records.len()), (false, 2));
    assert_eq!((whole.complete, whole.records.len()), (true, 2));
}

/// Guards against a gap between two whole reads of one process, as after expired records.
#[test]
fn second_whole_read_hides_the_removals_before_it() {
    // Arrange
    let mut mirror = KeyedMirror::default();
    mirror.apply(delta(4, false, &[("a", 3, "ready 81")]));
    mirror.apply(delta(30, true, &[("a", 28, "ready 81")]));

    // Act
    let (between, after) = (mirror.since(at(9)), mirror.since(at(30)));

    // Assert: a target may have come at 6 and left at 12.
    assert!(between.complete && !after.complete);
}

/// Guards against positions that lie beyond what a whole read of several pages has seen.
#[test]
fn record_from_beyond_the_end_of_a_whole_read_counts_once_it_is_reached() {
    // Arrange: the second page was read later, when "b" had been written at 8.
    let (_, replica) = replica();
    let now = Instant::now();
    let pages = delta(5, true, &[("a", 1, "ready 81"), ("b", 8, "ready 82")]);

    // Act
    replica.apply_from_store(TOPIC, pages, now);
    let early = replica.position(TOPIC, now).changed_end;
    let rest = delta(9, false, &[("a", 6, ""), ("b", 8, "ready 82")]);
    replica.apply_from_store(TOPIC, rest, now);

    // Assert: a peer that has the position of the first read is told of the removal.
    assert_eq!(early, at(5));
    assert_eq!(replica.position(TOPIC, now).changed_end, at(9));
}

/// Guards against a removal that others are not told of, as the reader's whole read lacked the key.
#[test]
fn removal_of_a_key_that_the_copy_lacks_counts_as_a_change() {
    // Arrange: "a" left between the first page, which ends at 5, and the page that would hold it.
    let (_, replica) = replica();
    let now = Instant::now();
    replica.apply_from_store(TOPIC, delta(5, true, &[("b", 2, "ready 82")]), now);

    // Act
    replica.apply_from_store(TOPIC, delta(8, false, &[("a", 7, "")]), now);

    // Assert
    assert_eq!(replica.position(TOPIC, now).changed_end, at(8));
}

/// Guards against trust in a reader that has just started: what was removed before its first read
/// is told by nobody.
#[test]
fn confirmation_does_not_reach_back_over_the_first_read_of_its_sender() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1_100);
    let input = |end| ReaderInput {
        topic: TOPIC,
        own: 5,
        era: StoreEra::default(),
        end: at(end),
        own_read_at: None,
        behind_since: None,
        jitter: 0.0,
    };
    let span = CopySpan {
        start: 20,
        end: 25,
        fails: false,
    };
    let fresh = peers_of(heartbeat(15, Some(span)), later);

    let behind = choose_reader(&input(18), &fresh, later);
    let beside = choose_reader(&input(20), &fresh, later);
    let empty = choose_reader(&input(0), &fresh, later);

    assert_eq!(behind, ReaderChoice::Stale);
    assert_eq!(beside, ReaderChoice::Skip);
    assert_eq!(empty, ReaderChoice::Skip, "a pull brings all records");
}

/// Guards against copies of an earlier version, which may lack removals anywhere.
#[test]
fn earlier_version_is_neither_pulled_from_nor_relied_on() {
    let now = Instant::now();
    let earlier = peers_of(heartbeat(90, None), now);
    let input = ReaderInput {
        topic: TOPIC,
        own: 5,
        era: StoreEra::default(),
        end: at(18),
        own_read_at: None,
        behind_since: None,
        jitter: 0.0,
    };

    let choice = choose_reader(&input, &earlier, now);

    assert_eq!(choice, ReaderChoice::Stale);
    assert_eq!(earlier.ahead_of(TOPIC, at(18), now), None);
    let read_at = earlier.confirmed_at(TOPIC, StoreEra::default(), now);
    assert!(read_at.is_some(), "it still shows that the store is there");
}

/// Guards against datagrams that one of two versions cannot read while both run.
#[test]
fn heartbeats_are_read_by_both_versions() {
    let span = CopySpan {
        start: 20,
        end: 25,
        fails: false,
    };
    let with_spans = PeerMessage::Beat(heartbeat(9, Some(span)));
    let without = PeerMessage::Beat(heartbeat(9, None));

    let bytes = with_spans.encode();

    assert_eq!(PeerMessage::decode(&bytes), Some(with_spans));
    let earlier_bytes = without.encode();
    assert!(
        bytes.starts_with(&earlier_bytes),
        "the earlier form, and more"
    );
    assert_eq!(PeerMessage::decode(&earlier_bytes), Some(without));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against copies that count as up to date and hold a target that the store dropped,
    /// whatever the order of writes, reads, pulls and starts.
    #[test]
    fn copies_that_are_confirmed_agree_with_the_store(
        steps in proptest::collection::vec(Step::any(), 1..60)
    ) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.play(step);
        }
        fleet.settle();
        prop_assert_eq!(fleet.first_difference(), None);
    }
}
