//! The fold over the configuration stream: races, lost responses, recalls, snapshots and formats.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};

use comfreyhead::prelude::*;
use comfreyhead::version::config::{
    AccountConfig, AppendStatus, BatchName, ConfigChange, ConfigFold, ConfigPath, ConfigRecord,
    ConfigRejection, ConfigSnapshot, FoldOutcome, MAX_HISTORY_VERSIONS, ModelConfig, NonceOutcome,
    PlacementConfig, SkipReason, TargetConfig, TargetRole, diff,
};

fn account(weight: u32) -> AccountConfig {
    AccountConfig {
        token_sha256: Vec::new(),
        tokens_per_second: 100,
        in_flight: 10,
        weight,
    }
}

fn set_account(name: &str, weight: u32) -> ConfigChange {
    ConfigChange::SetAccount {
        name: name.into(),
        account: account(weight),
    }
}

fn set_model(name: &str) -> ConfigChange {
    let model = ModelConfig {
        max_tokens: 100,
        timeout_ms: 1_000,
    };
    ConfigChange::SetModel {
        name: name.into(),
        model,
    }
}

fn set_target(name: &str, model: &str) -> ConfigChange {
    let target = TargetConfig {
        data_centre: "a".into(),
        agent: "agent-1".into(),
        work_address: "10.0.0.1:7001".parse().unwrap(),
        control_address: "10.0.0.1:7002".parse().unwrap(),
        serves: TargetRole::Model(model.into()),
        checks_fencing: true,
        slots: 4,
    };
    ConfigChange::SetTarget {
        name: name.into(),
        target,
    }
}

fn patch_by(author: &str, base: u64, batch: &str, changes: Vec<ConfigChange>) -> Value {
    let record = ConfigRecord::Patch {
        base: VersionNumber(base),
        batch: batch.into(),
        author: author.into(),
        changes,
        nonce: format!("{batch}@{base}").as_str().into(),
    };
    record.encode()
}

fn patch(base: u64, batch: &str, changes: Vec<ConfigChange>) -> Value {
    patch_by("ann", base, batch, changes)
}

fn recall(base: u64, batch: &str) -> Value {
    let record = ConfigRecord::Recall {
        base: VersionNumber(base),
        batch: batch.into(),
        author: "ann".into(),
        nonce: format!("recall {batch}@{base}").as_str().into(),
    };
    record.encode()
}

fn upgrade(base: u64, to: u32) -> Value {
    let record = ConfigRecord::Upgrade {
        base: VersionNumber(base),
        to,
        author: "ann".into(),
        nonce: "upgrade".into(),
    };
    record.encode()
}

fn fold_all(fold: &mut ConfigFold, records: &[Value]) -> Vec<FoldOutcome> {
    let numbered = (0..).map(LogOffset).zip(records);
    numbered
        .map(|(offset, value)| fold.apply(offset, value))
        .collect()
}

fn rejection(outcome: &FoldOutcome) -> &ConfigRejection {
    match outcome {
        FoldOutcome::Rejected(rejection) => rejection,
        other => panic!("expected a rejection, not {other}"),
    }
}

/// Folds the records of a new stream and returns the rejection message of the last one.
fn last_rejection(records: &[Value]) -> String {
    let outcomes = fold_all(&mut ConfigFold::new(), records);
    rejection(&outcomes[records.len() - 1]).to_string()
}

#[test]
fn first_of_two_patches_on_one_base_is_accepted_and_the_other_gets_a_conflict() {
    let mut fold = ConfigFold::new();
    let records = [
        patch(0, "b1", vec![set_account("guild", 1)]),
        patch(0, "b2", vec![set_account("guild", 2)]),
    ];

    let outcomes = fold_all(&mut fold, &records);

    assert!(matches!(outcomes[0], FoldOutcome::Accepted(_)));
    let rejection = rejection(&outcomes[1]);
    insta::assert_snapshot!(rejection, @"conflict: version 1 is current, not 0; since then: version 1 (batch b1, by ann) changed accounts/guild; look at these and send the patch again against 1");
    assert_eq!(fold.current().content.accounts["guild"].weight, 1);
    let accepted = NonceOutcome::Accepted(VersionNumber(1));
    assert_eq!(fold.outcome_of(&"b1@0".into()), accepted);
    let rejected = NonceOutcome::Rejected(rejection.clone());
    assert_eq!(fold.outcome_of(&"b2@0".into()), rejected);
    assert_eq!(fold.outcome_of(&"b3@0".into()), NonceOutcome::NotSeen);
}

