//! What entries keep in the store of the requests that may have ended targets, and what an entry makes
//! of it that starts with no peer alive.

use std::time::Duration;

use comfreyhead_fleet::peers::PeerMessage;
use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::request::CallDigest;
use comfreyhead_fleet::routing::{
    CrashSuspects, RecordError, RecordWriter, SuspectDecision, SuspectKeys, SuspectRecord,
};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// The time of day at the start of each test.
const UNIX_MS: i64 = 1_700_000_000_000;

fn request(n_request: u64) -> SuspectKeys {
    SuspectKeys {
        request: CallDigest(n_request),
        parts: SmallVec::new(),
    }
}

/// Records ends of targets under request 1, one a second, each at another target.
fn end_each_second(suspects: &mut CrashSuspects, n_ends: u32, start: Instant) {
    for target in 0..n_ends {
        let at = start + target * SECOND;
        let began_at = at - Duration::from_millis(50);
        suspects.record_end(&request(1), target, began_at, at);
    }
}

/// Returns the bytes that an entry writes whose clock is ahead by a number of milliseconds.
fn written(suspects: &CrashSuspects, start: Instant, now: Instant, ahead_ms: i64) -> Vec<u8> {
    let unix_ms = UNIX_MS + ahead_ms + (now - start).as_millis() as i64;
    suspects
        .record(now)
        .encode(suspects.unix_offset(unix_ms, now))
}

/// Reads bytes at an entry whose clock is right.
fn read(suspects: &mut CrashSuspects, bytes: &[u8], start: Instant, now: Instant) -> usize {
    let record = SuspectRecord::decode(bytes).unwrap();
    let unix_ms = UNIX_MS + (now - start).as_millis() as i64;
    suspects.restore(record, RecordWriter::Other, unix_ms, now)
}

fn is_refused(suspects: &CrashSuspects, now: Instant) -> bool {
    let decision = suspects.check(&request(1), now);
    matches!(decision, SuspectDecision::Refused(_))
}

/// An entry that saw so many ends, and one that starts 10 s later and reads what the first one kept.
fn restarted(n_ends: u32) -> (CrashSuspects, Instant) {
    let start = Instant::now();
    let mut before = CrashSuspects::new(start);
    end_each_second(&mut before, n_ends, start);
    let now = start + 10 * SECOND;
    let bytes = written(&before, start, now, 0);
    let mut after = CrashSuspects::new(now);
    read(&mut after, &bytes, start, now);
    (after, now)
}

#[test]
fn harmful_request_is_refused_by_an_entry_that_starts() {
    let (suspects, now) = restarted(3);
    assert!(is_refused(&suspects, now));
}

// Guards against two ends before a restart and further ones after it that do not add up.
#[test]
fn ends_before_and_after_a_restart_add_up() {
    let (mut suspects, now) = restarted(2);
    assert!(!is_refused(&suspects, now));
    let at = now + SECOND;
    suspects.record_end(&request(1), 7, now, at);
    assert!(is_refused(&suspects, at));
    assert!(is_refused(&suspects, at + 500 * SECOND));
}

// Guards against every request that ran as a target ended being written.
#[test]
fn requests_with_a_single_end_or_an_answer_since_are_not_kept() {
    let start = Instant::now();
    let mut suspects = CrashSuspects::new(start);
    end_each_second(&mut suspects, 1, start);
    assert!(suspects.record(start + SECOND).is_empty());
    end_each_second(&mut suspects, 3, start);
    assert_eq!(suspects.record(start + 3 * SECOND).len(), 1);
    suspects.record_answer(request(1).iter(), start + 4 * SECOND);
    assert!(suspects.record(start + 5 * SECOND).is_empty());
}

