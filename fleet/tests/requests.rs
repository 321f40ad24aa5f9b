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
    let outcome = prop_oneof![
        Just(AttemptOutcome::NotSent),
        Just(AttemptOutcome::NotRun),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Unknown),
        Just(AttemptOutcome::Silent),
    ];
    proptest::collection::vec(outcome, 1..12)
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
}
