//! Probes of an entry VM: load reports, routing, client accounts and requests.

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{
    AccountDemand, AccountLimiter, DemandReport, DispatchResult, LimitDecision, RetryBudget,
    RouteQuery, TargetEligibility, TargetTable, WorkCost, WorkRepetition,
};
use comfreyhead::request::{
    EventBody, RequestTracker, TrackerAction, TrackerEvent, WorkEvent, WorkId,
};
use comfreyhead::version::config::RetryConfig;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fixtures::{
    START, account_config, account_name, entry_name, load_report, model_role, target_name, uuid_v7,
};
use super::probe::{Probe, ProbeUsage, measure, measure_cpu};

/// Subscribed targets in the probes that do not vary their number.
const N_SUBSCRIBED: usize = 64;
/// Sizes with the same load factor of a hash table, just before it doubles its capacity.
pub(super) const HASH_SIZES: &[usize] = &[14_000, 28_000, 56_000, 112_000];
/// Client accounts of `entry-admit-by-entries`, each of which has its share computed once.
const N_SHARED_ACCOUNTS: usize = 20_000;
/// The time limit of requests in the probes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) fn probes() -> Vec<Probe> {
    vec![
        Probe {
            name: "entry-target",
            per: "subscribed target with its first report",
            sizes: HASH_SIZES,
            run: targets,
        },
        Probe {
            name: "entry-load-report",
            per: "load report decoded and taken in, 64 targets",
            sizes: &[50_000, 100_000, 150_000, 200_000],
            run: load_reports,
        },
        Probe {
            name: "entry-route",
            per: "request routed, dispatched and ended, 64 targets",
            sizes: &[50_000, 100_000, 150_000, 200_000],
            run: routes,
        },
        Probe {
            name: "entry-account",
            per: "client account known, not active",
            sizes: HASH_SIZES,
            run: known_accounts,
        },
        Probe {
            name: "entry-active-account",
            per: "client account active",
            sizes: HASH_SIZES,
            run: active_accounts,
        },
        Probe {
            name: "entry-admit-by-entries",
            per: "entry VM, in 20,000 admissions that compute a share",
            sizes: &[18, 128, 256, 384, 530],
            run: admissions_by_entries,
        },
        Probe {
            name: "entry-demand-item",
            per: "account in a peer's demand report, decoded and taken in",
            sizes: HASH_SIZES,
            run: demand_items,
        },
        Probe {
            name: "entry-request",
            per: "request in flight",
            sizes: HASH_SIZES,
            run: requests_in_flight,
        },
        Probe {
            name: "entry-token-event",
            per: "token event decoded, put in order and encoded for the caller",
            sizes: &[100_000, 200_000, 300_000, 400_000],
            run: token_events,
        },
    ]
}

fn table_of(n_targets: usize) -> TargetTable {
    let data_centre: DataCentreName = "sofia-1".into();
    let mut table = TargetTable::new(data_centre.clone());
    for idx in 0..n_targets {
        let name = target_name(idx);
        table.set_target(&name, &model_role(idx), 8, &data_centre);
        table.set_eligible(&name, TargetEligibility::Eligible);
    }
    table
}

fn targets(n: usize) -> ProbeUsage {
    measure(|| {
        let mut table = table_of(n);
        for idx in 0..n {
            table.observe_report(START, &target_name(idx), &load_report(1));
        }
        table
    })
}

fn load_reports(n: usize) -> ProbeUsage {
    let mut table = table_of(N_SUBSCRIBED);
    let names: Vec<TargetName> = (0..N_SUBSCRIBED).map(target_name).collect();
    let texts: Vec<String> = (0..n)
        .map(|idx| load_report((idx / N_SUBSCRIBED + 1) as u64))
        .map(|report| serde_json::to_string(&report).expect("report encodes"))
        .collect();
    measure_cpu(|| {
        for (idx, text) in texts.iter().enumerate() {
            let report = serde_json::from_str(text).expect("report decodes");
            let now = START + Duration::from_secs((idx / N_SUBSCRIBED) as u64);
            table.observe_report(now, &names[idx % N_SUBSCRIBED], &report);
        }
    })
}

fn routes(n: usize) -> ProbeUsage {
    let mut table = table_of(N_SUBSCRIBED);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let roles: Vec<_> = (0..4).map(model_role).collect();
    measure_cpu(|| {
        for idx in 0..n {
            let now = START + Duration::from_millis(idx as u64);
            let query = RouteQuery {
                role: &roles[idx % 4],
                prefixes: &[],
                cost: 500,
                tried: &[],
                deadline: now + REQUEST_TIMEOUT,
            };
            let decision = table
                .choose(now, &query, &mut rng)
                .expect("a target has a free slot");
            let work = work_id(idx);
            table.dispatched(&decision.target, work, &[]);
            table.admitted(work, 0);
            table.finished(now, work, DispatchResult::Answered { sequence: 0 });
        }
    })
}

fn limiter_of(n_accounts: usize, n_entries: usize) -> AccountLimiter {
    let mut limiter = AccountLimiter::new(entry_name(0));
    let entries: Vec<EntryName> = (0..n_entries).map(entry_name).collect();
    limiter.set_entries(&entries);
    for idx in 0..n_accounts {
        limiter.set_account(&account_name(idx), &account_config(idx));
    }
    limiter
}

