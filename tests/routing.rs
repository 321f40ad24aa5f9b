//! Target selection and admission at an agent.

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{
    AdmissionAction, AdmissionDecision, AgentAdmission, CacheEvent, DispatchResult, LoadReport,
    PrefixHash, RefusalReason, RouteDecision, RouteQuery, RouteReason, RouteRefusal, ServiceTime,
    TargetEligibility, TargetTable, WorkCancel, WorkOffer, WorkSharing, prefix_hashes,
};
use comfreyhead::request::WorkId;
use comfreyhead::version::config::TargetRole;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const SLOTS: u32 = 8;

#[test]
fn the_estimate_counts_own_dispatches_until_a_report_includes_them() {
    let mut table = table_of(1);
    table.observe_report(now(), &target(0), &report(1, 3));

    table.dispatched(&target(0), work(1), &[]);
    let unconfirmed = table.estimated_load(now(), &target(0));
    table.admitted(work(1), 1);
    let confirmed = table.estimated_load(now(), &target(0));
    table.observe_report(now(), &target(0), &report(2, 4));
    let reported = table.estimated_load(now(), &target(0));
    table.finished(now(), work(1), DispatchResult::Answered { sequence: 2 });
    let ended = table.estimated_load(now(), &target(0));

    let loads = [unconfirmed, confirmed, reported, ended];
    assert_eq!(loads, [Some(4), Some(4), Some(4), Some(3)]);
}

#[test]
fn a_report_made_before_an_answer_ends_counts_without_the_ended_work() {
    let mut table = table_of(1);
    table.observe_report(now(), &target(0), &report(1, SLOTS));
    table.dispatched(&target(0), work(1), &[]);
    table.admitted(work(1), 1);

    // The report still counts the work that is about to end, so the answer names its number.
    table.observe_report(now(), &target(0), &report(2, 1));
    table.finished(now(), work(1), DispatchResult::Answered { sequence: 2 });

    assert_eq!(table.estimated_load(now(), &target(0)), Some(0));
}

#[test]
fn a_report_that_comes_late_is_ignored() {
    let mut table = table_of(1);

    table.observe_report(now(), &target(0), &report(5, 2));
    table.observe_report(now(), &target(0), &report(4, 7));

    assert_eq!(table.estimated_load(now(), &target(0)), Some(2));
}

#[test]
fn the_less_loaded_of_two_targets_is_chosen() {
    let mut table = table_of(2);
    table.observe_report(now(), &target(0), &report(1, 6));
    table.observe_report(now(), &target(1), &report(1, 1));

    let decisions: Vec<_> = (0..20).map(|seed| choose(&table, &[], seed)).collect();

    assert!(decisions.iter().all(|decision| is_for(decision, 1)));
    let line = decisions[0].as_ref().expect("chosen").to_string();
    insta::assert_snapshot!(
        line,
        @"target=target-1 runner_up=target-0 reason=lower-load load=0.25"
    );
}

#[test]
fn a_slow_target_is_detected_and_avoided() {
    let mut table = table_of(5);
    for target_idx in 0..5 {
        let mut report = report(1, 2);
        report.step_time_us = if target_idx == 3 { 120_000 } else { 38_000 };
        table.observe_report(now(), &target(target_idx), &report);
    }
    let later = now() + Duration::from_secs(2);
    for target_idx in 0..5 {
        let mut report = report(2, 2);
        report.made_at = later;
        report.step_time_us = if target_idx == 3 { 120_000 } else { 38_000 };
        table.observe_report(later, &target(target_idx), &report);
    }

    let n_slow = (0..200)
        .filter(|&seed| is_for(&choose(&table, &[], seed), 3))
        .count();

    assert!(table.is_slow(&target(3)));
    assert!(!table.is_slow(&target(2)));
    assert_eq!(n_slow, 0);
}

#[test]
fn a_cached_prefix_attracts_requests_up_to_the_load_bound() {
    let prefixes = prefix_hashes("model", &[7; 10_000]);
    let mut table = table_of(4);
    for target_idx in 0..4 {
        table.observe_report(now(), &target(target_idx), &report(1, 2));
    }
    let stored = CacheEvent::Stored(prefixes.to_vec());
    table.observe_cache_event(&target(2), &stored);

    let free = choose(&table, &prefixes, 1);
    table.observe_report(now(), &target(2), &report(2, 7));
    let loaded = choose(&table, &prefixes, 1);
    table.observe_report(now(), &target(2), &report(3, 2));
    table.observe_cache_event(&target(2), &CacheEvent::Cleared);
    let cleared = choose(&table, &prefixes, 1);

    let reason_of =
        |decision: &Result<RouteDecision, RouteRefusal>| decision.as_ref().expect("chosen").reason;
    assert!(is_for(&free, 2));
    assert_eq!(reason_of(&free), RouteReason::CachedPrefix { blocks: 9 });
    assert_eq!(reason_of(&loaded), RouteReason::LowerLoad);
    assert_eq!(reason_of(&cleared), RouteReason::LowerLoad);
}