#[test]
fn duplicate_record_in_the_log_is_applied_once() {
    let record = patch(0, "b1", vec![set_account("guild", 1)]);
    let mut fold = ConfigFold::new();

    fold_all(&mut fold, &[record.clone(), record]);

    assert_eq!(fold.current().number, VersionNumber(1));
    let accepted = NonceOutcome::Accepted(VersionNumber(1));
    assert_eq!(fold.outcome_of(&"b1@0".into()), accepted);
}

#[test]
fn status_of_an_append_without_response_follows_from_its_nonce_and_base() {
    let mut fold = ConfigFold::new();
    let pending = fold.append_status(&"late@0".into(), VersionNumber(0));
    let records = [
        patch(0, "b1", vec![set_account("guild", 1)]),
        patch(0, "b2", vec![set_account("guild", 2)]),
    ];
    fold_all(&mut fold, &records);

    let base = VersionNumber(0);
    let accepted = fold.append_status(&"b1@0".into(), base);
    let rejected = fold.append_status(&"b2@0".into(), base);
    let superseded = fold.append_status(&"late@0".into(), base);
    let late = fold.apply(LogOffset(2), &patch(0, "late", vec![set_model("llm")]));

    assert_eq!(pending, AppendStatus::Pending(base));
    assert_eq!(accepted, AppendStatus::Accepted(VersionNumber(1)));
    assert!(matches!(rejected, AppendStatus::Rejected(_)));
    assert_eq!(superseded, AppendStatus::Superseded(VersionNumber(1)));
    assert!(matches!(late, FoldOutcome::Rejected(_)));
}

