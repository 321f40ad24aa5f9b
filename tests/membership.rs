//! Membership: leaving targets, lost signals, subsets, and the reconnection of many processes.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use comfreyhead::prelude::*;
use comfreyhead::process::membership::{
    AgentReadiness, AgentReport, DispatchSignal, HEARTBEAT_INTERVAL, MembershipEvent,
    MembershipTable, StateReason, TargetState, VmState, reconnect_delay, subsets,
};

/// The required time after which a target that started to leave receives no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// The largest delay of the platform's list.
const LIST_LAG: Duration = Duration::from_secs(30);

fn target() -> TargetName {
    TargetName::from("t1")
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn report(incarnation: u64, readiness: AgentReadiness, heartbeat_at: Timestamp) -> MembershipEvent {
    MembershipEvent::Report(AgentReport {
        target: target(),
        incarnation: ProcessIncarnation(incarnation),
        readiness,
        heartbeat_at,
    })
}

fn dispatch(signal: DispatchSignal, sent_at: Timestamp) -> MembershipEvent {
    MembershipEvent::Dispatch {
        target: target(),
        incarnation: ProcessIncarnation(1),
        sent_at,
        signal,
    }
}

fn table_after(events: impl IntoIterator<Item = MembershipEvent>) -> MembershipTable {
    let mut table = MembershipTable::new();
    table.set_targets([target()]);
    for event in events {
        table.on_event(event);
    }
    table
}

fn state(table: &MembershipTable, now: Timestamp) -> TargetState {
    table.status(&target(), now).state
}

#[test]
fn a_target_that_says_it_leaves_gets_nothing_new_though_the_list_lags() {
    let table = table_after([
        MembershipEvent::VmList(vec![(target(), VmState::Live)]),
        report(1, AgentReadiness::Ready, at(0)),
        report(1, AgentReadiness::Leaving, at(0)),
        report(1, AgentReadiness::Ready, at(700)),
    ]);

    let status = table.status(&target(), at(800));

    assert_eq!(status.state, TargetState::Leaving);
    assert_eq!(status.reason, StateReason::LeavingReport);
}

#[test]
fn a_target_is_silent_only_while_its_next_report_may_be_late() {
    let ready = report(1, AgentReadiness::Ready, at(0));
    let leaving = report(1, AgentReadiness::Leaving, at(0));
    let table = table_after([ready.clone()]);
    let left = table_after([ready, leaving]);
    let never_heard = table_after([]);

    let silent = [2_399, 2_400, 4_999, 5_000].map(|now| table.is_silent(&target(), at(now)));

    assert_eq!(silent, [false, true, true, false]);
    assert!(!left.is_silent(&target(), at(3_000)));
    assert!(!never_heard.is_silent(&target(), at(3_000)));
}

#[test]
fn a_lost_leaving_signal_costs_less_than_the_limit_on_a_partitioned_side() {
    let leaves_at = at(10_000);
    let mut table = table_after([MembershipEvent::VmList(vec![(target(), VmState::Live)])]);
    let mut sent = at(0);
    while sent < leaves_at {
        table.on_event(report(1, AgentReadiness::Ready, sent));
        sent = sent + HEARTBEAT_INTERVAL;
    }

    let mut now = leaves_at + LEAVE_LIMIT;
    while now < leaves_at + LIST_LAG {
        table.on_event(MembershipEvent::VmList(vec![(target(), VmState::Live)]));
        assert_ne!(state(&table, now), TargetState::Eligible, "at {now}");
        now = now + Duration::from_millis(100);
    }
}

#[test]
fn a_report_that_was_long_under_way_renews_nothing() {
    let table = table_after([report(1, AgentReadiness::Ready, at(1_000))]);

    let status = table.status(&target(), at(6_000));

    assert_eq!(status.state, TargetState::Unknown);
    assert_eq!(status.reason, StateReason::ReportExpired);
}

#[test]
fn the_list_alone_stops_new_work() {
    let leaving = [
        report(1, AgentReadiness::Ready, at(0)),
        MembershipEvent::VmList(vec![(target(), VmState::Leaving)]),
    ];
    let gone = [
        report(1, AgentReadiness::Ready, at(0)),
        MembershipEvent::VmList(vec![(target(), VmState::Live)]),
        MembershipEvent::VmList(vec![]),
    ];

    let leaving = table_after(leaving);
    let gone = table_after(gone);

    assert_eq!(state(&leaving, at(1)), TargetState::Leaving);
    assert_eq!(state(&gone, at(1)), TargetState::Down);
}

#[test]
fn failed_dispatches_take_a_target_out_until_its_next_report() {
    let mut table = table_after([
        report(1, AgentReadiness::Ready, at(0)),
        dispatch(DispatchSignal::Unreachable, at(100)),
        dispatch(DispatchSignal::Unreachable, at(110)),
        report(1, AgentReadiness::Ready, at(90)),
    ]);

    let failed = state(&table, at(120));
    table.on_event(report(1, AgentReadiness::Ready, at(200)));

    assert_eq!(failed, TargetState::Down);
    assert_eq!(state(&table, at(300)), TargetState::Eligible);
}

#[test]
fn a_refusal_counts_for_its_life_and_a_new_life_starts_afresh() {
    let mut table = table_after([
        report(1, AgentReadiness::Ready, at(0)),
        dispatch(DispatchSignal::RefusedLeaving, at(100)),
    ]);

    let refused = state(&table, at(200));
    table.on_event(report(2, AgentReadiness::Ready, at(300)));
    table.on_event(dispatch(DispatchSignal::RefusedLeaving, at(310)));
    table.on_event(report(1, AgentReadiness::Leaving, at(320)));

    assert_eq!(refused, TargetState::Leaving);
    assert_eq!(state(&table, at(400)), TargetState::Eligible);
}

fn names<T: From<String>>(prefix: &str, n: usize) -> Vec<T> {
    (0..n)
        .map(|idx| T::from(format!("{prefix}{idx}")))
        .collect()
}

#[test]
fn subsets_are_even_and_cover_every_target() {
    let entries: Vec<EntryName> = names("entry", 22);
    let targets: Vec<TargetName> = names("target", 137);

    let subsets = subsets(&"llm".into(), &entries, &targets, 16);

    let mut subscribers: BTreeMap<&TargetName, usize> = BTreeMap::new();
    for chosen in subsets.values() {
        assert_eq!(chosen.iter().collect::<BTreeSet<_>>().len(), 16);
        for target in chosen {
            *subscribers.entry(target).or_default() += 1;
        }
    }
    assert_eq!(subscribers.len(), targets.len());
    let share = (22 * 16usize).div_ceil(137);
    assert!(subscribers.values().all(|count| *count <= share + 1));
}

#[test]
fn a_lost_log_is_not_stormed_by_540_processes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut tries: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..540 {
        let mut now = Duration::ZERO;
        for attempt in 0..6 {
            now += reconnect_delay(attempt, &mut rng);
            *tries.entry(now.as_secs()).or_default() += 1;
        }
    }

    let most = tries.values().max();

    assert!(most <= Some(&300), "too many attempts per second: {most:?}");
}