// Guards against all entries writing what a few of them saw.
#[test]
fn only_entries_that_saw_an_end_keep_it() {
    let start = Instant::now();
    let mut observer = CrashSuspects::new(start);
    let mut other = CrashSuspects::new(start);
    end_each_second(&mut observer, 3, start);
    let now = start + 3 * SECOND;
    for report in observer.take_reports(now) {
        other.observe_report(&report, now);
    }
    assert!(is_refused(&other, now));
    assert!(other.record(now).is_empty());

    // After a restart the one that kept it goes on.
    let record = observer.record(now);
    let mut restarted = CrashSuspects::new(now);
    let offset = restarted.unix_offset(0, now) - observer.unix_offset(0, now);
    let unix_ms = restarted.unix_offset(0, now);
    let kept = SuspectRecord::decode(&record.encode(offset)).unwrap();
    restarted.restore(kept, RecordWriter::This, -unix_ms, now);
    assert_eq!(restarted.record(now).len(), 1);
}

// Guards against a sound request that is refused for ten minutes after a restart, which lost the
// answers that would have cleared it.
#[test]
fn restored_verdict_holds_for_a_time_that_grows_with_its_ends() {
    for (n_ends, refused_s) in [(3, 10), (4, 20), (5, 40), (8, 320)] {
        let (mut suspects, now) = restarted(n_ends);
        let end = now + refused_s * SECOND;
        assert!(is_refused(&suspects, end - SECOND), "{n_ends}");
        assert_eq!(suspects.admit(&request(1), end), SuspectDecision::Probe);
        assert!(is_refused(&suspects, end + SECOND), "one probe at a time");
        suspects.record_answer(request(1).iter(), end + SECOND);
        let decision = suspects.check(&request(1), end + 2 * SECOND);
        assert_eq!(decision, SuspectDecision::Clear);
    }
}

// Guards against a restart that makes a verdict last longer than it would have.
#[test]
fn restored_verdict_ends_no_later_than_without_a_restart() {
    let start = Instant::now();
    let mut before = CrashSuspects::new(start);
    end_each_second(&mut before, 3, start);
    let now = start + 600 * SECOND;
    let bytes = written(&before, start, start + 3 * SECOND, 0);
    let mut after = CrashSuspects::new(now);
    read(&mut after, &bytes, start, now);
    assert!(is_refused(&after, now + SECOND));
    assert!(!is_refused(&after, now + 2 * SECOND));
}

// Guards against one end that counts twice, as it is written by machines with different clocks and
// reported by entries that run.
#[test]
fn ends_of_several_records_and_reports_count_once() {
    let start = Instant::now();
    let mut writers = [CrashSuspects::new(start), CrashSuspects::new(start)];
    writers
        .iter_mut()
        .for_each(|writer| end_each_second(writer, 2, start));
    let now = start + 5 * SECOND;
    let mut reader = CrashSuspects::new(now);
    read(
        &mut reader,
        &written(&writers[0], start, now, 4_000),
        start,
        now,
    );
    read(
        &mut reader,
        &written(&writers[1], start, now, -4_000),
        start,
        now,
    );
    for report in writers[0].take_reports(now) {
        reader.observe_report(&report, now);
    }
    assert!(!is_refused(&reader, now + 3 * SECOND));
}

// Guards against ends of one target that is back under its id each time being taken for one end.
#[test]
fn ends_of_one_target_in_a_record_all_count() {
    let start = Instant::now();
    let mut before = CrashSuspects::new(start);
    for n_end in 0..3 {
        let at = start + n_end * 2 * SECOND;
        before.record_end(&request(1), 7, at - Duration::from_millis(50), at);
    }
    let now = start + 6 * SECOND;
    let mut after = CrashSuspects::new(now);
    read(&mut after, &written(&before, start, now, 3_000), start, now);
    assert!(is_refused(&after, now + SECOND));
    let ends = after
        .take_reports(now)
        .iter()
        .map(|r| r.ends.len())
        .sum::<usize>();
    assert_eq!(ends, 3);

    // Once more, by way of a second record and a report of another entry.
    read(
        &mut after,
        &written(&before, start, now, -3_000),
        start,
        now,
    );
    let reports = before.take_reports(now);
    reports.iter().for_each(|report| {
        after.observe_report(report, now);
    });
    let later = now + SECOND;
    let ends = after
        .take_reports(later)
        .iter()
        .map(|r| r.ends.len())
        .sum::<usize>();
    assert_eq!(ends, 3);
}