#[test]
fn no_cached_prefix_is_followed_while_the_pool_is_full() {
    let prefixes = prefix_hashes("model", &[7; 10_000]);
    let mut table = table_of(4);
    let later = now() + Duration::from_secs(2);
    for at in [now(), later] {
        let sequence = at.as_millis();
        table.observe_report(at, &target(2), &report(sequence, 7));
        for target_idx in [0, 1, 3, 0] {
            table.observe_report(at, &target(target_idx), &report(sequence, SLOTS));
        }
    }
    table.observe_cache_event(&target(2), &CacheEvent::Stored(prefixes.to_vec()));

    let decision = choose(&table, &prefixes, 1).expect("chosen");

    assert_eq!(decision.reason, RouteReason::LowerLoad);
}

#[test]
fn prompts_of_two_models_share_no_prefix() {
    let prompt = [7; 3_000];

    let ours = prefix_hashes("model-a", &prompt);
    let other = prefix_hashes("model-b", &prompt);
    let longer = prefix_hashes("model-a", &[7; 5_000]);

    assert_eq!(ours.len(), 2);
    assert_ne!(ours[0], other[0]);
    assert_eq!(ours[..], longer[..2]);
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut table = table_of(2);
    for target_idx in 0..2 {
        let mut report = report(1, SLOTS + 4);
        report.service_time = ServiceTime {
            mean_s: 20.0,
            deviation_s: 0.0,
            mean_cost: 200.0,
        };
        table.observe_report(now(), &target(target_idx), &report);
    }

    let refusal = choose(&table, &[], 1).expect_err("30 s are too short");

    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert!(Duration::from_secs(1) <= refusal.retry_after);
}

#[test]
fn refused_callers_get_jittered_retry_delays() {
    let table = TargetTable::new("dc-1".into());

    let mut times: Vec<_> = (0..20)
        .map(|seed| {
            choose(&table, &[], seed)
                .expect_err("no target")
                .retry_after
        })
        .collect();
    times.sort();
    times.dedup();

    assert!(15 < times.len());
}

#[test]
fn a_failing_target_is_ejected_until_no_other_is_left() {
    let mut table = table_of(2);
    for attempt in 0..3 {
        table.dispatched(&target(0), work(attempt), &[]);
        table.finished(now(), work(attempt), DispatchResult::Unreachable);
    }

    let is_ejected = (0..50).all(|seed| is_for(&choose(&table, &[], seed), 1));
    table.set_eligible(&target(1), TargetEligibility::Leaving);
    let last = choose(&table, &[], 1).expect("the last one is tried");

    assert!(is_ejected);
    assert_eq!(last.reason, RouteReason::LastResort);
}

#[test]
fn replaced_targets_leave_no_state_behind() {
    let mut table = table_of(3);
    let prefixes = prefix_hashes("model", &[7; 3_000]);

    for generation in 3..200 {
        table.dispatched(&target(generation - 3), work(generation as u32), &prefixes);
        table.remove_target(&target(generation - 3));
        table.finished(now(), work(generation as u32), DispatchResult::Refused);
        table.set_target(&target(generation), &role(), SLOTS, &"dc-1".into());
        table.set_eligible(&target(generation), TargetEligibility::Eligible);
    }
    let decision = choose(&table, &prefixes, 1).expect("chosen");

    assert_eq!(table.targets().count(), 3);
    assert_eq!(table.n_allocated(), 3);
    assert_eq!(decision.reason, RouteReason::LowerLoad);
}

#[test]
fn another_data_centre_takes_requests_when_the_own_one_is_full() {
    let mut table = table_of(2);
    table.set_target(&target(2), &role(), SLOTS, &"dc-2".into());
    table.set_eligible(&target(2), TargetEligibility::Eligible);
    for target_idx in 0..3 {
        table.observe_report(now(), &target(target_idx), &report(1, 2));
    }

    let local = choose(&table, &[], 1);
    for target_idx in 0..2 {
        table.observe_report(now(), &target(target_idx), &report(2, SLOTS));
    }
    let remote = choose(&table, &[], 1);

    assert!(!is_for(&local, 2));
    assert!(is_for(&remote, 2));
}

