//! Many entries in several data centres: what an entry sends and hears grows with its data centre,
//! and the sums that cross data centres are those of all entries there.

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhead_fleet::peers::{PeerHeartbeat, PeerTable, StoreTopic, TopicPosition};
use comfreyhead_fleet::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn address(zone: usize, entry: u8) -> SocketAddr {
    SocketAddr::from(([10, zone as u8, 0, entry], 7_340))
}

fn beat(zone: usize, entry: u8) -> PeerHeartbeat {
    PeerHeartbeat {
        sender: u64::from(entry) * 10 + zone as u64,
        zone: ZONES[zone].to_owned(),
        draining: false,
        for_zone: false,
        operator: TopicPosition::default(),
        targets: TopicPosition::default(),
        running: vec![(1, 2), (u32::from(entry) + 100, 1)],
        demand: vec![(9, 1.5)],
    }
}

/// Returns what an entry knows that has heard all others.
fn table_of(zone: usize, entry: u8, n_entries: u8, now: Instant) -> PeerTable {
    let mut table = PeerTable::default();
    for (far_zone, name) in ZONES.iter().enumerate() {
        for other in 0..n_entries {
            if (far_zone, other) != (zone, entry) {
                table.add(address(far_zone, other), name);
                table.record_heartbeat(address(far_zone, other), beat(far_zone, other), now);
            }
        }
    }
    table
}

#[test]
fn one_entry_of_each_data_centre_tells_the_others() {
    // Arrange
    let now = Instant::now();

    // Act
    let receivers: Vec<_> = (0..50)
        .map(|entry| table_of(1, entry, 50, now).heartbeat_receivers(1, &beat(1, entry), now))
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
fn all_entries_learn_of_each_other_now_and_then() {
    // Arrange
    let now = Instant::now();
    let table = table_of(1, 7, 50, now);

    // Act
    let receivers = table.heartbeat_receivers(16, &beat(1, 7), now);

    // Assert
    assert_eq!(receivers.own_heartbeat.len(), 149);
}

#[test]
fn zone_beat_holds_the_sums_of_its_data_centre_alone() {
    // Arrange
    let now = Instant::now();
    let table = table_of(1, 0, 3, now);

    // Act
    let sums = table.zone_heartbeat(&beat(1, 0), now);

    // Assert
    assert!(sums.for_zone);
    assert_eq!(sums.running, [(1, 6), (100, 1), (101, 1), (102, 1)]);
    assert_eq!(sums.demand, [(9, 4.5)]);
}

#[test]
fn next_entry_speaks_where_the_first_one_is_silent_or_stops() {
    // Arrange
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let mut table = table_of(1, 1, 3, now);
    let mut stopping = beat(1, 0);
    stopping.draining = true;

    // Act, assert
    assert!(!table.represents_zone(&beat(1, 1), now));
    assert!(table.represents_zone(&beat(1, 1), later));
    table.record_heartbeat(address(1, 0), stopping, now);
    assert!(table.represents_zone(&beat(1, 1), now));
}

#[test]
fn what_a_neighbour_confirmed_holds_for_a_speaker_that_knows_as_much() {
    // Arrange
    let now = Instant::now();
    let position = |changed_end, age_ms| TopicPosition {
        changed_end,
        age_ms,
    };
    let mut own = beat(1, 0);
    own.targets = position(40, u32::MAX);
    let mut table = PeerTable::default();
    let mut neighbour = beat(1, 1);

    // Act, assert
    neighbour.targets = position(40, 100);
    table.record_heartbeat(address(1, 1), neighbour.clone(), now);
    let later = now + Duration::from_millis(50);
    let told = table
        .zone_heartbeat(&own, later)
        .position(StoreTopic::Targets);
    assert_eq!(told, Some(position(40, 150)));
    neighbour.targets = position(41, 100);
    table.record_heartbeat(address(1, 1), neighbour, now);
    let told = table
        .zone_heartbeat(&own, later)
        .position(StoreTopic::Targets);
    assert_eq!(told, Some(position(40, u32::MAX)));
}
