//! The store is away for some seconds and comes back: the records that lapsed meanwhile are gone,
//! although their targets may live and write them again.
//!
//! Decisions only, without a network.

use std::time::Duration;

use comfreyhead_fleet::catalog::RouteCatalog;
use comfreyhead_fleet::forward::HeaderNames;
use comfreyhead_fleet::mirror::{MirrorDelta, MirrorRecord, StoreEra, StorePosition};
use comfreyhead_fleet::peers::{CopySpans, PeerCopy, PeerHeartbeat, StoreTopic, TopicPosition};
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::process::{CallError, Decoders, EntryState, ProcessBounds, StoreReplica};
use comfreyhead_fleet::routing::BudgetSettings;
use http::HeaderName;
use slog::{Discard, Logger, o};
use tokio::sync::watch;

/// The time in which live targets write their records again.
const RESTORE_TIME: Duration = Duration::from_secs(2);

/// An age of the last read at which the store does not count as lost yet.
const SOUND_AGE: Duration = Duration::from_millis(1_400);

/// Whether the state that depends on time is updated while the store is away.
#[derive(Clone, Copy, Debug)]
enum OutageTick {
    Seen,
    Unseen,
}

fn delta(end: u64, complete: bool, records: &[(&str, u64, &str)]) -> MirrorDelta {
    let record = |(key, offset, value): &(&str, u64, &str)| MirrorRecord {
        key: (*key).to_owned(),
        offset: *offset,
        value: (!value.is_empty()).then(|| value.as_bytes().to_vec()),
    };
    MirrorDelta {
        era: StoreEra(0),
        end,
        complete,
        records: records.iter().map(record).collect(),
    }
}

/// Decodes a target that consists of its state and port.
fn decode_target(id: &str, bytes: &[u8]) -> Result<TargetEntry, String> {
    let text = std::str::from_utf8(bytes).map_err(|err| err.to_string())?;
    let (state, port) = text.split_once(' ').ok_or("no port")?;
    Ok(TargetEntry {
        id: id.into(),
        service: "svc".into(),
        address: ([127, 0, 0, 1], port.parse().map_err(|_| "bad port")?).into(),
        zone: "a".into(),
        slots: 4,
        draining: state == "draining",
        started_ms: 7,
    })
}

/// An entry's replica without its tasks.
fn replica() -> (Arc<EntryState>, StoreReplica) {
    let name = |name| HeaderName::from_static(name);
    let names = HeaderNames {
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
    };
    let budget = BudgetSettings {
        window: Duration::from_secs(10),
        ratio: 0.2,
        slack: 100.0,
    };
    let bounds = ProcessBounds {
        budget,
        grace: Duration::from_secs(8),
    };
    let (_, bounds) = watch::channel(bounds);
    let log = Logger::root(Discard, o!());
    let state = Arc::new(EntryState::new(names, "a".into(), bounds, 1, log));
    let decoders = Decoders {
        catalog: |_| Ok(RouteCatalog::default()),
        target: decode_target,
        catalog_key: "config",
    };
    let replica = StoreReplica::new(state.clone(), decoders);
    (state, replica)
}

/// The heartbeat of a peer that has just read the store.
fn reader_heartbeat(changed_end: StorePosition) -> PeerHeartbeat {
    let position = TopicPosition {
        changed_end,
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
        spans: Some(CopySpans::default()),
    }
}

fn is_routable(state: &EntryState, id: &str) -> bool {
    let excluded = [];
    let mut picks = (0..32).filter_map(|_| {
        state.with_table(|table, rng| table.choose("svc", &excluded, Instant::now(), rng))
    });
    picks.any(|pick| &*pick.id == id)
}

/// A replica whose last read of the store was an outage ago, and which failed to reach it since.
fn replica_after_outage(
    outage: Duration,
    tick: OutageTick,
    records: &[(&str, u64, &str)],
) -> (Arc<EntryState>, StoreReplica) {
    let (state, replica) = replica();
    let age = outage.min(SOUND_AGE);
    let last_read_at = Instant::now()
        .checked_sub(age)
        .expect("a time after the start");
    replica.apply_from_store(StoreTopic::Targets, delta(9, true, records), last_read_at);
    std::thread::sleep(outage - age);
    replica.record_failed_read(
        StoreTopic::Targets,
        last_read_at + SOUND_AGE,
        CallError::Silent,
    );
    match tick {
        OutageTick::Seen => replica.tick(Instant::now()),
        OutageTick::Unseen => {}
    }
    (state, replica)
}