#[test]
fn only_eligible_untried_targets_are_chosen_after_any_events() {
    let step = (0..7_u32, 0..6_usize, 0..20_u32);
    let steps = proptest::collection::vec(step, 1..120);

    fixed_runner(300)
        .run(&(steps, any::<u64>()), |(steps, seed)| {
            let mut table = table_of(6);
            let mut eligible = [true; 6];
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            for (number, (action, target_idx, value)) in steps.into_iter().enumerate() {
                let at = now() + Duration::from_millis(100 * number as u64);
                let name = target(target_idx);
                match action {
                    0 => {
                        eligible[target_idx] = value % 2 == 0;
                        table.set_eligible(&name, eligibility(value));
                    }
                    1 => table.observe_report(at, &name, &report(number as u64, value)),
                    2 => table.dispatched(&name, work(number as u32), &[PrefixHash(1)]),
                    3 => table.admitted(work(value), u64::from(value)),
                    4 => table.finished(at, work(value), DispatchResult::Unreachable),
                    5 => table.set_target(&name, &role(), value, &"dc-2".into()),
                    _ => {
                        table.remove_target(&name);
                        table.set_target(&name, &role(), value, &"dc-1".into());
                        eligible[target_idx] = false;
                    }
                }
                let tried = [target(value as usize % 6)];
                let query = RouteQuery {
                    role: &role(),
                    prefixes: &[PrefixHash(1)],
                    cost: 200,
                    tried: &tried,
                    deadline: at + Duration::from_secs(30),
                };
                if let Ok(decision) = table.choose(at, &query, &mut rng) {
                    prop_assert!(!tried.contains(&decision.target));
                    let chosen = (0..6).find(|&chosen| target(chosen) == decision.target);
                    prop_assert!(eligible[chosen.expect("known")]);
                }
            }
            Ok(())
        })
        .expect("only eligible untried targets are chosen");
}

#[test]
fn an_agent_admits_within_its_bounds_after_any_events() {
    let step = (0..8_u32, 1..40_u32, 1..400_u64);
    let steps = proptest::collection::vec(step, 1..200);

    fixed_runner(300)
        .run(&steps, |steps| {
            let mut admission = AgentAdmission::new(ProcessIncarnation(1), 3);
            let mut at = now();
            let mut held = std::collections::HashSet::new();
            for (action, attempt, millis) in steps {
                at = at + Duration::from_millis(millis);
                let actions = match action {
                    0..=3 => {
                        let (decision, actions) = admission.admit(at, offer(attempt, millis));
                        let is_taken =
                            matches!(decision, AdmissionDecision::Start | AdmissionDecision::Wait);
                        prop_assert!(!is_taken || held.insert(work(attempt)));
                        actions
                    }
                    4 => {
                        admission.cancel(at, &cancel(attempt));
                        admission.advance(at)
                    }
                    5 => admission.advance(at),
                    _ => admission.finished(at, work(attempt)),
                };
                for action in actions {
                    let (AdmissionAction::Start(work) | AdmissionAction::Refuse { work, .. }) =
                        action;
                    prop_assert!(
                        held.contains(&work),
                        "an action is about work that was taken"
                    );
                }
            }
            admission.drain();
            let running: Vec<_> = admission.running().collect();
            for work in running {
                admission.finished(at, work);
            }
            admission.advance(at + Duration::from_secs(1));
            let running: Vec<_> = admission.running().collect();
            for work in running {
                admission.finished(at, work);
            }
            prop_assert!(admission.is_drained());
            Ok(())
        })
        .expect("the agent stays within its bounds");
}

#[test]
fn an_agent_takes_work_again_after_a_stall_that_outlasted_every_deadline() {
    let mut admission = AgentAdmission::new(ProcessIncarnation(1), 2);
    let mut at = now();
    for attempt in 1..200 {
        admission.admit(at, offer(5 * attempt + 1, 1_000_000));
        at = at + Duration::from_secs(60);
        admission.finished(at, work(5 * attempt + 1));
    }

    let mut fresh = offer(2, 30_000);
    fresh.accepted_at = at;
    let (decision, _) = admission.admit(at, fresh);

    assert_eq!(decision, AdmissionDecision::Start);
}

