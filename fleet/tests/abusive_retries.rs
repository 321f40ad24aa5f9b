//! Retries stay within the budget that all entries share, even if callers retry at once, or if
//! processes are killed and lose their record of spent retries.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::{BudgetSettings, RetryBudget};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 200.0;
const SETTINGS: BudgetSettings = BudgetSettings {
    window: WINDOW,
    ratio: RATIO,
    slack: SLACK,
};
const N_ENTRIES: usize = 15;

/// Requests a retry every millisecond from each entry in turn, at 100 requests per second, and
/// restarts all processes at `killed_at`; returns the times of the allowed retries.
fn allowed_retries(killed_at: Duration, end: Duration) -> Vec<Duration> {
    let start = Instant::now();
    let fleet = |at| -> Vec<RetryBudget> { (0..N_ENTRIES).map(|_| RetryBudget::new(at)).collect() };
    let mut budgets = fleet(start);
    let mut retries = Vec::new();
    for tick in 0..end.as_millis() as u64 {
        let elapsed = Duration::from_millis(tick);
        let now = start + elapsed;
        if elapsed == killed_at {
            budgets = fleet(now);
        }
        let budget = &mut budgets[tick as usize % N_ENTRIES];
        if tick % 10 == 0 {
            budget.count_request(&SETTINGS, now);
        }
        if budget.draw(&SETTINGS, now, N_ENTRIES) {
            retries.push(elapsed);
        }
    }
    retries
}

fn max_in_a_window(retries: &[Duration]) -> usize {
    let in_window = |&from: &Duration| {
        retries
            .iter()
            .filter(|&&at| from <= at && at < from + WINDOW)
            .count()
    };
    retries.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn retries_stay_within_the_budget_in_every_window() {
    let retries = allowed_retries(Duration::from_secs(99), Duration::from_secs(40));
    let allowed = RATIO * 1_000.0 + SLACK;
    assert!(max_in_a_window(&retries) as f64 <= allowed);
    assert!(100 < retries.len());
}

#[test]
fn retries_stay_within_the_budget_after_all_processes_restart() {
    for killed_s in [9, 11, 14, 17] {
        let retries = allowed_retries(Duration::from_secs(killed_s), Duration::from_secs(40));
        let max = max_in_a_window(&retries);
        assert!(
            max as f64 <= RATIO * 1_000.0 + SLACK,
            "killed at {killed_s} s: {max}"
        );
    }
}
