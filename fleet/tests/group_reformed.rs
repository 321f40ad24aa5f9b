//! A group that stalls, refuses requests and forms again: its callers are refused at once with a
//! retry time, only a few requests probe whether the group serves again, and the agents beside its
//! ranks tell when all ranks are back and when the group has formed.

use std::net::IpAddr;
use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::{GROUP_RECOVERY_TIME, GroupHealth, GroupState, RankStatus};

const FORM_TIME: Duration = Duration::from_millis(600);

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
    assert_eq!(group.admit(3, FORM_TIME, now + ms(20)), GroupState::Open);
}

#[test]
fn refusals_of_two_targets_break_a_group_until_a_stream_progresses() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    group.record_refusal(&"t1".into(), now);
    group.record_refusal(&"t2".into(), now + ms(10));

    // Act, assert
    assert_eq!(group.admit(3, FORM_TIME, now + ms(20)), GroupState::Probe);
    assert_eq!(
        group.admit(3, FORM_TIME, now + ms(30)),
        GroupState::Broken(GROUP_RECOVERY_TIME)
    );
    group.record_progress(now + ms(40));
    assert_eq!(group.admit(3, FORM_TIME, now + ms(50)), GroupState::Open);
}

// Guards against refusals of a sound group that is silent for a second or two and goes on.
#[test]
fn silence_alone_breaks_no_group_and_its_agents_are_asked() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    group.record_progress(now);
    let ranks: Vec<IpAddr> = (0..N_RANKS).map(rank).collect();

    // Act, assert
    assert!(group.next_asked(4, &ranks, now + ms(400)).is_empty());
    for at in (500..5_000).step_by(100) {
        let at = now + ms(at);
        assert!(!group.next_asked(4, &ranks, at).is_empty());
        assert_eq!(group.admit(4, FORM_TIME, at), GroupState::Open);
    }
}

#[test]
fn silent_group_is_broken_once_an_agent_reports_it() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    group.record_progress(now);
    let ranks: Vec<IpAddr> = (0..N_RANKS).map(rank).collect();
    let at = now + ms(600);
    group.next_asked(4, &ranks, at);

    // Act
    group.record_report(rank(0), status(false, 3), at + ms(5));

    // Assert
    let state = group.admit(4, FORM_TIME, at + ms(10));
    assert_eq!(state, GroupState::Broken(GROUP_RECOVERY_TIME));
}

#[test]
fn idle_group_stays_open_and_its_agents_are_not_asked() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    group.record_progress(now);
    let ranks: Vec<IpAddr> = (0..N_RANKS).map(rank).collect();

    // Act, assert
    let at = now + ms(5_000);
    assert_eq!(group.admit(0, FORM_TIME, at), GroupState::Open);
    assert!(group.next_asked(2, &ranks, at + ms(100)).is_empty());
}

#[test]
fn few_requests_probe_a_broken_group() {
    // Arrange
    let now = Instant::now();
    let mut group = GroupHealth::default();
    let mut n_probes = 0;

    // Act: the group refuses what reaches it for 2 s.
    for tick in 0..200 {
        let at = now + ms(10 * tick);
        group.record_refusal(&"t1".into(), at);
        group.record_refusal(&"t2".into(), at);
        n_probes += usize::from(group.admit(4, FORM_TIME, at) == GroupState::Probe);
    }

    // Assert: one probe per 0.4 s over 2 s.
    assert!((4..=6).contains(&n_probes), "{n_probes}");
}

const N_RANKS: u8 = 12;

fn rank(n_rank: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n_rank])
}

fn status(open: bool, epoch: u64) -> RankStatus {
    RankStatus {
        open,
        epoch,
        size: u16::from(N_RANKS),
    }
}