#[test]
fn an_idle_target_is_chosen_after_a_stall_that_outlasted_every_deadline() {
    let mut table = table_of(2);
    for target_idx in 0..2 {
        let mut report = report(1, 0);
        report.service_time.mean_s = 60.0;
        table.observe_report(now(), &target(target_idx), &report);
    }

    let decision = choose(&table, &[], 1);

    assert!(decision.is_ok());
}

#[test]
fn a_standing_queue_is_kept_shorter() {
    let mut admission = AgentAdmission::new(ProcessIncarnation(1), 16);
    let waiting_at = |admission: &mut AgentAdmission, from: u32, at: Timestamp| {
        for attempt in from..from + 40 {
            admission.admit(at, offer(5 * attempt + 1, 60_000));
        }
        admission.n_waiting()
    };

    let burst = waiting_at(&mut admission, 1, now());
    let later = now() + Duration::from_secs(3);
    for attempt in 1..=3 {
        admission.finished(later, work(5 * attempt + 1));
    }
    let standing = waiting_at(&mut admission, 100, later);

    assert_eq!(burst, 4);
    assert!(standing <= 2);
}

#[test]
fn a_draining_agent_refuses_new_work_and_finishes_held_work() {
    let mut admission = AgentAdmission::new(ProcessIncarnation(1), 2);
    admission.admit(now(), offer(2, 500));

    admission.drain();
    let (decision, _) = admission.admit(now(), offer(4, 500));
    let before = admission.is_drained();
    admission.finished(now(), work(2));

    assert!(matches!(
        decision,
        AdmissionDecision::Refused {
            reason: RefusalReason::Draining,
            ..
        }
    ));
    assert!(!before);
    assert!(admission.is_drained());
}

fn fixed_runner(n_cases: u32) -> TestRunner {
    let cases = std::env::var("COMFREYHEAD_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(n_cases);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn now() -> Timestamp {
    Timestamp::from_millis(100_000)
}

fn role() -> TargetRole {
    TargetRole::Model("model".into())
}

fn target(target_idx: usize) -> TargetName {
    format!("target-{target_idx}").into()
}

fn work(attempt: u32) -> WorkId {
    WorkId {
        request: RequestId(Uuid::from_u128(1)),
        attempt,
    }
}

fn eligibility(value: u32) -> TargetEligibility {
    match value % 2 {
        0 => TargetEligibility::Eligible,
        _ => TargetEligibility::Leaving,
    }
}

fn table_of(n_targets: usize) -> TargetTable {
    let mut table = TargetTable::new("dc-1".into());
    for target_idx in 0..n_targets {
        table.set_target(&target(target_idx), &role(), SLOTS, &"dc-1".into());
        table.set_eligible(&target(target_idx), TargetEligibility::Eligible);
    }
    table
}

fn report(sequence: u64, running: u32) -> LoadReport {
    LoadReport {
        incarnation: ProcessIncarnation(1),
        sequence,
        made_at: now(),
        running,
        waiting: 0,
        limit: SLOTS,
        tokens_per_second: 100,
        step_time_us: 38_000,
        service_time: ServiceTime {
            mean_s: 5.0,
            deviation_s: 1.0,
            mean_cost: 200.0,
        },
    }
}

fn choose(
    table: &TargetTable,
    prefixes: &[PrefixHash],
    seed: u64,
) -> Result<RouteDecision, RouteRefusal> {
    let role = role();
    let query = RouteQuery {
        role: &role,
        prefixes,
        cost: 200,
        tried: &[],
        deadline: now() + Duration::from_secs(30),
    };
    table.choose(now(), &query, &mut ChaCha8Rng::seed_from_u64(seed))
}

fn is_for(decision: &Result<RouteDecision, RouteRefusal>, target_idx: usize) -> bool {
    decision
        .as_ref()
        .is_ok_and(|decision| decision.target == target(target_idx))
}

fn offer(attempt: u32, remaining_ms: u64) -> WorkOffer {
    let cancel = cancel(attempt);
    WorkOffer {
        work: cancel.work,
        incarnation: cancel.incarnation,
        entry: cancel.entry,
        accepted_at: cancel.accepted_at,
        remaining_ms,
        account: "guild".into(),
        weight: 1,
        lane: WorkLane::Interactive,
        cost: 1,
        sharing: match attempt % 5 {
            0 => WorkSharing::Alone,
            _ => WorkSharing::Shared,
        },
    }
}

fn cancel(attempt: u32) -> WorkCancel {
    WorkCancel {
        work: work(attempt),
        incarnation: ProcessIncarnation(1),
        entry: "entry-1".into(),
        accepted_at: now(),
    }
}
