//! Limits of client accounts, fair queues, retries and crash suspects.

use std::collections::HashMap;

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{
    AccountLimiter, ConcurrencyLimit, CrashSuspects, DemandReport, FairQueue, HedgeTimer,
    LimitDecision, QueuePush, QueuedWork, RefusalReason, RequestDigest, RetryBudget, RetryDecision,
    RetryQuery, SuspectDecision, TargetCrash, TryFailure, WorkCost, WorkRepetition,
};
use comfreyhead::version::config::{AccountConfig, RetryConfig};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const N_ENTRIES: usize = 18;
const TOKENS_PER_SECOND: u64 = 20_000;
const IN_FLIGHT: u32 = 90;

#[test]
fn uneven_entries_share_the_token_limit_within_a_tenth() {
    let run = LimiterRun::new(uneven_shares(), 3.0);

    let rates = run.rates(20..60);

    assert_within_tenth(rates.tokens, TOKENS_PER_SECOND as f64);
}

#[test]
fn the_token_limit_holds_when_demand_moves_between_entries() {
    let mut run = LimiterRun::new(uneven_shares(), 3.0);
    run.moves_every_s = Some(15);

    let rates = run.rates(20..80);

    assert_within_tenth(rates.tokens, TOKENS_PER_SECOND as f64);
}

#[test]
fn demand_at_one_entry_gets_the_whole_limit() {
    let mut shares = vec![0.0; N_ENTRIES];
    shares[4] = 1.0;
    let run = LimiterRun::new(shares, 2.0);

    let rates = run.rates(20..60);

    assert_within_tenth(rates.tokens, TOKENS_PER_SECOND as f64);
}

#[test]
fn demand_below_the_limit_is_admitted() {
    let run = LimiterRun::new(uneven_shares(), 0.8);

    let rates = run.rates(20..60);

    assert!(0.99 < rates.admitted_share, "{rates:?}");
}

#[test]
fn partitioned_entries_never_exceed_the_limit_together() {
    let mut run = LimiterRun::new(uneven_shares(), 3.0);
    run.partition_at_s = Some(30);

    let rates = run.rates(40..80);

    assert!(rates.tokens <= 1.1 * TOKENS_PER_SECOND as f64, "{rates:?}");
}

#[test]
fn an_isolated_entry_keeps_its_equal_share() {
    let mut limiter = limiter_of(0);
    let mut n_admitted = 0;

    for tick in 0..40_000 {
        let now = Timestamp::from_millis(100_000 + tick);
        let decision = limiter.admit(now, &account(), &WorkCost { tokens: 10 });
        if decision == LimitDecision::Admitted {
            limiter.finished(
                &account(),
                &WorkCost { tokens: 10 },
                &WorkCost { tokens: 10 },
            );
            n_admitted += 1;
        }
    }

    let rate = f64::from(n_admitted) * 10.0 / 40.0;
    assert_within_tenth(rate, TOKENS_PER_SECOND as f64 / N_ENTRIES as f64);
}

#[test]
fn requests_in_flight_stay_within_a_tenth_of_the_limit() {
    let mut run = LimiterRun::new(uneven_shares(), 3.0);
    run.hold_ms = 4_000;
    run.tokens = 1;

    let rates = run.rates(20..60);

    assert_within_tenth(rates.mean_in_flight, f64::from(IN_FLIGHT));
}

#[test]
fn the_first_request_of_a_small_account_is_admitted_at_any_entry() {
    let config = AccountConfig {
        in_flight: 3,
        ..account_config()
    };

    let decisions: Vec<_> = (0..N_ENTRIES)
        .map(|entry| {
            let mut limiter = limiter_of(entry);
            limiter.set_account(&account(), &config);
            let now = Timestamp::from_millis(1_000);
            for peer in entry_names() {
                limiter.observe_demand(now, &peer, &DemandReport::default());
            }
            limiter.admit(now, &account(), &WorkCost { tokens: 10 })
        })
        .collect();

    assert_eq!(decisions, [LimitDecision::Admitted; N_ENTRIES]);
}

