//! The decision after a dispatch without a response, and the proof that a refusal requires.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::request::{
    AttemptOutcome, CallProgress, NextStep, UnknownReason, next_step,
};
use proptest::prelude::*;

fn route(kind: CallKind, attempts: u32) -> RouteSpec {
    RouteSpec {
        name: "r".into(),
        prefix: "/r/".into(),
        kind,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        attempts,
        priority: 2,
        public: false,
        backends: SmallVec::new(),
        pause: None,
    }
}

fn after(kind: CallKind, attempts: u32, outcomes: &[AttemptOutcome]) -> NextStep {
    let mut progress = CallProgress::default();
    for &outcome in outcomes {
        progress.record(outcome);
    }
    let last = *outcomes.last().unwrap();
    next_step(
        &route(kind, attempts),
        &progress,
        last,
        Duration::from_millis(500),
        || true,
    )
}

#[test]
fn unsafe_calls_are_retried_only_if_nothing_can_have_run() {
    use AttemptOutcome::*;
    let unsafe_after = |outcomes: &[AttemptOutcome]| after(CallKind::Unsafe, 1, outcomes);
    assert_eq!(unsafe_after(&[NotSent]), NextStep::Retry);
    assert_eq!(unsafe_after(&[NotRun]), NextStep::Retry);
    assert_eq!(
        unsafe_after(&[Unknown]),
        NextStep::GiveUp(UnknownReason::BadAnswer)
    );
    assert_eq!(
        unsafe_after(&[Silent]),
        NextStep::GiveUp(UnknownReason::Timeout)
    );
    assert_eq!(
        unsafe_after(&[NotRun, Unknown]),
        NextStep::GiveUp(UnknownReason::BadAnswer)
    );
}

#[test]
fn repeatable_calls_run_on_no_more_targets_than_the_route_allows() {
    use AttemptOutcome::*;
    for kind in [CallKind::Safe, CallKind::ResumableStream] {
        assert_eq!(after(kind, 2, &[Unknown]), NextStep::Retry);
        let step = after(kind, 2, &[Unknown, Failed]);
        assert_eq!(step, NextStep::GiveUp(UnknownReason::BadAnswer));
    }
    let single = after(CallKind::SingleStream, 2, &[Silent]);
    assert_eq!(single, NextStep::GiveUp(UnknownReason::Timeout));
}

#[test]
fn refusals_name_their_proof() {
    use AttemptOutcome::*;
    let stop = |outcomes: &[AttemptOutcome]| {
        let mut progress = CallProgress::default();
        outcomes
            .iter()
            .for_each(|&outcome| progress.record(outcome));
        let last = *outcomes.last().unwrap();
        next_step(
            &route(CallKind::Unsafe, 1),
            &progress,
            last,
            Duration::ZERO,
            || false,
        )
    };
    assert_eq!(
        stop(&[NotSent]),
        NextStep::Refuse(NotRunProof::never_sent())
    );
    assert_eq!(
        stop(&[NotRun]),
        NextStep::Refuse(NotRunProof::stated_by_targets())
    );
}

#[test]
fn spent_budget_ends_the_call_except_after_a_failed_connect() {
    let spent = |outcome| {
        let mut progress = CallProgress::default();
        progress.record(outcome);
        let route = route(CallKind::Safe, 2);
        next_step(
            &route,
            &progress,
            outcome,
            Duration::from_millis(500),
            || false,
        )
    };
    assert_eq!(spent(AttemptOutcome::NotSent), NextStep::Retry);
    assert_eq!(
        spent(AttemptOutcome::Unknown),
        NextStep::GiveUp(UnknownReason::BadAnswer)
    );
}

fn outcomes() -> impl Strategy<Value = Vec<AttemptOutcome>> {
    proptest::collection::vec(outcome(), 1..12)
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::NotSent),
        Just(AttemptOutcome::NotRun),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Broken),
        Just(AttemptOutcome::Unknown),
        Just(AttemptOutcome::Silent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No sequence of outcomes runs an unsafe call twice or refuses one that may have run.
    #[test]
    fn unsafe_calls_run_at_most_once_and_refusals_are_true(outcomes in outcomes()) {
        let route = route(CallKind::Unsafe, 3);
        let mut progress = CallProgress::default();
        for outcome in outcomes {
            progress.record(outcome);
            match next_step(&route, &progress, outcome, Duration::from_secs(1), || true) {
                NextStep::Retry => prop_assert_eq!(progress.possible_runs, 0),
                NextStep::Refuse(_) => {
                    prop_assert_eq!(progress.possible_runs, 0);
                    break;
                }
                NextStep::GiveUp(_) => {
                    prop_assert_eq!(progress.possible_runs, 1);
                    break;
                }
            }
        }
    }

    /// However dispatches fall silent and end, a repeatable call runs on no more targets than its
    /// route allows, and a refusal is true.
    #[test]
    fn silent_dispatches_keep_the_attempts_of_a_route_and_the_truth_of_refusals(
        attempts in 1_u32..4,
        happenings in proptest::collection::vec((0..3_usize, 0..4_usize, outcome()), 1..30),
    ) {
        let route = route(CallKind::Safe, attempts);
        let mut progress = CallProgress::default();
        let mut open = vec![progress.begin()];
        let mut n_ran = 0;
        for (what, which, outcome) in happenings {
            let outcome = if what == 0 {
                progress.record_silence();
                AttemptOutcome::Silent
            } else {
                let number = open.swap_remove(which % open.len());
                progress.end(number, outcome);
                n_ran += u32::from(outcome.may_have_run());
                outcome
            };
            prop_assert!(n_ran + open.len() as u32 <= attempts.max(1));
            if progress.has_active_dispatch() {
                continue;
            }
            match next_step(&route, &progress, outcome, Duration::from_secs(1), || true) {
                NextStep::Retry => open.push(progress.begin()),
                _ if !open.is_empty() => {}
                NextStep::Refuse(_) => {
                    prop_assert_eq!(n_ran, 0);
                    break;
                }
                NextStep::GiveUp(_) => {
                    prop_assert!(0 < n_ran);
                    break;
                }
            }
        }
    }
}