fn outages() -> impl Iterator<Item = (Duration, OutageTick)> {
    [1_700, 3_000].into_iter().flat_map(|millis| {
        let outage = Duration::from_millis(millis);
        [(outage, OutageTick::Seen), (outage, OutageTick::Unseen)]
    })
}

/// Guards against the removal of live targets by the first read after an outage.
#[test]
fn target_that_lapsed_in_an_outage_stays_for_two_seconds() {
    let topic = StoreTopic::Targets;
    let live = [("back", 1, "ready 81"), ("dead", 2, "ready 82")];
    for (outage, tick) in outages() {
        let (state, replica) = replica_after_outage(outage, tick, &live);

        let lapsed = delta(12, false, &[("back", 10, ""), ("dead", 11, "")]);
        let before = Instant::now();
        replica.apply_from_store(topic, lapsed, before);
        let after = Instant::now();

        let both_stay = || is_routable(&state, "back") && is_routable(&state, "dead");
        assert!(both_stay(), "{outage:?} {tick:?}: first read");
        replica.tick(before + RESTORE_TIME - Duration::from_millis(1));
        assert!(both_stay(), "{outage:?} {tick:?}: within the grace");
        let written = delta(13, false, &[("back", 12, "ready 81")]);
        replica.apply_from_store(topic, written, Instant::now());
        replica.tick(after + RESTORE_TIME);
        assert!(is_routable(&state, "back"), "{outage:?} {tick:?}: returned");
        assert!(!is_routable(&state, "dead"), "{outage:?} {tick:?}: gone");
    }
}

/// Guards against the loss of live targets by a complete copy that is read after an outage.
#[test]
fn target_that_a_whole_copy_lacks_after_an_outage_stays_for_two_seconds() {
    let topic = StoreTopic::Targets;
    for (outage, tick) in outages() {
        let live = [("t", 1, "ready 81")];
        let (state, replica) = replica_after_outage(outage, tick, &live);

        let is_complete = replica.apply_from_store(topic, delta(12, true, &[]), Instant::now());
        let after = Instant::now();

        assert!(
            is_complete && is_routable(&state, "t"),
            "{outage:?} {tick:?}"
        );
        replica.tick(after + RESTORE_TIME);
        assert!(!is_routable(&state, "t"), "{outage:?} {tick:?}: gone");
    }
}

/// Guards against a grace for targets that drain, which leave on purpose.
#[test]
fn draining_target_gets_no_grace_after_an_outage() {
    let topic = StoreTopic::Targets;
    let known = [("leaving", 1, "draining 81"), ("live", 2, "ready 82")];
    for (outage, tick) in outages() {
        let (state, replica) = replica_after_outage(outage, tick, &known);

        let lapsed = [("leaving", 10, ""), ("live", 11, "")];
        replica.apply_from_store(topic, delta(12, false, &lapsed), Instant::now());

        assert!(!is_routable(&state, "leaving"), "{outage:?} {tick:?}");
        assert!(is_routable(&state, "live"), "{outage:?} {tick:?}");
    }
}

/// Guards against a grace for targets that were removed while the store was sound.
#[test]
fn target_that_was_removed_while_the_store_was_sound_gets_no_grace() {
    let topic = StoreTopic::Targets;
    let (state, replica) = replica();
    let now = Instant::now();
    let known = [("gone", 1, "ready 81"), ("live", 2, "ready 82")];
    replica.apply_from_store(topic, delta(3, true, &known), now);
    replica.apply_from_store(topic, delta(4, false, &[("gone", 3, "")]), now);
    let is_gone_at_once = !is_routable(&state, "gone");

    replica.record_failed_read(
        StoreTopic::Targets,
        now + Duration::from_secs(2),
        CallError::Silent,
    );
    replica.tick(now + Duration::from_secs(3));
    let lapsed = [("gone", 5, ""), ("live", 6, "")];
    replica.apply_from_store(topic, delta(7, false, &lapsed), Instant::now());

    assert!(is_gone_at_once && !is_routable(&state, "gone"));
    assert!(is_routable(&state, "live"));
}

