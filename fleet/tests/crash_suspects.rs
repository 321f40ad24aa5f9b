//! Which requests count as harmful, from the ends of targets and the answers that all entries saw.

#[path = "crash_suspects/copies.rs"]
mod copies;

use std::time::Duration;

use comfreyhead_fleet::peers::PeerMessage;
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::request::CallDigest;
use comfreyhead_fleet::routing::{CrashSuspects, SuspectDecision, SuspectKeys};

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

/// Returns the keys of a request without shared parts.
fn request(n_request: u64) -> SuspectKeys {
    prompt(n_request, &[])
}

/// Returns the keys of a request whose prompt has these shared parts.
fn prompt(n_request: u64, parts: &[u64]) -> SuspectKeys {
    SuspectKeys {
        request: CallDigest(n_request),
        parts: parts.iter().map(|part| CallDigest(*part)).collect(),
    }
}

/// Records the end of a target after a run of request 1 for 50 ms.
fn end(suspects: &mut CrashSuspects, target: u32, at: Instant) {
    let began_at = at - Duration::from_millis(50);
    suspects.record_end(&request(1), target, began_at, at);
}

fn is_refused(suspects: &CrashSuspects, now: Instant) -> bool {
    matches!(
        suspects.check(&request(1), now),
        SuspectDecision::Refused(_)
    )
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

// Guards against entries that judge differently as they learned of the same ends in another order.
#[test]
fn entries_that_saw_different_runs_of_the_same_ends_agree() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<2>(start);
    for target in 0..3 {
        let at = start + target * SECOND;
        let long_ago = at - 10 * SECOND;
        entries[0].record_end(&request(1), target, long_ago.max(start - SECOND), at);
        end(&mut entries[1], target, at);
    }
    exchange(&mut entries, start + 2 * SECOND, CONTACT_TIME);
    let now = start + 2 * SECOND + CONTACT_TIME;
    assert!(entries.iter().all(|entry| is_refused(entry, now)));
}

// Guards against ends that stay unknown where the entries could not reach each other at first.
#[test]
fn single_ends_behind_cuts_are_known_once_the_entries_reach_each_other() {
    let start = Instant::now() + SECOND;
    let mut entries = entries::<3>(start);
    for (target, suspects) in (0..3).zip(&mut entries) {
        end(suspects, target, start + target * SECOND / 2);
        exchange(
            std::slice::from_mut(suspects),
            start + 2 * SECOND,
            4 * SECOND,
        );
    }
    let healed_at = start + 6 * SECOND;
    entries.iter_mut().for_each(CrashSuspects::report_again);
    exchange(&mut entries, healed_at, SECOND);
    let now = healed_at + SECOND;
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
    entries[2].record_answer(request(1).iter(), start);
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
    suspects.record_answer(request(1).iter(), start);
    for target in 0..6 {
        end(&mut suspects, target, start + (target + 1) * SECOND);
    }
    assert!(is_refused(&suspects, start + 10 * SECOND));
}

// Guards against callers that are told to stay away for long before the other entries can have told of
// what else ran at the last end.
#[test]
fn refusal_is_short_until_the_other_entries_have_told_of_the_last_end() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for target in 0..3 {
        end(&mut suspects, target, start + target * SECOND);
    }
    let last_end = start + 2 * SECOND;
    let refused_for = |now| match suspects.check(&request(1), now) {
        SuspectDecision::Refused(after) => after,
        decision => panic!("{decision:?}"),
    };
    let early = refused_for(last_end + SECOND / 10);
    assert!(early <= 2 * SECOND, "{early:?}");
    let late = refused_for(last_end + CONTACT_TIME);
    assert!(60 * SECOND <= late, "{late:?}");
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
    let SuspectDecision::Refused(after) = suspects.check(&request(1), start + 2 * SECOND) else {
        panic!("not refused");
    };

    // Act, assert
    let later = start + 2 * SECOND + after;
    assert_eq!(suspects.admit(&request(1), later), SuspectDecision::Probe);
    assert!(is_refused(&suspects, later + SECOND));
    end(&mut suspects, 9, later + 2 * SECOND);
    let again = later + 60 * SECOND;
    assert!(is_refused(&suspects, again));
    suspects.record_answer(request(1).iter(), again);
    assert_eq!(suspects.check(&request(1), again), SuspectDecision::Clear);
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
        suspects.record_end(&request(1), target, began_at, ended_at);
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
        let (harmful, sound) = (request(harmful), request(sound));
        let start = Instant::now() + SECOND;
        let mut suspects = CrashSuspects::new(start);
        for n_end in 0..3 {
            let at = start + n_end * 4 * SECOND;
            for keys in [&harmful, &sound] {
                suspects.record_end(keys, n_end, at - SECOND, at);
            }
        }

        // Act: both come again, at most one of them is sent.
        let now = start + 10 * SECOND;
        let is_sent = |suspects: &CrashSuspects, keys: &SuspectKeys, now| {
            !matches!(suspects.check(keys, now), SuspectDecision::Refused(_))
        };
        let sent = [&harmful, &sound].map(|keys| is_sent(&suspects, keys, now));
        match sent {
            [true, false] => {
                suspects.record_end(&harmful, 3, now, now + SECOND);
            }
            [false, true] => suspects.record_answer(sound.iter(), now + SECOND),
            _ => panic!("{sent:?}"),
        }

        // Assert
        let now = now + 2 * SECOND;
        assert!(!is_sent(&suspects, &harmful, now));
        assert!(is_sent(&suspects, &sound, now));
    }
}

