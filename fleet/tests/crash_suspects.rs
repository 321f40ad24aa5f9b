//! Which requests count as harmful, from the ends of targets and the answers that all entries saw.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::request::CallDigest;
use comfreyhead_fleet::routing::{CrashSuspects, SuspectDecision};

const REQUEST: CallDigest = CallDigest(1);
const SECOND: Duration = Duration::from_secs(1);

/// The stated time within which all entries know what a request did at one of them.
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn entries<const N: usize>(now: Instant) -> [CrashSuspects; N] {
    std::array::from_fn(|_| CrashSuspects::new(now))
}

/// Lets each entry send what is due to all others, four times a second; returns the number of
/// reports.
fn exchange(entries: &mut [CrashSuspects], from: Instant, time: Duration) -> usize {
    let mut n_reports = 0;
    for n_round in 0..(time.as_millis() / 250) as u32 {
        let now = from + n_round * Duration::from_millis(250);
        for sender in 0..entries.len() {
            let reports = entries[sender].take_reports(now);
            n_reports += reports.len();
            let arrival = now + Duration::from_millis(3);
            for receiver in (0..entries.len()).filter(|receiver| *receiver != sender) {
                for report in &reports {
                    entries[receiver].observe_report(report, arrival);
                }
            }
        }
    }
    n_reports
}

/// Records the end of a target after a run of 50 ms.
fn end(suspects: &mut CrashSuspects, target: u32, at: Instant) {
    let began_at = at - Duration::from_millis(50);
    suspects.record_end(REQUEST, target, began_at, at);
}

fn is_refused(suspects: &CrashSuspects, now: Instant) -> bool {
    matches!(suspects.check(REQUEST, now), SuspectDecision::Refused(_))
}

// Guards against entries that each count their own ends only.
#[test]
fn single_ends_at_three_entries_are_known_as_three_at_all() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<4>(start);
    for (target, suspects) in (0..3).zip(&mut entries) {
        end(suspects, target, start + target * SECOND / 2);
    }
    let last_end = start + SECOND;
    exchange(&mut entries, last_end, CONTACT_TIME);
    let now = last_end + CONTACT_TIME;
    assert!(entries.iter().all(|entry| is_refused(entry, now)));
}

#[test]
fn two_ends_or_reports_of_the_same_ends_refuse_nothing() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<3>(start);
    for suspects in &mut entries {
        end(suspects, 1, start);
        end(suspects, 2, start + SECOND);
    }
    exchange(&mut entries, start, 60 * SECOND);
    assert!(
        !entries
            .iter()
            .any(|entry| is_refused(entry, start + 60 * SECOND))
    );
}

// Guards against a popular request that counts as harmful as all its targets end at once.
#[test]
fn request_that_another_entry_got_answered_is_never_refused() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<3>(start);
    entries[2].record_answer(REQUEST, start);
    let ended_at = start + 20 * SECOND;
    for target in 0..5 {
        let at = ended_at + target * Duration::from_millis(60);
        end(&mut entries[target as usize % 2], target, at);
    }
    for n_round in 0..40 {
        let now = ended_at + n_round * Duration::from_millis(250);
        exchange(&mut entries, now, Duration::from_millis(250));
        assert!(
            !entries.iter().any(|entry| is_refused(entry, now)),
            "{n_round}"
        );
    }
}

#[test]
fn request_that_was_answered_and_then_ends_all_its_targets_is_refused() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    suspects.record_answer(REQUEST, start);
    for target in 0..6 {
        end(&mut suspects, target, start + (target + 1) * SECOND);
    }
    assert!(is_refused(&suspects, start + 10 * SECOND));
}

#[test]
fn ends_of_one_target_that_starts_again_under_its_id_count_each() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for n_end in 0..3 {
        end(&mut suspects, 7, start + n_end * 4 * SECOND);
    }
    assert!(is_refused(&suspects, start + 9 * SECOND));
}

#[test]
fn refusal_ends_with_one_probe_at_a_time() {
    // Arrange
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for target in 0..3 {
        end(&mut suspects, target, start + target * SECOND / 4);
    }
    let SuspectDecision::Refused(after) = suspects.check(REQUEST, start + 2 * SECOND) else {
        panic!("not refused");
    };

    // Act, assert
    let later = start + 2 * SECOND + after;
    assert_eq!(suspects.admit(REQUEST, later), SuspectDecision::Probe);
    assert!(is_refused(&suspects, later + SECOND));
    end(&mut suspects, 9, later + 2 * SECOND);
    let again = later + 60 * SECOND;
    assert!(is_refused(&suspects, again));
    suspects.record_answer(REQUEST, again);
    assert_eq!(suspects.check(REQUEST, again), SuspectDecision::Clear);
}