/// Guards against the removal of live targets by the copy of a peer that read the store first.
#[test]
fn target_that_lapsed_in_an_outage_stays_if_a_peer_read_the_store_first() {
    let topic = StoreTopic::Targets;
    for (outage, tick) in outages() {
        let live = [("t", 1, "ready 81")];
        let (state, replica) = replica_after_outage(outage, tick, &live);
        let changed_end = StorePosition {
            era: StoreEra(0),
            offset: 11,
        };
        let reader = ([127, 0, 0, 2], 1).into();
        let heartbeat = reader_heartbeat(changed_end);
        replica.with_peers(|peers| peers.record_heartbeat(reader, heartbeat, Instant::now()));

        let lapsed = PeerCopy {
            delta: delta(11, false, &[("t", 10, "")]),
            changed_end,
            departed: Vec::new(),
        };
        replica.apply_from_peer(topic, lapsed);
        let after = Instant::now();

        assert!(is_routable(&state, "t"), "{outage:?} {tick:?}");
        replica.tick(after + RESTORE_TIME);
        assert!(!is_routable(&state, "t"), "{outage:?} {tick:?}: gone");
    }
}

/// A replica that has read nothing for many seconds, as another entry reads for it, and the time.
fn replica_that_relies_on_a_peer(records: &[(&str, u64, &str)]) -> (Arc<EntryState>, StoreReplica) {
    let (state, replica) = replica();
    let long_ago = Instant::now() - Duration::from_secs(20);
    replica.apply_from_store(StoreTopic::Targets, delta(3, true, records), long_ago);
    let heard = reader_heartbeat(position(3));
    replica.with_peers(|peers| peers.record_heartbeat(PEER.into(), heard, Instant::now()));
    replica.tick(Instant::now());
    (state, replica)
}

/// The address of the peer that others rely on.
const PEER: ([u8; 4], u16) = ([127, 0, 0, 2], 1);

fn position(offset: u64) -> StorePosition {
    StorePosition {
        era: StoreEra(0),
        offset,
    }
}

/// Guards against a removal that is taken for a lapse, as the entry that speaks for another data
/// centre does not vouch for its copy while it is behind the reader there.
#[test]
fn target_leaves_at_once_beside_a_peer_that_does_not_confirm() {
    let topic = StoreTopic::Targets;
    let known = [("gone", 1, "ready 81"), ("live", 2, "ready 82")];
    for removed_by in ["store", "peer"] {
        let (state, replica) = replica_that_relies_on_a_peer(&known);
        let mut unconfirmed = reader_heartbeat(position(3));
        unconfirmed.targets.age_ms = u32::MAX;
        let now = Instant::now();
        replica.with_peers(|peers| peers.record_heartbeat(PEER.into(), unconfirmed, now));
        replica.tick(now);

        let removed = delta(4, false, &[("gone", 3, "")]);
        match removed_by {
            "store" => {
                replica.apply_from_store(topic, removed, now);
            }
            _ => replica.apply_from_peer(
                topic,
                PeerCopy {
                    delta: removed,
                    changed_end: position(4),
                    departed: Vec::new(),
                },
            ),
        }

        assert!(!is_routable(&state, "gone"), "{removed_by}");
        assert!(is_routable(&state, "live"), "{removed_by}");
    }
}

/// Guards against the silence of peers that is taken for an outage of the store.
#[test]
fn target_leaves_at_once_after_a_silence_without_a_failed_call() {
    let topic = StoreTopic::Targets;
    for tick in [OutageTick::Seen, OutageTick::Unseen] {
        let (state, replica) = replica();
        let known = [("gone", 1, "ready 81"), ("live", 2, "ready 82")];
        let long_ago = Instant::now() - Duration::from_secs(5);
        replica.apply_from_store(topic, delta(3, true, &known), long_ago);
        if matches!(tick, OutageTick::Seen) {
            replica.tick(Instant::now());
        }

        let removed = delta(4, false, &[("gone", 3, "")]);
        replica.apply_from_store(topic, removed, Instant::now());

        assert!(!is_routable(&state, "gone"), "{tick:?}");
        assert!(is_routable(&state, "live"), "{tick:?}");
    }
}

