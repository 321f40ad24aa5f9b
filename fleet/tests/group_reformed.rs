//! A group that stalls, refuses requests and forms again: its callers are refused at once with a
//! retry time, and only a few requests probe whether the group serves again.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::{GROUP_RECOVERY_TIME, GroupHealth, GroupState};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn one_full_target_does_not_break_a_group() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();

    // Act
    group.record_refusal(&"t1".into(), now);
    group.record_refusal(&"t1".into(), now + ms(10));

    // Assert
    assert_eq!(group.admit(3, now + ms(20)), GroupState::Open);
}

#[test]
fn refusals_of_two_targets_break_a_group_until_a_stream_progresses() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    group.record_refusal(&"t1".into(), now);
    group.record_refusal(&"t2".into(), now + ms(10));

    // Act, assert
    assert_eq!(group.admit(3, now + ms(20)), GroupState::Probe);
    assert_eq!(
        group.admit(3, now + ms(30)),
        GroupState::Broken(GROUP_RECOVERY_TIME)
    );
    group.record_progress(now + ms(40));
    assert_eq!(group.admit(3, now + ms(50)), GroupState::Open);
}

#[test]
fn streams_without_events_break_a_group_and_an_idle_group_stays_open() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    group.record_progress(now);

    // Act, assert
    assert!(!group.is_broken(4, now + ms(400)));
    assert!(group.is_broken(4, now + ms(600)));
    assert_eq!(group.admit(0, now + ms(5_000)), GroupState::Open);
    assert!(!group.is_broken(2, now + ms(5_100)));
}

#[test]
fn few_requests_probe_a_broken_group() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    group.record_progress(now);

    // Act
    let n_probes = (0..200)
        .map(|tick| now + ms(1_000 + 10 * tick))
        .filter(|&at| group.admit(4, at) == GroupState::Probe)
        .count();

    // Assert: one probe per 0.4 s over 2 s.
    assert!((4..=6).contains(&n_probes), "{n_probes}");
}
