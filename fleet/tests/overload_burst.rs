//! A burst beyond what a group can serve in time: entries shed streams that would make all streams
//! late, share the limit by demand, and adapt it to the pauses between events.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::{AdmitDecision, GroupLimit, GroupLoad};

const PAUSE: Duration = Duration::from_millis(120);
const SLOTS: u32 = 192;

fn load(running: u32, own: u32, peer_demand: f64) -> GroupLoad {
    GroupLoad {
        slots: SLOTS,
        running,
        own,
        peer_demand,
        min_pass: Duration::from_millis(29),
    }
}

/// Runs the limit against a saturated group whose passes take `base` plus `per_stream` for each
/// running stream, in milliseconds; returns the final limit and pause.
fn converge(base: f64, per_stream: f64) -> (f64, f64) {
    let mut limit = GroupLimit::default();
    let start = Instant::now();
    let mut now = start;
    let mut pause = 0.0;
    for _ in 0..600 {
        let running = limit.limit(SLOTS);
        pause = base + per_stream * running;
        for _ in 0..10 {
            now += Duration::from_millis(10);
            limit.observe_pause(Duration::from_secs_f64(pause / 1e3), now);
        }
        limit.update(&load(running as u32, 9, 70.0), PAUSE, now);
    }
    (limit.limit(SLOTS), pause)
}

#[test]
fn pauses_converge_below_the_allowed_one() {
    let (_, pause) = converge(29.0, 0.8);
    assert!(
        (70.0..=PAUSE.as_millis() as f64).contains(&pause),
        "{pause} ms"
    );
}

#[test]
fn group_with_room_keeps_all_its_slots() {
    let (limit, _) = converge(29.0, 0.2);
    assert!(f64::from(SLOTS) * 0.95 <= limit, "{limit}");
}

#[test]
fn entry_with_twice_the_demand_gets_twice_the_share() {
    // Arrange
    let now = Instant::now();
    let mut small = GroupLimit::default();
    let mut large = GroupLimit::default();
    for _ in 0..10 {
        small.observe_arrival(now);
    }
    for _ in 0..20 {
        large.observe_arrival(now);
    }

    // Act
    let small_share = small.own_share(&load(0, 0, large.demand_at(now)), now);
    let large_share = large.own_share(&load(0, 0, small.demand_at(now)), now);

    // Assert
    assert!((large_share / small_share - 2.0).abs() < 0.01);
    assert!((small_share + large_share - f64::from(SLOTS)).abs() < 1.0);
}

#[test]
fn full_group_refuses_with_a_retry_time_and_one_with_room_admits() {
    // Arrange
    let now = Instant::now();
    let mut limit = GroupLimit::default();
    limit.observe_arrival(now);

    // Act
    let full = limit.admit(&load(SLOTS, 40, 70.0), now);
    let with_room = limit.admit(&load(SLOTS / 2, 40, 70.0), now);

    // Assert
    let AdmitDecision::Full(after) = full else {
        panic!("{full:?}");
    };
    assert!(Duration::from_millis(50) <= after && after <= Duration::from_millis(500));
    assert_eq!(with_room, AdmitDecision::Admit);
}