/// Guards against an outage that is only that of the own way to the store.
#[test]
fn target_leaves_at_once_where_only_the_own_calls_fail() {
    let topic = StoreTopic::Targets;
    let known = [("gone", 1, "ready 81"), ("live", 2, "ready 82")];
    let (state, replica) = replica_that_relies_on_a_peer(&known);
    replica.record_failed_read(StoreTopic::Targets, Instant::now(), CallError::Silent);
    replica.tick(Instant::now());

    let removed = PeerCopy {
        delta: delta(4, false, &[("gone", 3, "")]),
        changed_end: position(4),
        departed: Vec::new(),
    };
    replica.apply_from_peer(topic, removed);

    assert!(!is_routable(&state, "gone"));
    assert!(is_routable(&state, "live"));
}

/// Guards against an outage that is dated by this entry's own last read, once the peer that has read
/// since is silent.
#[test]
fn reads_of_a_peer_that_fell_silent_still_count() {
    let topic = StoreTopic::Targets;
    let known = [("gone", 1, "ready 81"), ("live", 2, "ready 82")];
    let (state, replica) = replica_that_relies_on_a_peer(&known);
    let now = Instant::now();
    replica.record_failed_read(
        StoreTopic::Targets,
        now - Duration::from_secs(5),
        CallError::Silent,
    );
    replica.tick(now + Duration::from_millis(1_300));

    replica.apply_from_store(topic, delta(4, false, &[("gone", 3, "")]), now);

    assert!(!is_routable(&state, "gone"));
    assert!(is_routable(&state, "live"));
}

/// Guards against a grace for a removal that a peer read from a sound store.
#[test]
fn target_that_a_peer_saw_removed_from_a_sound_store_leaves_at_once() {
    let topic = StoreTopic::Targets;
    let (state, replica) = replica();
    let known = [("gone", 1, "ready 81"), ("live", 2, "ready 82")];
    replica.apply_from_store(topic, delta(3, true, &known), Instant::now());
    let changed_end = StorePosition {
        era: StoreEra(0),
        offset: 4,
    };
    let reader = ([127, 0, 0, 2], 1).into();
    let heartbeat = reader_heartbeat(changed_end);
    replica.with_peers(|peers| peers.record_heartbeat(reader, heartbeat, Instant::now()));

    let removed = PeerCopy {
        delta: delta(4, false, &[("gone", 3, "")]),
        changed_end,
        departed: Vec::new(),
    };
    replica.apply_from_peer(topic, removed);

    assert!(!is_routable(&state, "gone"));
    assert!(is_routable(&state, "live"));
}

/// Guards against an entry that counts as failing for good, as it does not read any more: those after
/// it would read the store each time that they hear of it.
#[test]
fn failed_read_is_stated_while_the_entry_may_go_on_trying() {
    let (_, replica) = replica();
    let now = Instant::now();
    let fails = |after_ms| {
        let spans = replica.spans(now + Duration::from_millis(after_ms));
        spans.targets.fails
    };

    replica.record_failed_read(StoreTopic::Targets, now, CallError::Silent);
    let (at_once, later) = (fails(0), (fails(2_400), fails(2_600)));
    replica.record_failed_read(StoreTopic::Targets, now, CallError::Silent);
    replica.apply_from_store(StoreTopic::Targets, delta(3, true, &[]), now);

    assert!(at_once);
    assert_eq!(later, (true, false));
    assert!(!fails(0), "the last read succeeded");
}

/// Guards against pulls that count as failed while each brings a part of many changes.
#[test]
fn copy_is_behind_from_when_a_peer_was_ahead_and_nothing_came() {
    let topic = StoreTopic::Targets;
    let (_, replica) = replica_that_relies_on_a_peer(&[("t", 2, "ready 81")]);
    let now = Instant::now();
    let later = now + Duration::from_millis(250);
    let ahead = reader_heartbeat(position(9));
    replica.with_peers(|peers| peers.record_heartbeat(PEER.into(), ahead, now));
    let pulled = PeerCopy {
        delta: delta(6, false, &[("t", 5, "draining 81")]),
        changed_end: position(6),
        departed: Vec::new(),
    };

    replica.tick(now);
    replica.tick(later);
    let before = replica.behind_since(topic);
    replica.apply_from_peer(topic, pulled);
    let pulled = replica.behind_since(topic);
    replica.tick(later);

    assert_eq!((before, pulled), (Some(now), None));
    assert_eq!(
        replica.behind_since(topic),
        Some(later),
        "the peer is ahead still"
    );
}
