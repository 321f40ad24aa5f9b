//! The entry that reads the store for the others is cut off from it, just after a read and just
//! before an operator takes a key away or a target leaves.
//!
//! Decisions only, without a network.

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhead_fleet::mirror::{StoreEra, StorePosition};
use comfreyhead_fleet::peers::{
    CopySpan, CopySpans, PeerHeartbeat, PeerTable, ReaderChoice, ReaderInput, StoreTopic,
    TopicPosition, choose_reader, confirmed_until,
};
use comfreyhead_fleet::prelude::*;

/// The users' bound on both, from the store's acknowledgement: `configApplyMs` and `drainMs`.
const BOUND: Duration = Duration::from_millis(2_000);

/// The time between two checks of an entry that does not read.
const CHECK: Duration = Duration::from_millis(100);

/// The slowest answer of the store that the platform documents.
const SLOWEST_ANSWER: Duration = Duration::from_millis(240);

/// The room that a slow machine needs beside the waits.
const ROOM: Duration = Duration::from_millis(300);

/// The longest time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(275);

/// The time between two confirmations of an entry that reads.
const CONFIRMATION: Duration = Duration::from_millis(450);

const TOPICS: [StoreTopic; 2] = [StoreTopic::Operator, StoreTopic::Targets];

fn address(sender: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], sender as u16))
}

/// The heartbeat of an entry whose copy was confirmed this long ago.
fn heartbeat(sender: u64, age: Duration) -> PeerHeartbeat {
    let position = TopicPosition {
        changed_end: StorePosition::default(),
        age_ms: age.as_millis() as u32,
    };
    PeerHeartbeat {
        sender,
        zone: "a".to_owned(),
        draining: false,
        for_zone: false,
        version: Some(3),
        operator: position,
        targets: position,
        running: Vec::new(),
        demand: Vec::new(),
        results: Vec::new(),
        spans: Some(CopySpans::default()),
    }
}

fn failing(mut heartbeat: PeerHeartbeat) -> PeerHeartbeat {
    let span = CopySpan {
        fails: true,
        ..CopySpan::default()
    };
    heartbeat.spans = Some(CopySpans {
        operator: span,
        targets: span,
    });
    heartbeat
}

fn peers(heartbeats: &[PeerHeartbeat], now: Instant) -> PeerTable {
    let mut peers = PeerTable::default();
    for heartbeat in heartbeats {
        peers.record_heartbeat(address(heartbeat.sender), heartbeat.clone(), now);
    }
    peers
}

/// The choice of an entry that has not read for long.
fn choice(
    own: u64,
    jitter: f64,
    topic: StoreTopic,
    peers: &PeerTable,
    now: Instant,
) -> ReaderChoice {
    choose_reader(&input(own, jitter, topic, now), peers, now)
}

fn input(own: u64, jitter: f64, topic: StoreTopic, now: Instant) -> ReaderInput {
    ReaderInput {
        topic,
        own,
        era: StoreEra::default(),
        end: StorePosition::default(),
        own_read_at: now.checked_sub(Duration::from_secs(20)),
        behind_since: None,
        jitter,
    }
}

/// Guards against keys, routes and targets that stay in use beyond the bound, as the last read of a
/// reader that is cut off counts for too long.
#[test]
fn every_entry_reads_by_itself_in_time_for_the_bound() {
    let now = Instant::now();
    let latest = BOUND - CHECK - SLOWEST_ANSWER - ROOM;
    let table = peers(&[heartbeat(1, latest)], now);

    for topic in TOPICS {
        for jitter in [0.0, 0.5, 0.999] {
            let choice = choice(5, jitter, topic, &table, now);

            assert_eq!(choice, ReaderChoice::Stale, "{topic:?} {jitter}");
        }
    }
}

/// Guards against reads by all entries while the reader is sound: its confirmations reach another
/// data centre by two heartbeats.
#[test]
fn no_entry_reads_beside_a_sound_reader() {
    let now = Instant::now();
    let oldest = CONFIRMATION + HEARTBEAT * 2;
    let table = peers(&[heartbeat(1, oldest)], now);

    for topic in TOPICS {
        let choice = choice(5, 0.0, topic, &table, now);

        assert_eq!(choice, ReaderChoice::Skip, "{topic:?}");
    }
}

/// Guards against a wait for the age of a reader's last read where it says that it fails.
#[test]
fn next_entry_reads_at_once_where_the_reader_says_that_it_fails() {
    let now = Instant::now();
    let age = Duration::from_millis(300);
    let reader = failing(heartbeat(1, age));
    let of_second = peers(&[reader.clone(), heartbeat(9, age)], now);
    let of_third = peers(&[reader, heartbeat(5, Duration::from_secs(20))], now);

    for topic in TOPICS {
        assert_eq!(choice(5, 0.0, topic, &of_second, now), ReaderChoice::Reader);
        assert_eq!(choice(9, 0.0, topic, &of_third, now), ReaderChoice::Skip);
    }
}

/// Guards against reads by another data centre, whose reader may be sound though the entry that
/// speaks for it fails.
#[test]
fn entry_that_speaks_for_a_data_centre_is_judged_by_the_age_there() {
    let now = Instant::now();
    let mut speaker = failing(heartbeat(1, Duration::from_millis(300)));
    speaker.for_zone = true;
    let table = peers(&[speaker], now);

    for topic in TOPICS {
        assert_eq!(choice(5, 0.0, topic, &table, now), ReaderChoice::Skip);
    }
}

/// Guards against a reader that claims more than it knows, as it stood still before it handled an
/// answer, or as the answer ended a wait early.
#[test]
fn read_confirms_no_more_than_what_the_store_had_when_it_answered() {
    let asked_at = Instant::now();
    let wait = CONFIRMATION;
    let late = asked_at + Duration::from_secs(3);

    assert_eq!(confirmed_until(asked_at, wait, 0, late), asked_at + wait);
    assert_eq!(confirmed_until(asked_at, wait, 2, late), asked_at);
    assert_eq!(confirmed_until(asked_at, wait, 0, asked_at), asked_at);
}

/// Guards against an entry that waits for pulls which fail, as all pull a large version at once,
/// while the reader's confirmations count for a copy that is behind.
#[test]
fn entry_that_is_behind_reads_by_itself_unless_pulls_bring_what_is_new() {
    let now = Instant::now();
    let table = peers(&[heartbeat(1, Duration::from_millis(10))], now);
    let behind_for = |millis| ReaderInput {
        behind_since: now.checked_sub(Duration::from_millis(millis)),
        ..input(5, 0.0, StoreTopic::Operator, now)
    };
    // A heartbeat, the update at the next own one, one pull, the check, the read.
    let longest = HEARTBEAT * 2 + Duration::from_millis(700) + CHECK + SLOWEST_ANSWER;

    assert_eq!(
        choose_reader(&behind_for(600), &table, now),
        ReaderChoice::Skip
    );
    assert_eq!(
        choose_reader(&behind_for(700), &table, now),
        ReaderChoice::Stale
    );
    assert!(longest + ROOM <= BOUND);
}