// Guards against a new popular request that ran at the ends of two harmful ones, by turns, and is
// refused for as long as these.
#[test]
fn request_that_ran_beside_two_harmful_ones_is_refused_for_a_short_time_only() {
    // Arrange: each of the harmful ones has ended a target before the sound one came.
    let (first, second, sound) = (request(1), request(2), request(3));
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    let end = |suspects: &mut CrashSuspects, n_end: u32, all: &[&SuspectKeys]| {
        let at = start + n_end * SECOND;
        for keys in all {
            suspects.record_end(keys, n_end, at - SECOND / 2, at);
        }
    };
    end(&mut suspects, 0, &[&first]);
    end(&mut suspects, 1, &[&second]);
    end(&mut suspects, 2, &[&first, &sound]);
    end(&mut suspects, 3, &[&second, &sound]);
    end(&mut suspects, 4, &[&first, &sound]);

    // Act: the second one comes once more while the sound one is held back.
    let decision = suspects.check(&sound, start + 6 * SECOND);
    end(&mut suspects, 7, &[&second]);

    // Assert
    let SuspectDecision::Refused(after) = decision else {
        panic!("{decision:?}");
    };
    assert!(after <= 6 * SECOND, "{after:?}");
    let now = start + 9 * SECOND;
    assert_eq!(suspects.check(&sound, now), SuspectDecision::Clear);
    for keys in [&first, &second] {
        let decision = suspects.check(keys, now);
        assert!(matches!(decision, SuspectDecision::Refused(_)));
    }
}

// Guards against a harmful part that is let through now and then, as the requests that had it, of
// which each ended a second target in its retry, explain its ends.
#[test]
fn part_of_requests_that_each_ended_two_targets_stays_refused() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for n_request in 0..3 {
        let keys = prompt(u64::from(n_request), &[7]);
        for n_retry in 0..2 {
            let at = start + (2 * n_request + n_retry) * SECOND / 2;
            let target = 2 * n_request + n_retry;
            suspects.record_end(&keys, target, at - SECOND / 20, at);
        }
    }
    let SuspectDecision::Refused(after) = suspects.check(&prompt(9, &[7]), start + 6 * SECOND)
    else {
        panic!("sent");
    };
    assert!(60 * SECOND <= after, "{after:?}");
}

// Guards against a harmful request that is let through now and then, as sound ones ran at each of its
// ends, some at one and some at another.
#[test]
fn request_whose_ends_others_shared_by_turns_stays_refused() {
    let (harmful, sound) = (request(1), [request(2), request(3)]);
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for n_end in 0..4 {
        let at = start + n_end * SECOND;
        for keys in [&harmful, &sound[n_end as usize % 2]] {
            suspects.record_end(keys, n_end, at - SECOND / 2, at);
        }
    }
    let SuspectDecision::Refused(after) = suspects.check(&harmful, start + 6 * SECOND) else {
        panic!("sent");
    };
    assert!(60 * SECOND <= after, "{after:?}");
}

// Guards against a request that stays refused though the harmful one beside it comes no more.
#[test]
fn refusal_that_waits_for_another_request_to_tell_is_short() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for n_end in 0..3 {
        let at = start + n_end * 4 * SECOND;
        for n_request in [1, 2] {
            suspects.record_end(&request(n_request), n_end, at - SECOND, at);
        }
    }
    let now = start + 30 * SECOND;
    for n_request in [1, 2] {
        assert_eq!(
            suspects.check(&request(n_request), now),
            SuspectDecision::Clear
        );
    }
}

