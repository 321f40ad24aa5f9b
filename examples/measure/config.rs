//! The `config` measurement: propagation time and control traffic of configuration versions, the
//! cost of applying one version, and the balance of target subsets.
//!
//! Propagation runs the production distributors over a simulated network in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use argh::FromArgs;
use comfy_table::Table;
use serde::Serialize;

use comfreyhead::prelude::*;
use comfreyhead::process::membership::subsets;
use comfreyhead::version::config::{
    AccountConfig, ConfigChange, ConfigFold, ConfigRecord, ModelConfig, TargetConfig, TargetRole,
};

use network::{Network, NetworkSettings};

#[path = "../../tests/config_network/mod.rs"]
mod network;

/// The number of versions published in one run.
const VERSIONS: u64 = 40;
/// The time between two versions, which gives 5,900 changes a day.
const VERSION_INTERVAL: Duration = Duration::from_micros(86_400_000_000 / 5_900);
/// How long idle traffic is measured before the first version is published.
const IDLE_SPAN: Duration = Duration::from_secs(60);
/// The node counts to which the slopes are fitted.
const SLOPE_NODES: [usize; 3] = [18, 60, 120];
/// The daemons of a full-size deployment, simulated to check the fitted slopes.
const FULL_SIZE_NODES: usize = 530;
/// The client accounts in the configuration of a full-size deployment.
const FULL_SIZE_ACCOUNTS: usize = 11_000;
/// The targets in the configuration of a full-size deployment.
const FULL_SIZE_TARGETS: usize = 3_300;
/// How many versions are applied to average the cost of one.
const COST_REPEATS: u64 = 10;

