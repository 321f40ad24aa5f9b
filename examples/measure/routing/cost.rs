//! The time of single routing decisions and the memory of the state behind them.

use std::hint::black_box;
use std::time::Instant;

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{
    AccountDemand, AccountLimiter, CacheEvent, DemandReport, FairQueue, LimitDecision, LoadReport,
    PrefixHash, QueuedWork, RouteQuery, ServiceTime, TargetEligibility, TargetTable, WorkCost,
};
use comfreyhead::version::config::{AccountConfig, TargetRole};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::policy::target_name;

/// The number of timed calls per measurement.
const N_TIMED: u32 = 100_000;
/// The targets at the planned size, and the number of tables built to measure their memory.
const N_TARGETS: usize = 3_300;
const N_TABLES: usize = 20;
/// The capacity of the prefix index.
const N_PREFIXES: u64 = 65_536;
/// The planned size: the entry VMs, the requests per second at each, and the tokens per request.
const N_PLANNED_ENTRIES: usize = 530;
const PLANNED_REQUESTS_PER_SECOND: u64 = 17;
const PLANNED_TOKENS: u64 = 363;
/// The entry VMs that the limiter shares account limits with, itself included.
const N_ENTRIES: usize = 18;
/// The time at which the limiters receive the demand reports of their peers.
const LIMITER_START: Timestamp = Timestamp::from_millis(1_000);
/// The client accounts at the planned size.
const N_ACCOUNTS: usize = 11_000;

/// The time or memory of one operation at one size.
#[derive(Serialize)]
pub(crate) struct CostResult {
    what: &'static str,
    size: usize,
    /// Nanoseconds per operation; zero if only bytes were measured.
    ns: f64,
    /// Bytes as `what` states, resident or serialized; zero if only time was measured.
    bytes: f64,
}

impl CostResult {
    pub(crate) fn row(&self) -> Vec<String> {
        vec![
            self.what.to_owned(),
            self.size.to_string(),
            format!("{:.0}", self.ns),
            format!("{:.0}", self.bytes),
        ]
    }
}

/// Measures the decisions at the current and the planned sizes.
pub(crate) fn run() -> Vec<CostResult> {
    let mut results = vec![
        target_memory(),
        account_memory(),
        prefix_memory(),
        demand_at_planned_size(),
    ];
    for n_targets in [19, 550, 3_300] {
        results.extend(route_costs(n_targets));
    }
    results.extend(limit_costs(10));
    results.extend(limit_costs(N_ACCOUNTS));
    results.push(queue_cost(10));
    results.push(queue_cost(N_ACCOUNTS));
    results
}

fn route_costs(n_targets: usize) -> Vec<CostResult> {
    let role = TargetRole::Model("model".into());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut table = filled_table(n_targets, &role, &mut rng);
    let prefixes: Vec<PrefixHash> = (0..16).map(PrefixHash).collect();
    let now = Timestamp::from_millis(1_000);
    let query = RouteQuery {
        role: &role,
        prefixes: &[],
        cost: 200,
        tried: &[],
        deadline: now + Duration::from_secs(60),
    };
    let plain = time_ns(|_| table.choose(now, &query, &mut rng).is_ok());
    let with_prompt = RouteQuery {
        prefixes: &prefixes,
        ..query
    };
    let cached = time_ns(|_| table.choose(now, &with_prompt, &mut rng).is_ok());
    let names: Vec<_> = (0..n_targets).map(target_name).collect();
    let observed = time_ns(|round| {
        let target = round as usize % n_targets;
        let report = report_of(2 + u64::from(round), &mut rng);
        table.observe_report(now, &names[target], &report);
        true
    });
    let result = |what, ns| CostResult {
        what,
        size: n_targets,
        ns,
        bytes: 0.0,
    };
    vec![
        result("choose a target", plain),
        result("choose a target, 16 prompt blocks unknown", cached),
        result("take in a load report", observed),
    ]
}

