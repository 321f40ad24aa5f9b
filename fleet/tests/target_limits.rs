//! The limits that targets name in their answers: which are in force, and what they change in the
//! choice of targets.

use std::time::Duration;

use comfreyhead_fleet::prelude::*;
use comfreyhead_fleet::roster::RosterChange;
use comfreyhead_fleet::routing::{LimitChange, LimitNotice, LimitReport, RoutingTable, name_hash};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);

fn target(id: &str, started_ms: u64) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        service: "svc".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        slots: 12,
        draining: false,
        started_ms,
    }
}

fn table_of(ids: &[&str]) -> RoutingTable {
    let mut table = RoutingTable::new("a".into());
    for id in ids {
        table.apply(&RosterChange::Changed(target(id, 1)));
    }
    table
}

fn choose(table: &RoutingTable, now: Instant) -> Option<Arc<str>> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let pick = table.choose("svc", &[], now, &mut rng);
    pick.map(|pick| pick.id)
}

fn limit(table: &RoutingTable, id: &str) -> Option<f32> {
    table.limit_of(name_hash(id))
}

#[test]
fn limit_is_read_as_a_decimal_number_from_zero_on() {
    for (text, notice) in [
        ("2.3", LimitNotice::Named(2.3)),
        (" 0 ", LimitNotice::Named(0.0)),
        ("1e9", LimitNotice::Named(1e9)),
        ("-1", LimitNotice::Malformed),
        ("nan", LimitNotice::Malformed),
        ("inf", LimitNotice::Malformed),
        ("1e99", LimitNotice::Malformed),
        ("2,3", LimitNotice::Malformed),
        ("", LimitNotice::Malformed),
    ] {
        assert_eq!(LimitNotice::parse(text.as_bytes()), notice, "{text:?}");
    }
    assert_eq!(LimitNotice::parse(&[0xff]), LimitNotice::Malformed);
}

#[test]
fn limit_holds_until_an_answer_without_one() {
    // Arrange
    let now = Instant::now();
    let mut table = table_of(&["t"]);
    let change = table.observe_limit("t", LimitNotice::Named(2.0), now);
    assert_eq!(change, LimitChange::Named(2.0));

    // Act, assert: one that was overtaken, and rejections, end nothing.
    table.observe_limit("t", LimitNotice::Absent, now + SECOND / 10);
    table.observe_limit("t", LimitNotice::Unknown, now + 60 * SECOND);
    assert_eq!(limit(&table, "t"), Some(2.0));
    let change = table.observe_limit("t", LimitNotice::Absent, now + 61 * SECOND);
    assert_eq!(change, LimitChange::Ended);
    assert_eq!(limit(&table, "t"), None);
}

// Guards against input that ends a limit, or is logged for each answer.
#[test]
fn malformed_limit_changes_nothing_and_is_told_once() {
    let now = Instant::now();
    let mut table = table_of(&["t"]);
    table.observe_limit("t", LimitNotice::Named(2.0), now);
    let told =
        (1..9_u32).map(|n| table.observe_limit("t", LimitNotice::Malformed, now + n * SECOND));
    let n_told = told.filter(|change| *change != LimitChange::Same).count();
    assert_eq!(n_told, 1);
    assert_eq!(limit(&table, "t"), Some(2.0));
}

// Guards against a limit that outlives the process which named it.
#[test]
fn target_that_starts_anew_has_no_limit() {
    let mut table = table_of(&["t"]);
    table.observe_limit("t", LimitNotice::Named(2.0), Instant::now());
    table.apply(&RosterChange::Changed(target("t", 1)));
    assert_eq!(limit(&table, "t"), Some(2.0));
    table.apply(&RosterChange::Changed(target("t", 2)));
    assert_eq!(limit(&table, "t"), None);
}

#[test]
fn target_without_room_is_not_chosen_until_its_limit_changes_or_has_some() {
    let now = Instant::now();
    let mut table = table_of(&["limited", "other"]);
    table.observe_limit("limited", LimitNotice::Named(2.0), now);
    table.set_full("limited", now + SECOND);
    assert_eq!(choose(&table, now).as_deref(), Some("other"));
    assert_eq!(table.limited_for("svc", &[], now), None);
    table.observe_limit("other", LimitNotice::Named(0.0), now);
    table.set_full("other", now + 2 * SECOND);
    assert_eq!(choose(&table, now), None);
    assert_eq!(table.limited_for("svc", &[], now), Some(SECOND));
    assert_eq!(choose(&table, now + SECOND).as_deref(), Some("limited"));
    table.observe_limit("other", LimitNotice::Named(9.0), now);
    assert_eq!(choose(&table, now).as_deref(), Some("other"));
}

// Guards against entries that send as before until they get an answer with the limit themselves.
#[test]
fn entries_learn_of_a_limit_and_its_end_from_each_other() {
    // Arrange
    let now = Instant::now() + 60 * SECOND;
    let mut tables = [table_of(&["t"]), table_of(&["t"]), table_of(&["t"])];
    let pass_on = |tables: &mut [RoutingTable; 3], now: Instant| {
        for (from, to) in [(0, 1), (1, 2), (2, 0)] {
            for report in tables[from].take_limit_reports(now) {
                tables[to].merge_limit(&report, now);
            }
        }
    };

    // Act, assert
    tables[0].observe_limit("t", LimitNotice::Named(2.0), now);
    pass_on(&mut tables, now);
    assert!(tables.iter().all(|table| limit(table, "t") == Some(2.0)));
    let ended_at = now + 5 * SECOND;
    tables[2].observe_limit("t", LimitNotice::Absent, ended_at);
    for n_round in 0..8 {
        pass_on(&mut tables, ended_at + n_round * SECOND / 4);
    }
    assert!(tables.iter().all(|table| limit(table, "t").is_none()));
}

#[test]
fn old_and_invalid_reports_change_nothing() {
    let now = Instant::now() + 60 * SECOND;
    let mut table = table_of(&["t"]);
    table.observe_limit("t", LimitNotice::Named(2.0), now);
    for (rate, age_ms) in [
        (Some(9.0), 500),
        (None, 500),
        (Some(f32::NAN), 0),
        (Some(-1.0), 0),
        (Some(9.0), u32::MAX),
    ] {
        let report = LimitReport {
            target: name_hash("t"),
            rate,
            age_ms,
        };
        assert_eq!(table.merge_limit(&report, now + SECOND / 10), None);
    }
    assert_eq!(limit(&table, "t"), Some(2.0));
}

// Guards against a sum that overflows beside records of another writer.
#[test]
fn slots_of_a_group_are_summed_up_to_the_largest_number() {
    let now = Instant::now();
    let mut table = table_of(&["sound"]);
    for id in ["odd", "odder"] {
        let entry = TargetEntry {
            slots: u32::MAX,
            ..target(id, 1)
        };
        table.apply(&RosterChange::Changed(entry));
    }

    let load = table.group_load("svc", now);

    assert_eq!(load.slots, u32::MAX);
}

// Guards against a group that is given as many streams as before, which the targets without a limit
// then have to take.
#[test]
fn limited_targets_count_with_the_streams_that_their_limits_allow() {
    let now = Instant::now();
    let mut table = table_of(&["limited", "other"]);
    let slots = table.group_load("svc", now).slots;
    table.observe_limit("limited", LimitNotice::Named(2.0), now);
    // A stream takes 2.4 s where none has been seen.
    assert_eq!(table.group_load("svc", now).slots, slots - 12 + 5);
    table.observe_limit("limited", LimitNotice::Named(1e9), now);
    assert_eq!(table.group_load("svc", now).slots, slots);
}