// Guards against a new popular request that counts as harmful as all its targets end at once.
#[test]
fn ends_of_runs_at_the_same_time_count_as_one() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<3>(start);
    let ended_at = start + 20 * SECOND;
    for target in 0..12 {
        let began_at = ended_at - Duration::from_millis(100 + 40 * u64::from(target));
        let suspects = &mut entries[target as usize % 3];
        suspects.record_end(REQUEST, target, began_at, ended_at);
    }
    exchange(&mut entries, ended_at, CONTACT_TIME);
    let now = ended_at + CONTACT_TIME;
    assert!(!entries.iter().any(|entry| is_refused(entry, now)));
}

// Guards against sound requests that are refused as a harmful one runs beside them each time.
#[test]
fn request_that_only_ran_beside_a_harmful_one_is_served() {
    for (harmful, sound) in [(1, 2), (2, 1)] {
        // Arrange: a service with one target, which never gets the sound request answered.
        let (harmful, sound) = (CallDigest(harmful), CallDigest(sound));
        let start = Instant::now() + SECOND;
        let mut suspects = CrashSuspects::new(start);
        for n_end in 0..3 {
            let at = start + n_end * 4 * SECOND;
            for digest in [harmful, sound] {
                suspects.record_end(digest, n_end, at - SECOND, at);
            }
        }

        // Act: both come again, at most one of them is sent.
        let now = start + 10 * SECOND;
        let is_sent = |suspects: &CrashSuspects, digest, now| {
            !matches!(suspects.check(digest, now), SuspectDecision::Refused(_))
        };
        let sent = [harmful, sound].map(|digest| is_sent(&suspects, digest, now));
        match sent {
            [true, false] => {
                suspects.record_end(harmful, 3, now, now + SECOND);
            }
            [false, true] => suspects.record_answer(sound, now + SECOND),
            _ => panic!("{sent:?}"),
        }

        // Assert
        let now = now + 2 * SECOND;
        assert!(!is_sent(&suspects, harmful, now));
        assert!(is_sent(&suspects, sound, now));
    }
}

// Guards against a request that stays refused though the harmful one beside it comes no more.
#[test]
fn refusal_that_waits_for_another_request_to_tell_is_short() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for n_end in 0..3 {
        let at = start + n_end * 4 * SECOND;
        for digest in [CallDigest(1), CallDigest(2)] {
            suspects.record_end(digest, n_end, at - SECOND, at);
        }
    }
    let now = start + 30 * SECOND;
    for digest in [CallDigest(1), CallDigest(2)] {
        assert_eq!(suspects.check(digest, now), SuspectDecision::Clear);
    }
}

// Guards against a flood of failing requests that fills the memory, or drives out a harmful one.
#[test]
fn flood_of_suspects_is_bounded_and_keeps_the_harmful_one() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for target in 0..3 {
        end(&mut suspects, target, start + target * SECOND / 4);
    }
    for n_request in 0..6_000 {
        suspects.record_end(CallDigest(100 + n_request), 5, start, start + SECOND);
    }
    assert!(suspects.len() <= 4_096);
    assert!(is_refused(&suspects, start + 2 * SECOND));
    assert!(suspects.take_reports(start + 2 * SECOND).len() <= 16);
}

// Guards against reports that entries pass to each other for ever.
#[test]
fn suspects_leave_all_entries_and_are_reported_seldom_until_then() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<4>(start);
    end(&mut entries[0], 1, start);
    exchange(&mut entries, start, 10 * SECOND);
    let later = start + 10 * SECOND;
    assert!(exchange(&mut entries, later, 30 * SECOND) <= 4 * 30);
    entries[1].record_answer(REQUEST, start + 40 * SECOND);
    exchange(&mut entries, start + 40 * SECOND, 60 * SECOND);
    assert!(entries.iter().all(CrashSuspects::is_empty));

    end(&mut entries[0], 1, start + 100 * SECOND);
    exchange(&mut entries, start + 100 * SECOND, 1_300 * SECOND);
    assert!(entries.iter().all(CrashSuspects::is_empty));
}