/// The resident memory per target; leaks the tables so that no later measurement reuses it.
fn target_memory() -> CostResult {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let role = TargetRole::Model("model".into());
    let before = resident_bytes();
    for _ in 0..N_TABLES {
        std::mem::forget(filled_table(N_TARGETS, &role, &mut rng));
    }
    CostResult {
        what: "memory of a target",
        size: N_TARGETS,
        ns: 0.0,
        bytes: (resident_bytes() - before) / (N_TARGETS * N_TABLES) as f64,
    }
}

/// The resident memory per account that is active at every entry VM.
fn account_memory() -> CostResult {
    let before = resident_bytes();
    let (mut limiter, accounts, _) = filled_limiter(N_ACCOUNTS);
    for account in &accounts {
        limiter.admit(LIMITER_START, account, &WorkCost { tokens: 1 });
    }
    let bytes = (resident_bytes() - before) / N_ACCOUNTS as f64;
    std::mem::forget(limiter);
    CostResult {
        what: "memory of an account, active at 18 entries",
        size: N_ACCOUNTS,
        ns: 0.0,
        bytes,
    }
}

/// The resident memory per prefix of a full prefix index.
fn prefix_memory() -> CostResult {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let role = TargetRole::Model("model".into());
    let mut table = filled_table(19, &role, &mut rng);
    let before = resident_bytes();
    for block in 0..N_PREFIXES {
        let event = CacheEvent::Stored(vec![PrefixHash(block)]);
        table.observe_cache_event(&target_name(block as usize % 19), &event);
    }
    CostResult {
        what: "memory of a known prefix",
        size: table.n_prefixes(),
        ns: 0.0,
        bytes: (resident_bytes() - before) / N_PREFIXES as f64,
    }
}