// Guards against what is known from the store only staying with the entries that read it.
#[test]
fn restored_ends_are_told_to_entries_that_could_not_read_the_store() {
    let (mut reader, now) = restarted(3);
    let reports = reader.take_reports(now);
    assert!(reports.iter().all(|report| report.is_restored));
    let message = PeerMessage::Restored(reports).encode();
    let Some(PeerMessage::Restored(reports)) = PeerMessage::decode(&message) else {
        panic!("not a report");
    };
    let mut other = CrashSuspects::new(now);
    for mut report in reports {
        report.is_restored = true;
        other.observe_report(&report, now);
    }
    assert!(is_refused(&other, now));
    // It is no verdict of a running entry.
    assert!(!is_refused(&other, now + 11 * SECOND));
}

// Guards against a request that was answered before its targets ended by chance, and is taken for a new
// one after a restart.
#[test]
fn answers_before_the_ends_outlast_a_restart() {
    let start = Instant::now();
    let mut before = CrashSuspects::new(start);
    before.record_answer(request(1).iter(), start);
    end_each_second(&mut before, 3, start + SECOND);
    let now = start + 10 * SECOND;
    let bytes = written(&before, start, now, 0);
    let mut after = CrashSuspects::new(now);
    read(&mut after, &bytes, start, now);
    assert!(!is_refused(&after, now));
}

// Guards against records that grow with what happens, and against suspects that push out worse ones.
#[test]
fn records_are_bounded_and_hold_the_worst_suspects() {
    let start = Instant::now();
    let mut suspects = CrashSuspects::new(start);
    for n_request in 0..3_000 {
        let n_ends = if n_request < 5 { 12 } else { 2 };
        for n_end in 0..n_ends {
            let at = start + n_end * SECOND;
            let target = n_request as u32 * 100 + n_end;
            suspects.record_end(&request(n_request), target, at, at);
        }
    }
    let now = start + 20 * SECOND;
    let record = suspects.record(now);
    assert_eq!(record.len(), 24);
    assert!(written(&suspects, start, now, 0).len() < 8_192);
    let mut reader = CrashSuspects::new(now);
    read(&mut reader, &written(&suspects, start, now, 0), start, now);
    for n_request in 0..5 {
        let decision = reader.check(&request(n_request), now);
        assert!(matches!(decision, SuspectDecision::Refused(_)));
    }
}

// Guards against verdicts that never lapse, and against clocks that are far ahead.
#[test]
fn old_and_future_ends_are_not_restored() {
    let start = Instant::now();
    let mut before = CrashSuspects::new(start);
    end_each_second(&mut before, 3, start);
    let now = start + 5 * SECOND;
    let late = start + 1_300 * SECOND;
    let mut reader = CrashSuspects::new(late);
    assert_eq!(
        read(&mut reader, &written(&before, start, now, 0), start, late),
        0
    );
    let ahead = written(&before, start, now, 3_600_000);
    assert_eq!(read(&mut reader, &ahead, start, now), 0);
    assert!(!is_refused(&reader, now));
}

#[test]
fn records_of_another_format_are_named() {
    let start = Instant::now();
    let mut bytes = written(&CrashSuspects::new(start), start, start, 0);
    assert_eq!(SuspectRecord::decode(&bytes), Ok(SuspectRecord::default()));
    bytes[0] = 2;
    assert_eq!(SuspectRecord::decode(&bytes), Err(RecordError::Format(2)));
    assert_eq!(SuspectRecord::decode(b"\x01x"), Err(RecordError::Malformed));
    assert_eq!(SuspectRecord::decode(&[]), Err(RecordError::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_records_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let now = Instant::now();
        let bytes = [&[1_u8][..], &bytes].concat();
        if let Ok(record) = SuspectRecord::decode(&bytes) {
            let mut suspects = CrashSuspects::new(now);
            suspects.restore(record, RecordWriter::This, UNIX_MS, now);
            let _ = suspects.check(&request(1), now);
            let _ = suspects.record(now).encode(UNIX_MS);
            let _ = suspects.take_reports(now);
        }
    }
}