/// Records the ends of targets under requests of which no two are alike, four seconds apart.
fn end_prompts(suspects: &mut CrashSuspects, start: Instant, prompts: &[&[u64]]) {
    for (n_prompt, parts) in (0..).zip(prompts) {
        let at = start + n_prompt * 4 * SECOND;
        let keys = prompt(1_000 + u64::from(n_prompt), parts);
        suspects.record_end(&keys, n_prompt, at - SECOND, at);
    }
}

fn refuses(suspects: &CrashSuspects, parts: &[u64], now: Instant) -> bool {
    let decision = suspects.check(&prompt(7, parts), now);
    matches!(decision, SuspectDecision::Refused(_))
}

// Guards against a sound first part that is refused with the harmful part beside it.
#[test]
fn part_is_refused_and_those_beside_it_are_not() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    suspects.record_answer(prompt(5, &[10]).iter(), start);
    end_prompts(&mut suspects, start, &[&[10, 66], &[10, 66], &[10, 66]]);
    let now = start + 20 * SECOND;
    assert!(refuses(&suspects, &[10, 66], now));
    assert!(refuses(&suspects, &[11, 66], now));
    assert!(!refuses(&suspects, &[10], now));
    assert!(!refuses(&suspects, &[10, 12], now));
}

// The same where nothing with the first part was ever answered.
#[test]
fn part_that_came_with_a_harmful_one_only_is_soon_told_apart() {
    for (first, harmful) in [(10, 66), (66, 10)] {
        let start = Instant::now() + SECOND;
        let mut suspects = CrashSuspects::new(start);
        let both: &[u64] = &[first, harmful];
        end_prompts(&mut suspects, start, &[both, both, both]);
        let last_end = start + 8 * SECOND;
        assert!(refuses(&suspects, both, last_end + 2 * SECOND));
        let now = last_end + 2 * CONTACT_TIME;
        assert!(!refuses(&suspects, &[first], now), "{first}");
        suspects.record_answer(prompt(8, &[first]).iter(), now);
        assert!(!refuses(&suspects, &[first, 12], now));
        assert!(refuses(&suspects, both, now));
    }
}

#[test]
fn part_that_all_crashed_prompts_share_is_refused_whatever_stands_beside_it() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    end_prompts(&mut suspects, start, &[&[66, 10], &[66, 11], &[12, 66]]);
    let now = start + 20 * SECOND;
    assert!(refuses(&suspects, &[66], now));
    assert!(refuses(&suspects, &[13, 66], now));
    for sound in [10, 11, 12] {
        assert!(!refuses(&suspects, &[sound], now));
    }
}

// Guards against a part that is blamed for one request that is sent again and again.
#[test]
fn one_request_is_no_evidence_against_the_parts_of_its_prompt() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    for n_end in 0..5 {
        let at = start + n_end * 4 * SECOND;
        suspects.record_end(&prompt(1, &[10]), n_end, at - SECOND, at);
    }
    let now = start + 20 * SECOND;
    assert!(is_refused(&suspects, now));
    assert!(!refuses(&suspects, &[10], now));
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
        suspects.record_end(&request(100 + n_request), 5, start, start + SECOND);
    }
    assert!(suspects.len() <= 4_096);
    assert!(is_refused(&suspects, start + 2 * SECOND));
    let message = PeerMessage::Suspects(suspects.take_reports(start + 2 * SECOND));
    assert!(message.encode().len() <= 1_400);
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
    entries[1].record_answer(request(1).iter(), start + 40 * SECOND);
    exchange(&mut entries, start + 40 * SECOND, 60 * SECOND);
    assert!(entries.iter().all(CrashSuspects::is_empty));

    end(&mut entries[0], 1, start + 100 * SECOND);
    exchange(&mut entries, start + 100 * SECOND, 1_300 * SECOND);
    assert!(entries.iter().all(CrashSuspects::is_empty));
}

#[test]
fn answered_request_is_served_after_all_targets_ended_together_twice() {
    let start = Instant::now() + SECOND;
    let mut suspects = CrashSuspects::new(start);
    suspects.record_answer(request(1).iter(), start);
    for target in 0..16 {
        end(&mut suspects, target, start + (1 + target / 8) * SECOND);
    }
    assert!(!is_refused(&suspects, start + 5 * SECOND));
}