/// The size of one entry VM's demand report, with accounts drawn by a skewed popularity.
fn demand_at_planned_size() -> CostResult {
    let config = AccountConfig {
        token_sha256: Vec::new(),
        tokens_per_second: 300,
        in_flight: 10,
        weight: 1,
    };
    let entries: Vec<EntryName> = (0..N_PLANNED_ENTRIES)
        .map(|entry| format!("entry-{entry}").into())
        .collect();
    let mut limiter = AccountLimiter::new(entries[0].clone());
    limiter.set_entries(&entries);
    for account in 0..N_ACCOUNTS {
        limiter.set_account(&format!("account-{account}").into(), &config);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut now = Timestamp::from_millis(1_000);
    let cost = WorkCost {
        tokens: PLANNED_TOKENS,
    };
    for _ in 0..120 * PLANNED_REQUESTS_PER_SECOND {
        now = now + Duration::from_micros(1_000_000 / PLANNED_REQUESTS_PER_SECOND);
        let rank = (N_ACCOUNTS as f64).powf(rng.random::<f64>()) as usize - 1;
        let account = format!("account-{rank}").into();
        if limiter.admit(now, &account, &cost) == LimitDecision::Admitted {
            limiter.finished(&account, &cost, &cost);
        }
    }
    let report = limiter.local_demand(now, 1);
    let bytes = serde_json::to_vec(&report).map_or(0, |text| text.len());
    CostResult {
        what: "demand report of one of 530 entries, accounts and bytes",
        size: report.accounts.len(),
        ns: 0.0,
        bytes: bytes as f64,
    }
}

fn filled_table(n_targets: usize, role: &TargetRole, rng: &mut ChaCha8Rng) -> TargetTable {
    let mut table = TargetTable::new("dc-1".into());
    for target in 0..n_targets {
        let name = target_name(target);
        table.set_target(&name, role, 16, &"dc-1".into());
        table.set_eligible(&name, TargetEligibility::Eligible);
        table.observe_report(Timestamp(1), &name, &report_of(1, rng));
    }
    table
}

fn report_of(sequence: u64, rng: &mut ChaCha8Rng) -> LoadReport {
    LoadReport {
        incarnation: ProcessIncarnation(1),
        sequence,
        made_at: Timestamp::from_millis(1_000),
        running: rng.random_range(0..12),
        waiting: 0,
        limit: 16,
        tokens_per_second: 300,
        step_time_us: rng.random_range(30_000..38_000),
        service_time: ServiceTime {
            mean_s: 7.0,
            deviation_s: 3.0,
            mean_cost: 200.0,
        },
    }
}

fn limit_costs(n_accounts: usize) -> Vec<CostResult> {
    let (mut limiter, accounts, report) = filled_limiter(n_accounts);
    let report_bytes = serde_json::to_vec(&report).map_or(0, |text| text.len());
    let cost = WorkCost { tokens: 1 };
    let admitted = time_ns(|round| {
        let account = &accounts[round as usize % n_accounts];
        let at = LIMITER_START + Duration::from_micros(u64::from(round) * 20);
        let decision = limiter.admit(at, account, &cost);
        limiter.finished(account, &cost, &cost);
        black_box(decision);
        true
    });
    vec![
        CostResult {
            what: "check an account's limits",
            size: n_accounts,
            ns: admitted,
            bytes: 0.0,
        },
        CostResult {
            what: "demand report, bytes of an account",
            size: n_accounts,
            ns: 0.0,
            bytes: report_bytes as f64 / n_accounts as f64,
        },
    ]
}

/// A limiter that has a report on all accounts from each peer, with the accounts and the report.
fn filled_limiter(n_accounts: usize) -> (AccountLimiter, Vec<AccountName>, DemandReport) {
    let config = AccountConfig {
        token_sha256: Vec::new(),
        tokens_per_second: 100_000,
        in_flight: 1_000,
        weight: 1,
    };
    let accounts: Vec<AccountName> = (0..n_accounts)
        .map(|account| format!("account-{account}").into())
        .collect();
    let entries: Vec<EntryName> = (0..N_ENTRIES)
        .map(|entry| format!("entry-{entry}").into())
        .collect();
    let mut limiter = AccountLimiter::new(entries[0].clone());
    limiter.set_entries(&entries);
    for account in &accounts {
        limiter.set_account(account, &config);
    }
    let report = DemandReport {
        sequence: 1,
        accounts: accounts
            .iter()
            .map(|account| AccountDemand {
                account: account.clone(),
                tokens_per_second: 1_000,
                in_flight: 10,
            })
            .collect(),
    };
    for entry in &entries[1..] {
        limiter.observe_demand(LIMITER_START, entry, &report);
    }
    (limiter, accounts, report)
}

fn queue_cost(n_accounts: usize) -> CostResult {
    let accounts: Vec<AccountName> = (0..n_accounts)
        .map(|account| format!("account-{account}").into())
        .collect();
    let mut queue = FairQueue::new(2 * n_accounts);
    for account in &accounts {
        queue.push(queued(account, 0));
    }
    let ns = time_ns(|round| {
        queue.push(queued(&accounts[round as usize % n_accounts], round));
        queue.pop().is_some()
    });
    CostResult {
        what: "push to and pop from the fair queue",
        size: n_accounts,
        ns,
        bytes: 0.0,
    }
}

fn queued(account: &AccountName, item: u32) -> QueuedWork<u32> {
    QueuedWork {
        account: account.clone(),
        lane: WorkLane::Interactive,
        weight: 1,
        cost: 200,
        deadline: Timestamp::from_millis(60_000),
        item,
    }
}

fn time_ns(mut operation: impl FnMut(u32) -> bool) -> f64 {
    for round in 0..N_TIMED / 10 {
        black_box(operation(round));
    }
    let start = Instant::now();
    for round in N_TIMED / 10..N_TIMED / 10 + N_TIMED {
        black_box(operation(round));
    }
    start.elapsed().as_nanos() as f64 / f64::from(N_TIMED)
}

/// The resident memory of this process in bytes; zero if `/proc/self/statm` is unavailable.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0.0);
    pages * 4_096.0
}