proptest! {
    #![proptest_config(Config {
        cases: std::env::var("COMFREYHEAD_CASES")
            .ok()
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(256),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    })]

    /// Reports are lost, delayed, duplicated and reordered, the list is late, and all
    /// reports sent from `cut_ms` on are lost.
    #[test]
    fn no_new_work_once_a_target_has_been_leaving_for_the_limit(
        leaves_ms in 1_000..20_000u64,
        cut_ms in 0..20_000u64,
        deliveries in prop::collection::vec((any::<bool>(), 0..9_000u64, 0..9_000u64), 40),
    ) {
        let mut arrivals: Vec<(u64, MembershipEvent)> = Vec::new();
        let interval = HEARTBEAT_INTERVAL.as_millis() as u64;
        for (idx, (lost, delay, copy_delay)) in deliveries.iter().enumerate() {
            let sent = idx as u64 * interval;
            if *lost || cut_ms <= sent {
                continue;
            }
            let leaving = leaves_ms <= sent;
            let readiness = if leaving { AgentReadiness::Leaving } else { AgentReadiness::Ready };
            for delay in [delay, copy_delay] {
                arrivals.push((sent + delay, report(1, readiness, at(sent))));
            }
        }
        for listed_ms in (0..60_000).step_by(1_000) {
            let seen = listed_ms as u64;
            let left = leaves_ms + LIST_LAG.as_millis() as u64 <= seen;
            let state = if left { VmState::Leaving } else { VmState::Live };
            arrivals.push((seen, MembershipEvent::VmList(vec![(target(), state)])));
        }
        arrivals.sort_by_key(|(arrival, _)| *arrival);

        let mut table = table_after([]);
        for (arrival, event) in arrivals {
            table.on_event(event);
            if leaves_ms + LEAVE_LIMIT.as_millis() as u64 <= arrival {
                prop_assert_ne!(state(&table, at(arrival)), TargetState::Eligible);
            }
        }
    }
}