#[test]
fn invalid_version_is_rejected_with_all_validation_errors() {
    let mut bad = account(0);
    bad.token_sha256 = vec!["secret".to_owned()];
    let mut shared = account(1);
    shared.token_sha256 = vec!["ab".repeat(32), "ab".repeat(32)];
    let set = |name: &str, account| ConfigChange::SetAccount {
        name: name.into(),
        account,
    };
    let placement = PlacementConfig {
        skew_weight: 0.000_1,
        ..PlacementConfig::default()
    };
    let changes = vec![
        set("guild", bad),
        set("regie", shared),
        set_target("t1", "llm"),
        ConfigChange::SetPlacement { placement },
    ];

    let text = last_rejection(&[patch(0, "b1", changes)]);

    insta::assert_snapshot!(text.replace("; ", "\n"), @r"
    the version would not be valid: accounts/guild: token_sha256 holds SHA-256 hashes of tokens as 64 lower-case hex digits, never tokens
    accounts/guild: weight is at least 1
    accounts/regie: a token belongs to one account, and is listed once: abababababababababababababababababababababababababababababababab
    targets/t1: the model llm that it serves is in the version
    placement: a weight lies between 0 and 1000000 with three decimals
    ");
}

#[test]
fn removal_of_an_absent_entry_and_batch_of_another_author_are_rejected() {
    let removal = ConfigChange::RemoveModel { name: "llm".into() };
    let first = patch(0, "b1", vec![set_account("guild", 1)]);
    let taken = patch_by("bob", 1, "b1", vec![set_account("guild", 2)]);

    let absent = last_rejection(&[patch(0, "b1", vec![removal])]);
    let taken = last_rejection(&[first, taken]);

    insta::assert_snapshot!(absent, @"models/llm cannot be removed: it is not in the version");
    insta::assert_snapshot!(taken, @"batch b1 belongs to ann: choose another batch name");
}

#[test]
fn recall_undoes_every_patch_of_the_batch_in_a_new_version() {
    let mut fold = ConfigFold::new();
    let records = [
        patch(0, "base", vec![set_account("guild", 1)]),
        patch(1, "faulty", vec![set_account("guild", 5)]),
        patch(2, "other", vec![set_account("regie", 2)]),
        patch(3, "faulty", vec![set_account("guild", 9), set_model("llm")]),
        recall(4, "faulty"),
        recall(5, "faulty"),
        patch(5, "faulty", vec![set_model("llm")]),
    ];

    let outcomes = fold_all(&mut fold, &records);

    assert_eq!(fold.current().number, VersionNumber(5));
    let content = &fold.current().content;
    assert_eq!(content.accounts["guild"].weight, 1);
    assert_eq!(content.accounts["regie"].weight, 2);
    assert!(content.models.is_empty());
    for outcome in &outcomes[5..] {
        let rejection = rejection(outcome);
        assert!(matches!(rejection, ConfigRejection::BatchRecalled { .. }));
    }
}

#[test]
fn recall_is_rejected_while_later_patches_depend_on_the_batch() {
    let mut fold = ConfigFold::new();
    let records = [
        patch(0, "models", vec![set_model("llm"), set_account("guild", 1)]),
        patch(1, "targets", vec![set_target("t1", "llm")]),
        recall(2, "models"),
        recall(2, "targets"),
        patch(3, "weights", vec![set_account("guild", 3)]),
        recall(4, "models"),
        recall(4, "weights"),
        recall(5, "models"),
    ];

    let outcomes = fold_all(&mut fold, &records);

    insta::assert_snapshot!(rejection(&outcomes[2]), @"batch models cannot be recalled alone, later versions depend on it: version 2 (batch targets, by ann) changed targets/t1; recall these first or change the entries by a patch");
    insta::assert_snapshot!(rejection(&outcomes[5]), @"batch models cannot be recalled alone, later versions depend on it: version 4 (batch weights, by ann) changed accounts/guild; recall these first or change the entries by a patch");
    assert_eq!(fold.current().number, VersionNumber(6));
    assert!(fold.current().content.models.is_empty());
    assert!(fold.current().content.accounts.is_empty());
}

#[test]
fn batch_whose_first_patch_left_the_history_cannot_be_recalled() {
    let mut fold = ConfigFold::new();
    let mut records = vec![patch(0, "long", vec![set_account("guild", 1)])];
    for base in 1..MAX_HISTORY_VERSIONS as u64 {
        let changes = vec![set_account("regie", 1)];
        records.push(patch(base, &format!("b{base}"), changes));
    }
    let base = records.len() as u64;
    records.push(patch(base, "long", vec![set_account("guild", 2)]));
    records.push(recall(base + 1, "long"));

    let outcomes = fold_all(&mut fold, &records);

    let rejection = rejection(&outcomes[records.len() - 1]);
    assert!(matches!(rejection, ConfigRejection::BatchUnknown { .. }));
    assert_eq!(fold.history().entries().len(), MAX_HISTORY_VERSIONS);
}

#[test]
fn corrupt_records_are_skipped_and_later_records_are_applied() {
    let mut fold = ConfigFold::new();
    let mut unknown_field = patch(0, "b0", vec![set_account("guild", 7)]);
    unknown_field["surprise"] = json!(1);
    let records = [
        json!("not a record"),
        json!({"format": 1, "kind": "poem"}),
        json!({"kind": "patch"}),
        json!({"format": -3, "kind": "patch"}),
        unknown_field,
        patch(0, "b1", vec![set_account("guild", 1)]),
    ];

    let outcomes = fold_all(&mut fold, &records);

    for outcome in &outcomes[..5] {
        let skipped = matches!(outcome, FoldOutcome::Skipped(SkipReason::Corrupt(_)));
        assert!(skipped, "{outcome}");
    }
    assert_eq!(fold.current().number, VersionNumber(1));
}

#[test]
fn old_and_new_software_agree_until_an_upgrade_then_the_old_one_stops() {
    let mut old = ConfigFold::new();
    let mut new = ConfigFold::with_newest_format(2);
    let mut early = patch(0, "early", vec![set_account("guild", 8)]);
    early["format"] = json!(2);
    let mut late = patch(2, "late", vec![set_account("guild", 9)]);
    late["format"] = json!(2);
    let records = [
        early,
        patch(0, "b1", vec![set_account("guild", 1)]),
        upgrade(1, 3),
        upgrade(1, 2),
        late,
        patch(2, "b2", vec![set_account("guild", 2)]),
    ];

    let seen_by_old = fold_all(&mut old, &records);
    let seen_by_new = fold_all(&mut new, &records);

    let skipped = FoldOutcome::Skipped(SkipReason::Format(2));
    assert_eq!(seen_by_old[0], skipped);
    assert_eq!(seen_by_old[..4], seen_by_new[..4]);
    assert_eq!(seen_by_old[4], FoldOutcome::UnsupportedFormat { format: 2 });
    assert_eq!(seen_by_old[5], FoldOutcome::UnsupportedFormat { format: 2 });
    assert_eq!(old.current().number, VersionNumber(2));
    assert_eq!(new.current().number, VersionNumber(3));
    assert_eq!(new.current().content.accounts["guild"].weight, 9);
}

#[test]
fn reader_of_a_trimmed_stream_waits_for_a_snapshot_and_reaches_the_same_state() {
    let mut records = vec![
        patch(0, "b1", vec![set_account("guild", 1)]),
        patch(1, "b2", vec![set_account("guild", 2)]),
    ];
    let mut early = ConfigFold::new();
    fold_all(&mut early, &records);
    records.push(patch(2, "b3", vec![set_account("regie", 3)]));
    records.push(early.snapshot_record(Timestamp(0)).unwrap().encode());
    records.push(recall(3, "b2"));
    let mut whole = ConfigFold::new();
    let outcomes = fold_all(&mut whole, &records);

    let mut trimmed = ConfigFold::new();
    let waiting = trimmed.apply(LogOffset(2), &records[2]);
    let loaded = trimmed.apply(LogOffset(3), &records[3]);
    for (offset, record) in records.iter().enumerate().skip(2) {
        trimmed.apply(LogOffset(offset as u64), record);
    }

    let stale = FoldOutcome::Skipped(SkipReason::StaleSnapshot);
    assert_eq!(outcomes[3], stale);
    let awaiting = FoldOutcome::Skipped(SkipReason::AwaitingSnapshot);
    assert_eq!(waiting, awaiting);
    let resume_at = LogOffset(2);
    assert_eq!(loaded, FoldOutcome::Loaded { resume_at });
    assert_eq!(trimmed.snapshot(), whole.snapshot());
}

#[test]
fn stream_trimmed_to_its_last_snapshot_can_be_read() {
    let mut writer = ConfigFold::new();
    writer.apply(LogOffset(0), &patch(0, "b1", vec![set_account("guild", 1)]));
    let first = writer.snapshot_record(Timestamp(0)).unwrap().encode();
    writer.apply(LogOffset(1), &first);
    let second = writer.snapshot_record(Timestamp(0)).unwrap().encode();
    let mut reader = ConfigFold::new();
    let mut late_reader = ConfigFold::new();

    let unusable = late_reader.apply(LogOffset(3), &second);
    let loaded = reader.apply(LogOffset(2), &second);

    let resume_at = LogOffset(2);
    assert_eq!(loaded, FoldOutcome::Loaded { resume_at });
    assert_eq!(reader.snapshot(), writer.snapshot());
    let stale = FoldOutcome::Skipped(SkipReason::StaleSnapshot);
    assert_eq!(unusable, stale);
}

#[test]
fn gap_in_the_stream_stops_the_fold_before_a_conflicting_patch_is_accepted() {
    let mut fold = ConfigFold::new();
    let winner = patch(0, "b1", vec![set_account("guild", 1)]);
    let loser = patch(0, "b2", vec![set_account("guild", 2)]);

    let missed = fold.apply(LogOffset(1), &loser);

    let awaiting = FoldOutcome::Skipped(SkipReason::AwaitingSnapshot);
    assert_eq!(missed, awaiting);
    assert_eq!(fold.next_offset(), None);
    assert_eq!(fold.rewind(), LogOffset(0));
    fold_all(&mut fold, &[winner, loser]);
    assert_eq!(fold.current().content.accounts["guild"].weight, 1);
}

#[test]
fn snapshot_with_a_wrong_digest_is_skipped() {
    let mut state = ConfigFold::new().snapshot().clone();
    let version = Arc::make_mut(&mut state.version);
    version.number = VersionNumber(9);
    version.content.accounts.insert("guild".into(), account(1));
    let state = Box::new(state);
    let read_to = LogOffset(0);
    let written_at = Timestamp(0);
    let record = ConfigRecord::Snapshot {
        state,
        read_to,
        written_at,
    }
    .encode();

    let outcome = ConfigFold::new().apply(LogOffset(0), &record);

    let skipped = matches!(outcome, FoldOutcome::Skipped(SkipReason::Corrupt(_)));
    assert!(skipped, "{outcome}");
}

#[test]
#[should_panic(expected = "one content per version number")]
fn different_contents_of_one_version_number_panic() {
    let mut fold = ConfigFold::new();
    let mut other = ConfigFold::new();
    fold_all(&mut fold, &[patch(0, "b1", vec![set_account("guild", 1)])]);
    fold_all(&mut other, &[patch(0, "b1", vec![set_account("guild", 2)])]);

    fold.install(other.snapshot().clone());
}

#[test]
fn diff_lists_the_changed_paths() {
    let mut fold = ConfigFold::new();
    let changes = vec![set_account("guild", 1), set_model("llm")];
    fold_all(&mut fold, &[patch(0, "b1", changes)]);
    let before = fold.current().clone();
    let removal = ConfigChange::RemoveModel { name: "llm".into() };
    let changes = vec![set_account("guild", 2), set_account("regie", 1), removal];
    fold.apply(LogOffset(1), &patch(1, "b2", changes));

    let differences = diff(&before.content, &fold.current().content);

    let texts: Vec<String> = differences.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(texts.join("\n"), @r"
    changed accounts/guild
    added accounts/regie
    removed models/llm
    ");
}

/// A step of a random stream; the first number of a record is how far its base lags behind the
/// current version.
#[derive(Clone, Debug)]
enum StreamStep {
    Patch(u64, u8, u8, u32),
    Remove(u64, u8, u8),
    Recall(u64, u8),
    Snapshot,
    Corrupt,
    Repeat,
}

fn any_step() -> impl Strategy<Value = StreamStep> {
    let lag = || prop_oneof![4 => Just(0u64), 1 => 1..3u64];
    prop_oneof![
        6 => (lag(), 0..6u8, 0..4u8, 0..5u32)
            .prop_map(|(lag, batch, name, weight)| StreamStep::Patch(lag, batch, name, weight)),
        2 => (lag(), 0..6u8, 0..4u8)
            .prop_map(|(lag, batch, name)| StreamStep::Remove(lag, batch, name)),
        3 => (lag(), 0..6u8).prop_map(|(lag, batch)| StreamStep::Recall(lag, batch)),
        1 => Just(StreamStep::Snapshot),
        1 => Just(StreamStep::Corrupt),
        1 => Just(StreamStep::Repeat),
    ]
}

/// Builds the log records for the steps, and the fold of all of them.
fn build_stream(steps: &[StreamStep]) -> (Vec<Value>, ConfigFold) {
    let mut fold = ConfigFold::new();
    let mut records: Vec<Value> = Vec::new();
    for (at, step) in steps.iter().enumerate() {
        let current = fold.current().number.0;
        let record = match step {
            StreamStep::Patch(lag, batch, name, weight) => {
                let changes = vec![set_account(&format!("a{name}"), *weight)];
                patch(current.saturating_sub(*lag), &format!("b{batch}"), changes)
            }
            StreamStep::Remove(lag, batch, name) => {
                let name = format!("a{name}").into();
                let changes = vec![ConfigChange::RemoveAccount { name }];
                patch(current.saturating_sub(*lag), &format!("b{batch}"), changes)
            }
            StreamStep::Recall(lag, batch) => {
                recall(current.saturating_sub(*lag), &format!("b{batch}"))
            }
            StreamStep::Snapshot => fold.snapshot_record(Timestamp(0)).unwrap().encode(),
            StreamStep::Corrupt => json!({"format": 1}),
            StreamStep::Repeat => records.last().cloned().unwrap_or(Value::Null),
        };
        fold.apply(LogOffset(at as u64), &record);
        records.push(record);
    }
    (records, fold)
}

/// Returns the first version in which `batch` changed `path`.
fn first_change(fold: &ConfigFold, batch: &BatchName, path: &ConfigPath) -> VersionNumber {
    let mut entries = fold.history().of_batch(batch);
    let first = entries.find(|entry| entry.paths().contains(path));
    first.unwrap().accepted.number
}

fn run_config() -> Config {
    let cases = std::env::var("COMFREYHEAD_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(64),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(run_config())]

    #[test]
    fn replay_install_and_trimmed_read_give_the_same_state(
        steps in prop::collection::vec(any_step(), 1..60),
        from in 0..60usize,
    ) {
        let (records, whole) = build_stream(&steps);
        let from = from.min(records.len() - 1);

        let mut replayed = ConfigFold::new();
        for entry in whole.history().entries() {
            prop_assert!(replayed.replay(&entry.accepted));
        }
        let mut installed = ConfigFold::new();
        installed.install(whole.snapshot().clone());
        let mut trimmed = ConfigFold::new();
        let mut at = from;
        while at < records.len() {
            let outcome = trimmed.apply(LogOffset(at as u64), &records[at]);
            at += 1;
            if let FoldOutcome::Loaded { resume_at } = outcome {
                at = (resume_at.0 as usize).max(from);
            }
        }
        let encoded = serde_json::to_string(whole.snapshot()).unwrap();
        let decoded: ConfigSnapshot = serde_json::from_str(&encoded).unwrap();

        prop_assert_eq!(replayed.snapshot(), whole.snapshot());
        prop_assert_eq!(installed.snapshot(), whole.snapshot());
        if trimmed.next_offset().is_some() {
            prop_assert_eq!(trimmed.snapshot(), whole.snapshot());
        }
        prop_assert_eq!(&decoded, whole.snapshot());
        prop_assert!(decoded.digest_matches());
    }

    #[test]
    fn one_record_is_accepted_per_base_and_a_recall_restores_the_earlier_content(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let (records, _) = build_stream(&steps);
        let mut fold = ConfigFold::new();
        let mut contents = vec![fold.current().content.clone()];
        for (at, record) in records.iter().enumerate() {
            let before = fold.current().number;
            let outcome = fold.apply(LogOffset(at as u64), record);
            let FoldOutcome::Accepted(version) = outcome else {
                prop_assert_eq!(fold.current().number, before);
                continue;
            };
            prop_assert_eq!(version.number, before.next());
            prop_assert_eq!(record["base"].as_u64(), Some(before.0));
            contents.push(version.content.clone());
            if record["kind"] != "recall" {
                continue;
            }
            let batch = BatchName::from(record["batch"].as_str().unwrap());
            for path in fold.history().of_batch(&batch).flat_map(|entry| entry.paths()) {
                let first = first_change(&fold, &batch, &path);
                let differences = diff(&contents[first.0 as usize - 1], &version.content);
                prop_assert!(differences.iter().all(|difference| difference.path != path));
            }
        }
    }
}