#[test]
fn an_unknown_account_is_refused() {
    let mut limiter = AccountLimiter::new("entry-0".into());

    let decision = limiter.admit(Timestamp(1), &account(), &WorkCost { tokens: 1 });

    assert!(matches!(
        decision,
        LimitDecision::Refused {
            reason: RefusalReason::UnknownAccount,
            ..
        }
    ));
}

#[test]
fn a_report_lists_only_accounts_with_significant_demand() {
    let mut limiter = limiter_of(0);
    let small = "small".into();
    limiter.set_account(&small, &account_config());
    let now = Timestamp::from_millis(1_000);
    limiter.admit(now, &account(), &WorkCost { tokens: 5_000 });
    limiter.admit(now, &small, &WorkCost { tokens: 1 });
    limiter.finished(&small, &WorkCost { tokens: 1 }, &WorkCost { tokens: 1 });

    let report = limiter.local_demand(now, 1);

    let names: Vec<_> = report
        .accounts
        .iter()
        .map(|demand| &demand.account)
        .collect();
    assert_eq!(names, [&account()]);
}

#[test]
fn one_large_account_does_not_starve_nine_small_ones() {
    let mut queue = FairQueue::new(1_000);
    for item in 0..500 {
        queue.push(queued("large", WorkLane::Interactive, item));
    }
    for small in 0..9 {
        for item in 0..10 {
            queue.push(queued(
                &format!("small-{small}"),
                WorkLane::Interactive,
                item,
            ));
        }
    }

    let served: Vec<_> = (0..100).filter_map(|_| queue.pop()).collect();

    let n_small = served
        .iter()
        .filter(|work| work.account.as_str() != "large");
    assert_eq!(n_small.count(), 90);
}

#[test]
fn weights_set_the_shares_under_contention() {
    let mut queue = FairQueue::new(1_000);
    for item in 0..300 {
        let mut heavy = queued("heavy", WorkLane::Interactive, item);
        heavy.weight = 3;
        queue.push(heavy);
        queue.push(queued("light", WorkLane::Interactive, item));
    }

    let served: Vec<_> = (0..200).filter_map(|_| queue.pop()).collect();

    let n_heavy = served
        .iter()
        .filter(|work| work.account.as_str() == "heavy");
    assert!((145..=155).contains(&n_heavy.count()));
}

#[test]
fn orders_never_wait_behind_model_work() {
    let mut queue = FairQueue::new(100);
    queue.push(queued("guild", WorkLane::Batch, 1));
    queue.push(queued("guild", WorkLane::Interactive, 2));
    queue.push(queued("guild", WorkLane::Order, 3));

    let items: Vec<_> = std::iter::from_fn(|| queue.pop())
        .map(|work| work.item)
        .collect();

    assert_eq!(items, [3, 2, 1]);
}

#[test]
fn a_full_queue_displaces_the_heaviest_account_and_keeps_its_length() {
    let mut queue = FairQueue::new(10);
    for item in 0..10 {
        queue.push(queued("large", WorkLane::Interactive, item));
    }

    let own = queue.push(queued("large", WorkLane::Interactive, 11));
    let small = queue.push(queued("small", WorkLane::Interactive, 12));
    let n_popped = std::iter::from_fn(|| queue.pop()).count();

    assert!(matches!(own, QueuePush::Refused(work) if work.item == 11));
    assert!(matches!(small, QueuePush::Displaced(work) if work.item == 9));
    assert_eq!(n_popped, 10);
    assert!(queue.is_empty());
}

#[test]
fn recently_served_accounts_are_displaced_in_a_short_queue() {
    let mut queue = FairQueue::new(2);
    let mut n_small = 0;
    for item in 0..400 {
        if item % 8 == 0 {
            queue.push(queued("a-small", WorkLane::Interactive, item));
        }
        queue.push(queued("b-large", WorkLane::Interactive, item));
        queue.push(queued("c-large", WorkLane::Interactive, item));
        let served = queue.pop().expect("the queue is full");
        n_small += u32::from(served.account.as_str() == "a-small");
    }

    assert!(45 <= n_small, "{n_small} of 50");
}