fn known_accounts(n: usize) -> ProbeUsage {
    measure(|| limiter_of(n, 18))
}

fn active_accounts(n: usize) -> ProbeUsage {
    let mut limiter = limiter_of(n, 18);
    measure(|| {
        for idx in 0..n {
            limiter.admit(START, &account_name(idx), &WorkCost { tokens: 10 });
        }
        limiter
    })
}

fn admissions_by_entries(n_entries: usize) -> ProbeUsage {
    let mut limiter = limiter_of(N_SHARED_ACCOUNTS, n_entries);
    let report = demand_report(1, 1);
    for idx in 1..n_entries {
        limiter.observe_demand(START, &entry_name(idx), &report);
    }
    let names: Vec<AccountName> = (0..N_SHARED_ACCOUNTS).map(account_name).collect();
    let cost = WorkCost { tokens: 1 };
    // The first admission of an account computes its share; later ones do so every 100 ms.
    measure_cpu(|| {
        names
            .iter()
            .map(|name| limiter.admit(START, name, &cost))
            .filter(|decision| *decision == LimitDecision::Admitted)
            .count()
    })
}

fn demand_report(sequence: u64, n_accounts: usize) -> DemandReport {
    let accounts = (0..n_accounts).map(|idx| AccountDemand {
        account: account_name(idx),
        tokens_per_second: 1_234,
        in_flight: 12,
    });
    DemandReport {
        sequence,
        accounts: accounts.collect(),
    }
}

fn demand_items(n: usize) -> ProbeUsage {
    let mut limiter = limiter_of(0, 18);
    let text = serde_json::to_string(&demand_report(1, n)).expect("report encodes");
    let mut usage = measure(|| {
        let report: DemandReport = serde_json::from_str(&text).expect("report decodes");
        limiter.observe_demand(START, &entry_name(1), &report);
        limiter
    });
    usage.wire_bytes = text.len() as u64;
    usage
}

fn work_id(idx: usize) -> WorkId {
    WorkId {
        request: RequestId(uuid_v7(0, idx)),
        attempt: 1,
    }
}

/// Starts a request and routes it to a target.
fn routed_tracker(idx: usize, budget: &mut RetryBudget, rng: &mut ChaCha8Rng) -> RequestTracker {
    let request = RequestId(uuid_v7(0, idx));
    let deadline = START + REQUEST_TIMEOUT;
    let (mut tracker, _) = RequestTracker::new(request, WorkRepetition::Repeatable, deadline);
    let routed = TrackerEvent::Routed {
        target: target_name(idx % N_SUBSCRIBED),
        incarnation: ProcessIncarnation(1),
    };
    tracker.on_event(START, routed, budget, rng);
    tracker
}

fn requests_in_flight(n: usize) -> ProbeUsage {
    let mut table = table_of(N_SUBSCRIBED);
    let mut budget = RetryBudget::new(&RetryConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    measure(|| {
        let mut trackers = Vec::new();
        for idx in 0..n {
            trackers.push(routed_tracker(idx, &mut budget, &mut rng));
            table.dispatched(&target_name(idx % N_SUBSCRIBED), work_id(idx), &[]);
        }
        (table, trackers)
    })
}

/// Returns a chunk with one token in the format that engines send.
pub(super) fn token_chunk(idx: usize) -> String {
    format!(
        "{{\"id\":\"0199d1a4-7c00-7000-8000-000000000001\",\"object\":\"chat.completion.chunk\",\
         \"created\":1800000000,\"model\":\"kit-assistant\",\"choices\":[{{\"index\":0,\
         \"delta\":{{\"content\":\" voicing{}\"}},\"finish_reason\":null}}]}}",
        idx % 100
    )
}

fn token_events(n: usize) -> ProbeUsage {
    let mut budget = RetryBudget::new(&RetryConfig::default());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut tracker = routed_tracker(0, &mut budget, &mut rng);
    let texts: Vec<String> = (0..n)
        .map(|idx| WorkEvent {
            attempt: 1,
            index: idx as u64,
            body: EventBody::Payload(token_chunk(idx)),
        })
        .map(|event| serde_json::to_string(&event).expect("event encodes"))
        .collect();
    let wire_bytes = texts.iter().map(|text| text.len() as u64).sum();
    let mut usage = measure_cpu(|| {
        let mut n_bytes = 0;
        for text in &texts {
            let event = serde_json::from_str(text).expect("event decodes");
            let received = TrackerEvent::Received(event);
            for action in tracker.on_event(START, received, &mut budget, &mut rng) {
                if let TrackerAction::Deliver(event) = action {
                    n_bytes += caller_event(&event).len();
                }
            }
        }
        assert!(0 < n_bytes, "no events were delivered");
    });
    usage.wire_bytes = wire_bytes;
    usage
}

/// Encodes an event as the server-sent event that the caller receives.
fn caller_event(event: &WorkEvent) -> String {
    let EventBody::Payload(payload) = &event.body else {
        return String::new();
    };
    format!("id: {}\ndata: {payload}\n\n", event.index)
}