/// Returns a group of 12 ranks that refuses requests, and whose agents are asked from `now` on.
fn broken_group(now: Instant) -> GroupHealth {
    let mut group = GroupHealth::default();
    group.record_refusal(&"t1".into(), now);
    group.record_refusal(&"t2".into(), now);
    let ranks: Vec<IpAddr> = (0..N_RANKS).map(rank).collect();
    assert_eq!(group.next_asked(0, &ranks, now).len(), 6);
    group
}

/// Lets the first `n_reporting` ranks report each 200 ms that the group is broken.
fn report_broken(group: &mut GroupHealth, n_reporting: u8, from: Instant, n_rounds: u64) {
    for round in 0..n_rounds {
        for n_rank in 0..n_reporting {
            let at = from + ms(200 * round);
            assert!(!group.record_report(rank(n_rank), status(false, 3), at));
        }
    }
}

#[test]
fn ranks_are_asked_in_turn_while_a_group_does_not_serve() {
    // Arrange
    let now = Instant::now();
    let mut group = broken_group(now);
    let ranks: Vec<IpAddr> = (0..N_RANKS).map(rank).collect();

    // Act
    let mut asked: Vec<IpAddr> = group.next_asked(0, &ranks, now).to_vec();
    asked.extend(group.next_asked(0, &ranks, now));
    asked.sort_unstable();
    group.record_progress(now);

    // Assert
    assert_eq!(asked, ranks);
    assert!(group.next_asked(0, &ranks, now).is_empty());
}

#[test]
fn callers_wait_for_a_group_that_forms_and_are_refused_while_ranks_are_missing() {
    // Arrange
    let now = Instant::now();
    let mut group = broken_group(now);

    // Act: a data centre with four ranks is cut off for two seconds.
    report_broken(&mut group, 8, now, 10);
    let while_cut = group.admit(0, FORM_TIME, now + ms(1_900));
    report_broken(&mut group, N_RANKS, now + ms(2_000), 3);
    let after_cut = group.admit(0, FORM_TIME, now + ms(2_450));
    let n_rank = 5;
    let has_formed = group.record_report(rank(n_rank), status(true, 4), now + ms(2_600));

    // Assert
    assert_eq!(while_cut, GroupState::Broken(GROUP_RECOVERY_TIME));
    assert_eq!(after_cut, GroupState::Forming(now + ms(2_900)));
    assert!(has_formed);
    assert_eq!(group.admit(0, FORM_TIME, now + ms(2_610)), GroupState::Open);
}

#[test]
fn nobody_waits_for_a_group_that_does_not_form_in_its_time() {
    // Arrange
    let now = Instant::now();
    let mut group = broken_group(now);
    report_broken(&mut group, 8, now, 10);

    // Act
    report_broken(&mut group, N_RANKS, now + ms(2_000), 12);

    // Assert
    let state = group.admit(0, FORM_TIME, now + ms(4_300));
    assert_eq!(state, GroupState::Broken(GROUP_RECOVERY_TIME));
}

#[test]
fn ranks_that_wait_for_a_lost_one_do_not_show_a_formed_group() {
    // Arrange
    let now = Instant::now();
    let mut group = broken_group(now);

    // Act, assert: the old epoch counts as open until the ranks give up.
    assert!(!group.record_report(rank(1), status(true, 3), now + ms(100)));
    report_broken(&mut group, 8, now + ms(1_500), 1);
    assert!(!group.record_report(rank(1), status(true, 3), now + ms(1_600)));
    assert!(group.is_broken(now + ms(1_700)));
}

#[test]
fn no_request_probes_a_group_that_ranks_report_as_broken() {
    // Arrange
    let now = Instant::now();
    let mut group = broken_group(now);
    report_broken(&mut group, 8, now, 20);

    // Act
    let states: Vec<GroupState> = (0..20)
        .map(|tick| group.admit(0, FORM_TIME, now + ms(2_000 + 100 * tick)))
        .collect();

    // Assert
    assert!(!states.contains(&GroupState::Probe), "{states:?}");
}
