//! Probes of configuration versions: snapshots, changes and history.

use comfreyhead::prelude::*;
use comfreyhead::version::config::{
    ConfigChange, ConfigFold, ConfigSnapshot, FoldOutcome, ModelConfig,
};
use serde::Serialize;
use serde_json::Value;

use super::fixtures::{
    account_config, account_name, patch, set_account, target_config, target_name,
};
use super::probe::{Probe, ProbeUsage, measure, measure_cpu};

/// Single-account changes per run of the `config-change*` probes.
const N_CHANGES: usize = 20;

pub(super) fn probes() -> Vec<Probe> {
    vec![
        Probe {
            name: "config-account",
            per: "client account of the content, in memory and in a snapshot",
            sizes: &[10_000, 20_000, 40_000, 80_000],
            run: accounts,
        },
        Probe {
            name: "config-target",
            per: "target of the content, in memory and in a snapshot",
            sizes: &[10_000, 20_000, 40_000, 80_000],
            run: targets,
        },
        Probe {
            name: "config-change",
            per: "client account of the content, in 20 changes of one account each",
            sizes: &[2_000, 5_000, 11_000, 20_000],
            run: changes,
        },
        Probe {
            name: "config-change-targets",
            per: "target of the content, in 20 changes of one account each",
            sizes: &[1_000, 2_000, 3_300, 6_000],
            run: changes_beside_targets,
        },
        Probe {
            name: "config-history",
            per: "change in the history, content of 10 accounts",
            sizes: &[250, 500, 750, 1_000],
            run: history,
        },
    ]
}

fn fold_of(changes: Vec<ConfigChange>) -> ConfigFold {
    let mut fold = ConfigFold::new();
    apply(&mut fold, &patch(0, changes));
    fold
}

fn apply(fold: &mut ConfigFold, record: &Value) {
    let offset = fold.next_offset().expect("the fold has a next offset");
    let outcome = fold.apply(offset, record);
    assert!(matches!(outcome, FoldOutcome::Accepted(_)), "{outcome}");
}

/// Measures a fold that a new process installs from a peer's snapshot.
///
/// The snapshot text is built item by item: memory freed during setup would be reused by the
/// measured work and hide its growth.
fn measure_install(field: &str, entries: impl Iterator<Item = (String, String)>) -> ProbeUsage {
    let mut state = serde_json::to_string(ConfigFold::new().snapshot()).expect("state encodes");
    let empty = format!("\"{field}\":{{}}");
    let at = state.find(&empty).expect("the field is empty") + empty.len() - 1;
    let tail = state.split_off(at);
    for (idx, (name, config)) in entries.enumerate() {
        let comma = if idx == 0 { "" } else { "," };
        state.push_str(&format!("{comma}\"{name}\":{config}"));
    }
    state.push_str(&tail);
    let text = state.replacen("\"number\":0", "\"number\":1", 1);
    let mut usage = measure(|| {
        let state: ConfigSnapshot = serde_json::from_str(&text).expect("snapshot decodes");
        let mut fold = ConfigFold::new();
        assert!(
            fold.install(state),
            "the snapshot is not newer than the fold"
        );
        fold
    });
    usage.wire_bytes = text.len() as u64;
    usage
}

fn accounts(n: usize) -> ProbeUsage {
    let entry = |idx| (account_name(idx).to_string(), encoded(&account_config(idx)));
    measure_install("accounts", (0..n).map(entry))
}

fn targets(n: usize) -> ProbeUsage {
    let entry = |idx| (target_name(idx).to_string(), encoded(&target_config(idx)));
    measure_install("targets", (0..n).map(entry))
}

fn encoded(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("settings encode")
}

fn changes(n_accounts: usize) -> ProbeUsage {
    let fold = fold_of((0..n_accounts).map(set_account).collect());
    change_one_account(fold)
}

fn changes_beside_targets(n_targets: usize) -> ProbeUsage {
    let models = (0..4).map(|idx| ConfigChange::SetModel {
        name: format!("model-{idx}").into(),
        model: ModelConfig {
            max_tokens: 4_096,
            timeout_ms: 120_000,
        },
    });
    let targets = (0..n_targets).map(|idx| ConfigChange::SetTarget {
        name: target_name(idx),
        target: target_config(idx),
    });
    change_one_account(fold_of(models.chain(targets).collect()))
}

fn change_one_account(mut fold: ConfigFold) -> ProbeUsage {
    let records: Vec<Value> = (0..N_CHANGES)
        .map(|idx| one_change(idx as u64 + 1))
        .collect();
    measure_cpu(|| records.iter().for_each(|record| apply(&mut fold, record)))
}

fn history(n: usize) -> ProbeUsage {
    let mut fold = fold_of((0..10).map(set_account).collect());
    let records: Vec<Value> = (0..n).map(|idx| one_change(idx as u64 + 1)).collect();
    let wire_bytes = records
        .iter()
        .map(|record| record.to_string().len() as u64)
        .sum();
    let mut usage = measure(|| {
        records.iter().for_each(|record| apply(&mut fold, record));
        fold
    });
    usage.wire_bytes = wire_bytes;
    usage
}

/// Returns a patch that changes one account of version `base`.
fn one_change(base: u64) -> Value {
    let ConfigChange::SetAccount { mut account, .. } = set_account(3) else {
        unreachable!("set_account sets an account");
    };
    account.tokens_per_second = 1_000 + base;
    let name: AccountName = account_name(3);
    patch(base, vec![ConfigChange::SetAccount { name, account }])
}
