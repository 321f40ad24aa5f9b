//! Retries within the budget that all entries share, also where callers repeat at once and where
//! processes are killed and forget what they have spent.

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
const ENTRIES: usize = 15;

/// Draws as many retries as the entries give, once a millisecond in turn, with 100 requests a
/// second, all processes being killed at `killed_at`; returns the times of the retries.
fn retries_around(killed_at: Duration, end: Duration) -> Vec<Duration> {
    let start = Instant::now();
    let fleet = |at| -> Vec<RetryBudget> { (0..ENTRIES).map(|_| RetryBudget::new(at)).collect() };
    let mut budgets = fleet(start);
    let mut retries = Vec::new();
    for tick in 0..end.as_millis() as u64 {
        let elapsed = Duration::from_millis(tick);
        let now = start + elapsed;
        if elapsed == killed_at {
            budgets = fleet(now);
        }
        let budget = &mut budgets[tick as usize % ENTRIES];
        if tick % 10 == 0 {
            budget.count_request(&SETTINGS, now);
        }
        if budget.draw(&SETTINGS, now, ENTRIES) {
            retries.push(elapsed);
        }
    }
    retries
}

fn most_in_a_window(retries: &[Duration]) -> usize {
    let in_window = |&from: &Duration| {
        retries
            .iter()
            .filter(|&&at| from <= at && at < from + WINDOW)
            .count()
    };
    retries.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn budget_holds_in_every_window_while_processes_run() {
    let retries = retries_around(Duration::from_secs(99), Duration::from_secs(40));
    let allowed = RATIO * 1_000.0 + SLACK;
    assert!(most_in_a_window(&retries) as f64 <= allowed);
    assert!(100 < retries.len());
}

#[test]
fn budget_holds_where_all_processes_are_killed_and_forget() {
    for killed_s in [9, 11, 14, 17] {
        let retries = retries_around(Duration::from_secs(killed_s), Duration::from_secs(40));
        let most = most_in_a_window(&retries);
        assert!(
            most as f64 <= RATIO * 1_000.0 + SLACK,
            "killed at {killed_s} s: {most}"
        );
    }
}
