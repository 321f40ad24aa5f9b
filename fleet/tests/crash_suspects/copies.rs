//! Copies of one request whose runs overlap.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::routing::CrashSuspects;

use super::{CONTACT_TIME, SECOND, entries, exchange, is_refused, request};

/// Lets a number of entries get a copy of a request each 400 ms, which each sends to two targets one
/// after the other; all end after 700 ms. Checks that few runs begin late.
fn check_copies_are_refused(mut entries: Vec<CrashSuspects>, start: Instant) {
    // Arrange
    let run_time = Duration::from_millis(700);
    let mut runs: Vec<(usize, Instant, bool)> = Vec::new();
    let mut ended: Vec<Instant> = Vec::new();
    let mut n_late = 0;

    // Act
    for n_step in 1..100 {
        let now = start + n_step * Duration::from_millis(100);
        let mut begun: Vec<(usize, bool)> = Vec::new();
        for (entry, began_at, is_retry) in runs.extract_if(.., |run| run.1 + run_time <= now) {
            entries[entry].record_end(&request(1), 100 + ended.len() as u32, began_at, now);
            ended.push(now);
            begun.extend((!is_retry).then_some((entry, true)));
        }
        if n_step.is_multiple_of(4) {
            begun.extend((0..entries.len()).map(|entry| (entry, false)));
        }
        begun.retain(|(entry, _)| !is_refused(&entries[*entry], now));
        let is_late = ended
            .get(2)
            .is_some_and(|third| *third + CONTACT_TIME < now);
        n_late += if is_late { begun.len() } else { 0 };
        let new_runs = begun
            .iter()
            .map(|(entry, is_retry)| (*entry, now, *is_retry));
        runs.extend(new_runs);
        exchange(&mut entries, now, Duration::from_millis(250));
    }

    // Assert
    assert!(n_late <= 3, "{n_late} late runs, {} ends", ended.len());
}

// Guards against copies of a request that was answered before: their runs overlap, so that few of
// the ends follow each other.
#[test]
fn copies_of_an_answered_request_are_refused_within_the_contact_time_of_the_third_end() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<3>(start);
    entries[0].record_answer(request(1).iter(), start);
    check_copies_are_refused(entries.into(), start);
}

// Guards against ends in runs that followed each other which are dropped for many that overlap.
#[test]
fn many_copies_of_a_new_request_are_refused_within_the_contact_time_of_the_third_end() {
    let start = Instant::now() + SECOND;
    check_copies_are_refused(entries::<20>(start).into(), start);
}