#[test]
fn any_sequence_of_pushes_and_pops_keeps_the_length_consistent() {
    let step = (0..4_u32, 0..5_u32, 0..4_usize, 1..50_u64);
    let steps = proptest::collection::vec(step, 1..200);

    fixed_runner(300)
        .run(&steps, |steps| {
            let mut queue = FairQueue::new(16);
            let mut held = 0;
            for (number, (action, name, lane, cost)) in steps.into_iter().enumerate() {
                let lane = LANES[lane];
                let mut work = queued(&format!("account-{name}"), lane, number);
                work.cost = cost;
                work.deadline = Timestamp(cost);
                held = match action {
                    0 => held - usize::from(queue.pop().is_some()),
                    1 => held - queue.take_expired(Timestamp(10)).len(),
                    _ => held + usize::from(queue.push(work) == QueuePush::Queued),
                };
                prop_assert_eq!(queue.len(), held);
                prop_assert_eq!(queue.iter().count(), held);
            }
            Ok(())
        })
        .expect("the length stays consistent");
}

#[test]
fn retries_stay_within_their_ratio_to_first_tries() {
    let mut budget = RetryBudget::new(&RetryConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut n_retries = 0;

    for _ in 0..10_000 {
        budget.first_try();
        let decision = budget.decide(Timestamp(1), &lost_try(), &mut rng);
        n_retries += u32::from(matches!(decision, RetryDecision::Retry { .. }));
    }

    assert!((1_000..=1_020).contains(&n_retries), "{n_retries}");
}

#[test]
fn refused_tries_leave_retries_for_lost_ones() {
    let mut budget = RetryBudget::new(&RetryConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let refused = RetryQuery {
        failure: TryFailure::NotStarted,
        ..lost_try()
    };
    for _ in 0..100 {
        budget.decide(Timestamp(1), &refused, &mut rng);
    }

    let decision = budget.decide(Timestamp(1), &lost_try(), &mut rng);

    assert!(matches!(decision, RetryDecision::Retry { .. }));
}

#[test]
fn work_that_may_have_run_is_repeated_only_if_repeatable() {
    let mut budget = RetryBudget::new(&RetryConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let order = RetryQuery {
        repetition: WorkRepetition::AtMostOnce,
        ..lost_try()
    };
    let unstarted = RetryQuery {
        failure: TryFailure::NotStarted,
        ..order
    };

    let may_have_run = budget.decide(Timestamp(1), &order, &mut rng);
    let not_started = budget.decide(Timestamp(1), &unstarted, &mut rng);

    assert_eq!(may_have_run, RetryDecision::MayHaveRun);
    assert!(matches!(not_started, RetryDecision::Retry { .. }));
}

#[test]
fn no_retry_is_made_without_time_before_the_deadline() {
    let mut budget = RetryBudget::new(&RetryConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let late = RetryQuery {
        deadline: Timestamp::from_millis(10),
        ..lost_try()
    };

    let decision = budget.decide(Timestamp(1), &late, &mut rng);

    assert_eq!(
        decision,
        RetryDecision::GiveUp {
            reason: RefusalReason::Deadline
        }
    );
}

#[test]
fn a_hedge_is_delayed_to_the_95th_percentile() {
    let mut timer = HedgeTimer::new();
    let unknown = timer.delay();
    for millis in 1..=100 {
        timer.observe(Duration::from_millis(millis));
    }

    let delay = timer.delay().expect("enough answers");

    assert_eq!(unknown, None);
    assert!((94..=97).contains(&delay.as_millis()));
}

#[test]
fn late_steps_lower_the_concurrency_limit_and_timely_ones_raise_it() {
    let goal = Duration::from_millis(38);
    let mut limit = ConcurrencyLimit::new(16);

    for _ in 0..5 {
        limit.observe(Duration::from_millis(60), goal, 16);
    }
    let lowered = limit.get();
    for _ in 0..20 {
        limit.observe(Duration::from_millis(30), goal, limit.get());
    }

    assert!(lowered < 12);
    assert_eq!(limit.get(), 16);
}

#[test]
fn a_crashing_request_is_refused_and_its_neighbours_are_not() {
    let mut suspects = CrashSuspects::new();
    let now = Timestamp::from_millis(1_000);
    let crashing = digest(0);

    for target in 0..2 {
        let others = (1..10).map(|other| digest(other + 100 * target));
        let in_flight: Vec<_> = std::iter::once(crashing.clone()).chain(others).collect();
        suspects.crashed(now, &crash(target), &in_flight);
    }
    let after_shared = suspects.check(now, &crashing);
    suspects.crashed(now, &crash(2), std::slice::from_ref(&crashing));
    suspects.crashed(now, &crash(3), std::slice::from_ref(&crashing));

    assert_eq!(after_shared, SuspectDecision::RunAlone);
    assert!(matches!(
        suspects.check(now, &crashing),
        SuspectDecision::Refused { .. }
    ));
    for other in (1..10).chain(101..110) {
        assert_eq!(suspects.check(now, &digest(other)), SuspectDecision::Clear);
    }
}

#[test]
fn crashes_of_one_target_do_not_refuse_a_request() {
    let mut suspects = CrashSuspects::new();
    let now = Timestamp::from_millis(1_000);

    for incarnation in 1..5 {
        let crash = TargetCrash {
            target: "target-0".into(),
            incarnation: ProcessIncarnation(incarnation),
        };
        suspects.crashed(now, &crash, &[digest(0)]);
    }

    assert_eq!(suspects.check(now, &digest(0)), SuspectDecision::RunAlone);
}

#[test]
fn a_request_that_seems_alone_to_one_entry_is_not_refused() {
    let mut suspects = CrashSuspects::new();
    let now = Timestamp::from_millis(1_000);

    for target in 0..6 {
        suspects.crashed_partly_known(now, &crash(target), &[digest(0)]);
    }

    assert_eq!(suspects.check(now, &digest(0)), SuspectDecision::RunAlone);
}

#[test]
fn a_suspect_that_ends_without_a_crash_is_cleared() {
    let mut suspects = CrashSuspects::new();
    let now = Timestamp::from_millis(1_000);
    suspects.crashed(now, &crash(0), &[digest(0)]);

    suspects.finished(&digest(0));

    assert_eq!(suspects.check(now, &digest(0)), SuspectDecision::Clear);
}

#[test]
fn a_refusal_is_shared_counts_each_crash_once_and_expires() {
    let mut here = CrashSuspects::new();
    let mut there = CrashSuspects::new();
    let now = Timestamp::from_millis(1_000);
    here.crashed(now, &crash(0), &[digest(0)]);
    there.crashed(now, &crash(1), &[digest(0)]);

    for _ in 0..3 {
        for report in here.reports(now) {
            there.observe_report(now, &report);
        }
    }
    let shared = there.check(now, &digest(0));
    let later = now + Duration::from_secs(3_600);

    assert!(matches!(shared, SuspectDecision::Refused { .. }));
    assert_eq!(here.check(now, &digest(0)), SuspectDecision::RunAlone);
    assert_eq!(there.check(later, &digest(0)), SuspectDecision::Clear);
}

#[test]
fn pending_reports_are_taken_once_and_the_most_severe_first() {
    let mut suspects = CrashSuspects::new();
    let now = Timestamp::from_millis(1_000);
    suspects.crashed(now, &crash(0), &[digest(1), digest(2)]);
    suspects.crashed(now, &crash(1), &[digest(0)]);

    let first = suspects.take_pending_reports(now, 1);
    let rest = suspects.take_pending_reports(now, 10);
    let none = suspects.take_pending_reports(now, 10);

    assert_eq!(first[0].digest, digest(0));
    assert_eq!(rest.len(), 2);
    assert!(none.is_empty());
}

#[test]
fn suspects_are_bounded_and_the_most_severe_are_kept() {
    let mut suspects = CrashSuspects::new();
    let now = Timestamp::from_millis(1_000);
    suspects.crashed(now, &crash(0), &[digest(0)]);
    suspects.crashed(now, &crash(1), &[digest(0)]);

    for target in 0..200 {
        let in_flight: Vec<_> = (0..64)
            .map(|other| digest(1 + other + 64 * target))
            .collect();
        suspects.crashed(now, &crash(target), &in_flight);
    }

    assert!(suspects.len() <= 4_096);
    assert!(matches!(
        suspects.check(now, &digest(0)),
        SuspectDecision::Refused { .. }
    ));
}

#[test]
fn a_crashing_request_that_is_resent_crashes_few_targets() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut suspects = CrashSuspects::new();
    let mut n_crashes = 0;
    let mut refused = HashMap::new();

    for round in 0..40_u64 {
        let now = Timestamp::from_millis(1_000 * (round + 1));
        let target = rng.random_range(0..19);
        let others: Vec<_> = (0..15)
            .map(|_| digest(rng.random_range(1..2_000)))
            .collect();
        let in_flight = match suspects.check(now, &digest(0)) {
            SuspectDecision::Refused { .. } => break,
            SuspectDecision::RunAlone => vec![digest(0)],
            SuspectDecision::Clear => std::iter::once(digest(0)).chain(others.clone()).collect(),
        };
        let crash = TargetCrash {
            target: format!("target-{target}").into(),
            incarnation: ProcessIncarnation(round),
        };
        suspects.crashed(now, &crash, &in_flight);
        n_crashes += 1;
        for other in others {
            let is_refused = matches!(suspects.check(now, &other), SuspectDecision::Refused { .. });
            refused.insert(other.clone(), is_refused);
            suspects.finished(&other);
        }
    }

    assert!(n_crashes <= 6, "{n_crashes}");
    assert!(refused.values().all(|is_refused| !is_refused));
}

const LANES: [WorkLane; 4] = [
    WorkLane::Order,
    WorkLane::Lookup,
    WorkLane::Interactive,
    WorkLane::Batch,
];

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

fn assert_within_tenth(value: f64, goal: f64) {
    assert!(
        (0.9 * goal..=1.1 * goal).contains(&value),
        "{value} of {goal}"
    );
}

fn lost_try() -> RetryQuery {
    RetryQuery {
        n_tries: 1,
        failure: TryFailure::MayHaveRun,
        repetition: WorkRepetition::Repeatable,
        deadline: Timestamp::from_millis(10_000),
    }
}

fn queued<T>(account: &str, lane: WorkLane, item: T) -> QueuedWork<T> {
    QueuedWork {
        account: account.into(),
        lane,
        weight: 1,
        cost: 10,
        deadline: Timestamp::from_millis(10_000),
        item,
    }
}

fn digest(request: u64) -> RequestDigest {
    RequestDigest::new(&account(), &request.to_le_bytes())
}

fn crash(target: u64) -> TargetCrash {
    TargetCrash {
        target: format!("target-{target}").into(),
        incarnation: ProcessIncarnation(1),
    }
}

fn account() -> AccountName {
    "guild".into()
}

fn account_config() -> AccountConfig {
    AccountConfig {
        token_sha256: Vec::new(),
        tokens_per_second: TOKENS_PER_SECOND,
        in_flight: IN_FLIGHT,
        weight: 1,
    }
}

fn entry_names() -> Vec<EntryName> {
    (0..N_ENTRIES)
        .map(|entry| format!("entry-{entry:02}").into())
        .collect()
}

fn limiter_of(entry: usize) -> AccountLimiter {
    let names = entry_names();
    let mut limiter = AccountLimiter::new(names[entry].clone());
    limiter.set_entries(&names);
    limiter.set_account(&account(), &account_config());
    limiter
}

/// The entries' shares of the demand, which fall with the square of the rank.
fn uneven_shares() -> Vec<f64> {
    let weights: Vec<f64> = (1..=N_ENTRIES)
        .map(|rank| 1.0 / (rank * rank) as f64)
        .collect();
    let total: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / total).collect()
}

/// The rates measured over all entries together.
#[derive(Debug)]
struct MeasuredRates {
    tokens: f64,
    admitted_share: f64,
    mean_in_flight: f64,
}

/// A simulation of one account's demand at 18 entries that report to each other every half
/// second, with a delay.
struct LimiterRun {
    shares: Vec<f64>,
    /// The total demand as a multiple of the limit.
    demand: f64,
    /// The tokens of each request.
    tokens: u64,
    /// How long an admitted request stays in flight.
    hold_ms: u64,
    /// How often the shares of the demand move to other entries.
    moves_every_s: Option<u64>,
    /// When the entries are partitioned into two halves that receive no reports from each other.
    partition_at_s: Option<u64>,
}

impl LimiterRun {
    fn new(shares: Vec<f64>, demand: f64) -> Self {
        Self {
            shares,
            demand,
            tokens: 250,
            hold_ms: 20,
            moves_every_s: None,
            partition_at_s: None,
        }
    }

    fn rates(&self, measured_s: std::ops::Range<u64>) -> MeasuredRates {
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let names = entry_names();
        let mut limiters: Vec<_> = (0..N_ENTRIES).map(limiter_of).collect();
        let mut in_flight: Vec<Vec<u64>> = vec![Vec::new(); N_ENTRIES];
        let mut reports: Vec<(u64, usize, DemandReport)> = Vec::new();
        let mut n_offered = 0_u64;
        let mut n_admitted = 0_u64;
        let mut sum_in_flight = 0_usize;
        for millis in 0..measured_s.end * 1_000 {
            let now = Timestamp::from_millis(1_000_000 + millis);
            let is_measured = measured_s.contains(&(millis / 1_000));
            for entry in 0..N_ENTRIES {
                let cost = WorkCost {
                    tokens: self.tokens,
                };
                in_flight[entry].retain(|&until| {
                    if until <= millis {
                        limiters[entry].finished(&account(), &cost, &cost);
                    }
                    millis < until
                });
                let arrives = rng.random_bool(self.arrival_chance(entry, millis));
                if arrives {
                    let decision = limiters[entry].admit(now, &account(), &cost);
                    let is_admitted = decision == LimitDecision::Admitted;
                    if is_admitted {
                        in_flight[entry].push(millis + self.hold_ms);
                    }
                    n_offered += u64::from(is_measured);
                    n_admitted += u64::from(is_measured && is_admitted);
                }
                if (millis + 27 * entry as u64).is_multiple_of(500) {
                    let report = limiters[entry].local_demand(now, millis + 1);
                    let arrival = millis + rng.random_range(1..100);
                    reports.push((arrival, entry, report));
                }
            }
            if is_measured {
                sum_in_flight += in_flight.iter().map(Vec::len).sum::<usize>();
            }
            reports.retain(|(arrival, from, report)| {
                let has_arrived = *arrival <= millis;
                for (entry, limiter) in limiters.iter_mut().enumerate() {
                    if has_arrived && self.can_receive(entry, *from, millis) {
                        limiter.observe_demand(now, &names[*from], report);
                    }
                }
                !has_arrived
            });
        }
        let measured = (measured_s.end - measured_s.start) as f64;
        MeasuredRates {
            tokens: n_admitted as f64 * self.tokens as f64 / measured,
            admitted_share: n_admitted as f64 / n_offered.max(1) as f64,
            mean_in_flight: sum_in_flight as f64 / (measured * 1_000.0),
        }
    }

    /// Returns the probability of an arrival within one millisecond.
    fn arrival_chance(&self, entry: usize, millis: u64) -> f64 {
        let moved = self
            .moves_every_s
            .map_or(0, |every_s| (millis / 1_000 / every_s) as usize * 7);
        let share = self.shares[(entry + moved) % N_ENTRIES];
        // Requests arrive as if each had 250 tokens, whatever `tokens` is.
        let per_second = self.demand * TOKENS_PER_SECOND as f64 / 250.0;
        (share * per_second / 1_000.0).min(1.0)
    }

    fn can_receive(&self, entry: usize, from: usize, millis: u64) -> bool {
        let is_partitioned = self
            .partition_at_s
            .is_some_and(|partition_s| partition_s * 1_000 <= millis);
        !is_partitioned || entry % 2 == from % 2
    }
}