/// measure the distribution of configuration versions and the subsets of targets
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub(crate) struct ConfigArgs {
    /// print one JSON object a line
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
struct DistributionRow {
    nodes: usize,
    loss_percent: u32,
    median_ms: u64,
    worst_ms: u64,
    mean_bytes_s: f64,
    most_bytes_s: f64,
    idle_bytes_s: f64,
    bytes_per_version: f64,
    core_percent: f64,
}

#[derive(Serialize)]
struct SlopeRow {
    loss_percent: u32,
    bytes_s_per_node: f64,
    worst_ms_per_node: f64,
    bytes_s_at_530: f64,
    worst_ms_at_530: f64,
}

#[derive(Serialize)]
struct CostRow {
    content_bytes: usize,
    snapshot_bytes: usize,
    record_bytes: usize,
    fold_ms: f64,
    core_percent_at_target: f64,
}

#[derive(Serialize)]
struct SubsetRow {
    entries: usize,
    targets: usize,
    size: usize,
    most_over_mean: f64,
    uncovered: usize,
    plain_most_over_mean: f64,
    plain_uncovered: usize,
    changed_percent: f64,
    compute_ms: f64,
}

/// Runs the measurement and prints its tables.
pub(crate) fn run(args: &ConfigArgs) {
    let distribution: Vec<DistributionRow> = SLOPE_NODES
        .into_iter()
        .chain([FULL_SIZE_NODES])
        .flat_map(|nodes| [0, 5].map(|loss| distribution_row(nodes, loss)))
        .collect();
    let slopes: Vec<SlopeRow> = [0, 5].map(|loss| slope_row(loss, &distribution)).into();
    print_rows("distribution", &distribution, args);
    print_rows("slopes over 18, 60 and 120 nodes", &slopes, args);
    print_rows("one version at the target's size", &[cost_row()], args);
    let shapes = [
        (18, 16, 8),
        (18, 16, 12),
        (22, 137, 16),
        (22, 550, 32),
        (90, 550, 16),
        (530, 3_300, 16),
    ];
    let subsets: Vec<SubsetRow> = shapes.map(subset_row).into();
    print_rows("subsets", &subsets, args);
}

fn distribution_row(nodes: usize, loss_percent: u32) -> DistributionRow {
    let data_centres = if nodes == FULL_SIZE_NODES { 6 } else { 3 };
    let mut network = Network::new(NetworkSettings {
        nodes,
        data_centres,
        loss_percent,
        double_percent: 0,
        max_delay_ms: 3,
        seed: 7,
    });
    network.run_for(Duration::from_secs(20));
    let idle = measure_bytes_per_s(&mut network, IDLE_SPAN);
    let started = Instant::now();
    let before: Vec<usize> = network.nodes.iter().map(|node| node.bytes).collect();
    let mut accepted = Vec::new();
    for base in 0..VERSIONS {
        network.log.push(patch(base, set_account(base as usize)));
        accepted.push(network.now);
        network.run_for(VERSION_INTERVAL);
    }
    let span = VERSION_INTERVAL * VERSIONS as u32;
    let seconds = span.as_secs_f64();
    let rates = network.nodes.iter().zip(&before);
    let rates: Vec<f64> = rates
        .map(|(node, before)| (node.bytes - before) as f64 / seconds)
        .collect();
    let core = started.elapsed().as_secs_f64() / seconds / nodes as f64;
    network.run_for(Duration::from_secs(60));
    let mut times: Vec<u64> = (0..VERSIONS)
        .map(|base| propagation_ms(&network, VersionNumber(base + 1), accepted[base as usize]))
        .collect();
    times.sort_unstable();
    let mean = rates.iter().sum::<f64>() / nodes as f64;
    let idle = idle / nodes as f64;
    DistributionRow {
        nodes,
        loss_percent,
        median_ms: times[times.len() / 2],
        worst_ms: times[times.len() - 1],
        mean_bytes_s: mean,
        most_bytes_s: rates.iter().copied().fold(0.0, f64::max),
        idle_bytes_s: idle,
        bytes_per_version: (mean - idle) * VERSION_INTERVAL.as_secs_f64(),
        core_percent: core * 100.0,
    }
}

/// Runs the network for `span` and returns the bytes per second summed over all nodes.
fn measure_bytes_per_s(network: &mut Network, span: Duration) -> f64 {
    let total = |network: &Network| network.nodes.iter().map(|node| node.bytes).sum::<usize>();
    let before = total(network);
    network.run_for(span);
    (total(network) - before) as f64 / span.as_secs_f64()
}

/// Returns the milliseconds from `accepted` until every node had installed `number` or a later
/// version.
fn propagation_ms(network: &Network, number: VersionNumber, accepted: Timestamp) -> u64 {
    let nodes = network.nodes.iter();
    let times = nodes.map(|node| node.installed.range(number..).next().map(|(_, at)| *at));
    let last = times
        .map(|at| at.expect("in force everywhere at the end"))
        .max();
    last.map_or(0, |at| at.since(accepted).as_millis() as u64)
}

fn slope_row(loss_percent: u32, rows: &[DistributionRow]) -> SlopeRow {
    let rows: Vec<&DistributionRow> = rows
        .iter()
        .filter(|row| row.loss_percent == loss_percent && SLOPE_NODES.contains(&row.nodes))
        .collect();
    let nodes: Vec<f64> = rows.iter().map(|row| row.nodes as f64).collect();
    let bytes: Vec<f64> = rows.iter().map(|row| row.most_bytes_s).collect();
    let times: Vec<f64> = rows.iter().map(|row| row.worst_ms as f64).collect();
    let (bytes_slope, bytes_start) = fit_line(&nodes, &bytes);
    let (time_slope, time_start) = fit_line(&nodes, &times);
    let full_size = FULL_SIZE_NODES as f64;
    SlopeRow {
        loss_percent,
        bytes_s_per_node: bytes_slope,
        worst_ms_per_node: time_slope,
        bytes_s_at_530: bytes_start + bytes_slope * full_size,
        worst_ms_at_530: time_start + time_slope * full_size,
    }
}

/// Returns the slope and intercept of the least-squares line.
fn fit_line(xs: &[f64], ys: &[f64]) -> (f64, f64) {
    let n = xs.len() as f64;
    let mean_x = xs.iter().sum::<f64>() / n;
    let mean_y = ys.iter().sum::<f64>() / n;
    let pairs = xs.iter().zip(ys);
    let covariance: f64 = pairs.map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

fn cost_row() -> CostRow {
    let mut fold = ConfigFold::new();
    let model = ConfigChange::SetModel {
        name: "llm".into(),
        model: ModelConfig {
            max_tokens: 4_096,
            timeout_ms: 60_000,
        },
    };
    let accounts = (0..FULL_SIZE_ACCOUNTS).map(set_account);
    let targets = (0..FULL_SIZE_TARGETS).map(set_target);
    let changes = [model].into_iter().chain(accounts).chain(targets);
    fold.apply(LogOffset(0), &patch_all(0, changes.collect()));
    let started = Instant::now();
    for base in 1..=COST_REPEATS {
        fold.apply(LogOffset(base), &patch(base, set_account(base as usize)));
    }
    let fold_ms = started.elapsed().as_secs_f64() * 1_000.0 / COST_REPEATS as f64;
    assert_eq!(fold.current().number, VersionNumber(COST_REPEATS + 1));
    let size = |value: &serde_json::Value| value.to_string().len();
    let content = serde_json::to_vec(&fold.current().content).expect("content encodes");
    let snapshot = serde_json::to_vec(fold.snapshot()).expect("snapshot encodes");
    CostRow {
        content_bytes: content.len(),
        snapshot_bytes: snapshot.len(),
        record_bytes: size(&patch(0, set_account(0))),
        fold_ms,
        core_percent_at_target: fold_ms / VERSION_INTERVAL.as_millis() as f64 * 100.0,
    }
}

fn subset_row((n_entries, n_targets, size): (usize, usize, usize)) -> SubsetRow {
    let entries: Vec<EntryName> = (0..n_entries)
        .map(|idx| format!("entry-{idx}").into())
        .collect();
    let targets: Vec<TargetName> = (0..n_targets)
        .map(|idx| format!("target-{idx}").into())
        .collect();
    let model = ModelName::from("llm");
    let started = Instant::now();
    let balanced = subsets(&model, &entries, &targets, size);
    let compute_ms = started.elapsed().as_secs_f64() * 1_000.0;
    // The baseline: each entry VM chooses its subset without knowing the others.
    let plain: BTreeMap<EntryName, Vec<TargetName>> = entries
        .iter()
        .flat_map(|entry| subsets(&model, std::slice::from_ref(entry), &targets, size))
        .collect();
    let fewer = subsets(&model, &entries, &targets[1..], size);
    let (most_over_mean, uncovered) = imbalance(&balanced, n_targets);
    let (plain_most_over_mean, plain_uncovered) = imbalance(&plain, n_targets);
    SubsetRow {
        entries: n_entries,
        targets: n_targets,
        size,
        most_over_mean,
        uncovered,
        plain_most_over_mean,
        plain_uncovered,
        changed_percent: changed_percent(&balanced, &fewer),
        compute_ms,
    }
}

/// Returns the highest number of entry VMs per target divided by the mean, and the number of
/// targets that no entry VM chose.
fn imbalance(chosen: &BTreeMap<EntryName, Vec<TargetName>>, n_targets: usize) -> (f64, usize) {
    let mut counts: BTreeMap<&TargetName, usize> = BTreeMap::new();
    for target in chosen.values().flatten() {
        *counts.entry(target).or_default() += 1;
    }
    let total: usize = counts.values().sum();
    let most = counts.values().max().copied().unwrap_or(0);
    let mean = total as f64 / n_targets as f64;
    (most as f64 / mean, n_targets - counts.len())
}

/// Returns the percentage of entry-target pairs in `before` that are missing from `after`, which is
/// computed with one target removed.
fn changed_percent(
    before: &BTreeMap<EntryName, Vec<TargetName>>,
    after: &BTreeMap<EntryName, Vec<TargetName>>,
) -> f64 {
    let mut changed = 0;
    let mut total = 0;
    for (entry, targets) in before {
        let kept: BTreeSet<&TargetName> = after[entry].iter().collect();
        total += targets.len();
        changed += targets.iter().filter(|name| !kept.contains(name)).count();
    }
    changed as f64 / total as f64 * 100.0
}

fn set_account(idx: usize) -> ConfigChange {
    let account = AccountConfig {
        token_sha256: vec![format!("{idx:064x}")],
        tokens_per_second: 10_000,
        in_flight: 100,
        weight: 10,
    };
    ConfigChange::SetAccount {
        name: format!("account-{idx}").into(),
        account,
    }
}

fn set_target(idx: usize) -> ConfigChange {
    let target = TargetConfig {
        data_centre: format!("dc-{}", idx % 6).into(),
        agent: format!("agent-{idx}").into(),
        work_address: "10.10.10.10:7001".parse().expect("an address"),
        control_address: "10.10.10.10:7002".parse().expect("an address"),
        serves: TargetRole::Model("llm".into()),
        checks_fencing: true,
        slots: 64,
    };
    ConfigChange::SetTarget {
        name: format!("target-{idx}").into(),
        target,
    }
}

fn patch(base: u64, change: ConfigChange) -> serde_json::Value {
    patch_all(base, vec![change])
}

fn patch_all(base: u64, changes: Vec<ConfigChange>) -> serde_json::Value {
    let record = ConfigRecord::Patch {
        base: VersionNumber(base),
        batch: format!("batch-{base}").as_str().into(),
        author: "operator".into(),
        changes,
        nonce: format!("0190f5fe-7c00-7a00-8abc-{base:012}")
            .as_str()
            .into(),
    };
    record.encode()
}

fn print_rows<T: Serialize>(title: &str, rows: &[T], args: &ConfigArgs) {
    let values = rows
        .iter()
        .map(|row| serde_json::to_value(row).expect("rows encode"));
    let mut table = Table::new();
    for value in values {
        if args.json {
            println!("{value}");
            continue;
        }
        let Some(fields) = value.as_object() else {
            continue;
        };
        if table.header().is_none() {
            table.set_header(fields.keys());
        }
        table.add_row(fields.values().map(cell_text));
    }
    if !args.json {
        println!("{title}\n{table}\n");
    }
}

fn cell_text(value: &serde_json::Value) -> String {
    match value.as_f64() {
        Some(number) if value.is_f64() => format!("{number:.2}"),
        _ => value.to_string(),
    }
}
