//! Heartbeats between many entries in several data centres.
//!
//! What an entry sends and receives must grow with its data centre, not with the fleet, and the
//! sums that it sends to other data centres must cover all entries of its own and no others.

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhead_fleet::mirror::{StoreEra, StorePosition};
use comfreyhead_fleet::peers::{CopySpans, PeerHeartbeat, PeerTable, StoreTopic, TopicPosition};
use comfreyhead_fleet::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn address(zone: usize, entry: u8) -> SocketAddr {
    SocketAddr::from(([10, zone as u8, 0, entry], 7_340))
}

fn heartbeat(zone: usize, entry: u8) -> PeerHeartbeat {
    PeerHeartbeat {
        sender: u64::from(entry) * 10 + zone as u64,
        zone: ZONES[zone].to_owned(),
        draining: false,
        for_zone: false,
        version: None,
        operator: TopicPosition::default(),
        targets: TopicPosition::default(),
        running: vec![(1, 2), (u32::from(entry) + 100, 1)],
        demand: vec![(9, 1.5)],
        results: Vec::new(),
        spans: Some(CopySpans::default()),
    }
}

/// Returns the peer table of an entry that has received a heartbeat of every other entry.
fn peer_table(zone: usize, entry: u8, n_entries: u8, now: Instant) -> PeerTable {
    let mut table = PeerTable::default();
    for (peer_zone, name) in ZONES.iter().enumerate() {
        for other in 0..n_entries {
            if (peer_zone, other) != (zone, entry) {
                table.add(address(peer_zone, other), name);
                table.record_heartbeat(address(peer_zone, other), heartbeat(peer_zone, other), now);
            }
        }
    }
    table
}

#[test]
fn one_entry_of_each_data_centre_sends_to_the_other_data_centres() {
    // Arrange
    let now = Instant::now();

    // Act
    let receivers: Vec<_> = (0..50)
        .map(|entry| {
            peer_table(1, entry, 50, now).heartbeat_receivers(1, &heartbeat(1, entry), now)
        })
        .collect();

    // Assert
    assert_eq!(receivers[0].zone_heartbeat.len(), 100);
    assert!(
        receivers[1..]
            .iter()
            .all(|all| all.zone_heartbeat.is_empty())
    );
    assert!(receivers.iter().all(|all| all.own_heartbeat.len() == 49));
}

#[test]
fn every_entry_sends_to_all_data_centres_at_long_intervals() {
    // Arrange
    let now = Instant::now();
    let table = peer_table(1, 7, 50, now);

    // Act
    let receivers = table.heartbeat_receivers(16, &heartbeat(1, 7), now);

    // Assert
    assert_eq!(receivers.own_heartbeat.len(), 149);
}

#[test]
fn zone_heartbeat_holds_the_sums_of_its_data_centre_alone() {
    // Arrange
    let now = Instant::now();
    let table = peer_table(1, 0, 3, now);

    // Act
    let sums = table.zone_heartbeat(&heartbeat(1, 0), now);

    // Assert
    assert!(sums.for_zone);
    assert_eq!(sums.running, [(1, 6), (100, 1), (101, 1), (102, 1)]);
    assert_eq!(sums.demand, [(9, 4.5)]);
}

#[test]
fn next_entry_represents_its_zone_where_the_first_one_is_silent_or_stops() {
    // Arrange
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let mut table = peer_table(1, 1, 3, now);
    let mut stopping = heartbeat(1, 0);
    stopping.draining = true;

    // Act, assert
    assert!(!table.represents_zone(&heartbeat(1, 1), now));
    assert!(table.represents_zone(&heartbeat(1, 1), later));
    table.record_heartbeat(address(1, 0), stopping, now);
    assert!(table.represents_zone(&heartbeat(1, 1), now));
}

/// Guards against reads of the store by all entries of a data centre, each time that the one that
/// speaks for another does not vouch for its copy.
#[test]
fn confirmation_stays_while_its_sender_is_behind_and_ends_as_it_starts_anew() {
    // Arrange
    let now = Instant::now();
    let later = now + Duration::from_millis(250);
    let position = |offset, age_ms| TopicPosition {
        changed_end: StorePosition {
            era: StoreEra::default(),
            offset,
        },
        age_ms,
    };
    let confirmed_at =
        |table: &PeerTable| table.confirmed_at(StoreTopic::Targets, StoreEra::default(), later);
    let mut speaker = heartbeat(1, 0);
    let mut table = PeerTable::default();

    // Act, assert
    speaker.targets = position(40, 100);
    table.record_heartbeat(address(1, 0), speaker.clone(), now);
    speaker.targets = position(40, u32::MAX);
    table.record_heartbeat(address(1, 0), speaker.clone(), later);
    assert_eq!(
        confirmed_at(&table),
        now.checked_sub(Duration::from_millis(100))
    );
    speaker.targets = position(0, u32::MAX);
    table.record_heartbeat(address(1, 0), speaker, later);
    assert_eq!(confirmed_at(&table), None);
}

#[test]
fn confirmation_by_a_neighbour_counts_where_it_knows_of_no_later_change() {
    // Arrange
    let now = Instant::now();
    let position = |offset, age_ms| TopicPosition {
        changed_end: StorePosition {
            era: StoreEra::default(),
            offset,
        },
        age_ms,
    };
    let mut own = heartbeat(1, 0);
    own.targets = position(40, u32::MAX);
    let mut table = PeerTable::default();
    let mut neighbour = heartbeat(1, 1);

    // Act, assert
    neighbour.targets = position(40, 100);
    table.record_heartbeat(address(1, 1), neighbour.clone(), now);
    let later = now + Duration::from_millis(50);
    let position_sent = table
        .zone_heartbeat(&own, later)
        .position(StoreTopic::Targets);
    assert_eq!(position_sent, Some(position(40, 150)));
    neighbour.targets = position(41, 100);
    table.record_heartbeat(address(1, 1), neighbour, now);
    let position_sent = table
        .zone_heartbeat(&own, later)
        .position(StoreTopic::Targets);
    assert_eq!(position_sent, Some(position(40, u32::MAX)));
}
