//! Rate and concurrency limits of client accounts, divided between entry VMs by demand.

use std::collections::HashMap;

use crate::prelude::*;
use crate::version::config::AccountConfig;

use super::demand_report::{AccountDemand, DemandReport};
use super::limit_decision::{LimitDecision, WorkCost};
use super::route_decision::RefusalReason;

/// The time constant of the exponential decay of the demand estimates, in seconds.
const DEMAND_WINDOW_S: f64 = 2.0;
/// How long a peer's demand report stays valid.
const REPORT_TTL: Duration = Duration::from_secs(6);
/// Demand is reported above this fraction of an entry's equal share of the limit.
const MIN_REPORTED_SHARE: f64 = 0.05;
/// The capacity of the token bucket, in seconds of the own rate.
const BURST_S: f64 = 1.0;
/// How often the own share of an account's limits is recomputed.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// The longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// How long an account without requests in flight keeps its state.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// Enforces the limits of client accounts across all entry VMs, without a coordinator.
///
/// Each entry computes its share of an account's limit from its own demand and the demand
/// that its peers report. An equal share stays reserved for every listed peer without a
/// valid report, so that the entries never exceed the limit together during a partition.
/// In the lock order it comes first.
#[derive(Debug)]
pub struct AccountLimiter {
    own: EntryName,
    entries: Vec<EntryName>,
    configs: HashMap<AccountName, AccountLimit>,
    states: HashMap<AccountName, AccountState>,
    peers: HashMap<EntryName, PeerDemand>,
}

#[derive(Clone, Copy, Debug)]
struct AccountLimit {
    tokens_per_second: f64,
    in_flight: f64,
}

#[derive(Debug)]
struct PeerDemand {
    received_at: Timestamp,
    sequence: u64,
    accounts: HashMap<AccountName, AccountDemand>,
}

/// An active account's demand, token bucket and shares at this entry.
#[derive(Debug)]
struct AccountState {
    /// The decaying mean of offered tokens per second, admitted or not.
    token_demand: f64,
    /// The decaying mean of requests refused for the limit of requests in flight.
    refused_in_flight: f64,
    in_flight: u32,
    /// The tokens left in the bucket; negative after a request larger than its level.
    level: f64,
    /// The own share of the token limit, in tokens per second.
    rate: f64,
    /// The own share of the limit of requests in flight.
    allowance: u32,
    updated_at: Timestamp,
    next_share_at: Timestamp,
}

impl AccountLimiter {
    /// Creates a limiter for the entry VM `own`, without accounts and peers.
    pub fn new(own: EntryName) -> Self {
        Self {
            entries: vec![own.clone()],
            own,
            configs: HashMap::new(),
            states: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Sets an account's limits.
    pub fn set_account(&mut self, account: &AccountName, config: &AccountConfig) {
        let limit = AccountLimit {
            tokens_per_second: config.tokens_per_second as f64,
            in_flight: f64::from(config.in_flight),
        };
        self.configs.insert(account.clone(), limit);
    }

    /// Removes the limits of accounts for which `is_kept` returns false.
    pub fn retain_accounts(&mut self, is_kept: impl Fn(&AccountName) -> bool) {
        self.configs.retain(|account, _| is_kept(account));
    }

    /// Sets the serving entry VMs; this one is added if missing. The list may be out of date.
    pub fn set_entries(&mut self, entries: &[EntryName]) {
        self.entries = entries.to_vec();
        if !self.entries.contains(&self.own) {
            self.entries.push(self.own.clone());
        }
        self.entries.sort();
        self.entries.dedup();
        let entries = &self.entries;
        self.peers.retain(|peer, _| entries.contains(peer));
    }

    /// Admits or refuses a request of `account`; charges an admitted one its estimated cost.
    pub fn admit(
        &mut self,
        now: Timestamp,
        account: &AccountName,
        cost: &WorkCost,
    ) -> LimitDecision {
        let Some(&limit) = self.configs.get(account) else {
            return LimitDecision::refused(RefusalReason::UnknownAccount, MAX_RETRY_AFTER);
        };
        self.refresh_state(now, account, limit);
        let state = self
            .states
            .get_mut(account)
            .expect("the state was created above");
        state.token_demand += cost.tokens as f64 / DEMAND_WINDOW_S;
        if state.allowance <= state.in_flight {
            state.refused_in_flight += 1.0 / DEMAND_WINDOW_S;
            return LimitDecision::refused(RefusalReason::InFlightLimit, Duration::from_secs(1));
        }
        if state.level <= 0.0 {
            let equal_share = limit.tokens_per_second / self.entries.len() as f64;
            let wait_s = (1.0 - state.level) / state.rate.max(equal_share).max(1.0);
            let wait = Duration::from_secs_f64(wait_s.min(MAX_RETRY_AFTER.as_secs_f64()));
            return LimitDecision::refused(RefusalReason::TokenLimit, wait);
        }
        state.level -= cost.tokens as f64;
        state.in_flight += 1;
        LimitDecision::Admitted
    }

    /// Records the end of an admitted request and replaces its estimated cost by the cost used.
    pub fn finished(&mut self, account: &AccountName, estimated: &WorkCost, used: &WorkCost) {
        let Some(state) = self.states.get_mut(account) else {
            return;
        };
        let correction = estimated.tokens as f64 - used.tokens as f64;
        state.level += correction;
        state.token_demand = (state.token_demand - correction / DEMAND_WINDOW_S).max(0.0);
        assert!(0 < state.in_flight, "only an admitted request can finish");
        state.in_flight -= 1;
    }

    /// Returns the demand at this entry for the peers, and drops idle accounts.
    ///
    /// It lists only accounts whose demand is large enough to change the peers' shares.
    pub fn local_demand(&mut self, now: Timestamp, sequence: u64) -> DemandReport {
        let min_share = MIN_REPORTED_SHARE / self.entries.len() as f64;
        let configs = &self.configs;
        self.states
            .retain(|_, state| 0 < state.in_flight || now.since(state.updated_at) < IDLE_TTL);
        let accounts = self
            .states
            .iter_mut()
            .filter_map(|(account, state)| {
                let limit = configs.get(account)?;
                state.decay(now);
                let tokens = state.token_demand;
                let in_flight = state.in_flight_demand();
                let is_significant = min_share * limit.tokens_per_second < tokens
                    || min_share * limit.in_flight < in_flight;
                is_significant.then(|| AccountDemand {
                    account: account.clone(),
                    tokens_per_second: tokens.ceil() as u32,
                    in_flight: in_flight.ceil() as u32,
                })
            })
            .collect();
        DemandReport { sequence, accounts }
    }

    /// Stores a peer's demand report; a report that is not newer is ignored.
    ///
    /// After a restart, a lower sequence number is accepted only once the old report has
    /// expired, so the first number should grow from one incarnation to the next.
    pub fn observe_demand(&mut self, now: Timestamp, peer: &EntryName, report: &DemandReport) {
        if *peer == self.own {
            return;
        }
        if let Some(known) = self.peers.get(peer)
            && report.sequence <= known.sequence
            && now.since(known.received_at) < REPORT_TTL
        {
            return;
        }
        let accounts = report
            .accounts
            .iter()
            .map(|demand| (demand.account.clone(), demand.clone()))
            .collect();
        let demand = PeerDemand {
            received_at: now,
            sequence: report.sequence,
            accounts,
        };
        self.peers.insert(peer.clone(), demand);
    }

    /// Returns the number of accounts with state at this entry.
    pub fn n_active(&self) -> usize {
        self.states.len()
    }

    /// Returns this entry's current rate for an account, in tokens per second.
    pub fn own_rate(&self, account: &AccountName) -> f64 {
        self.states.get(account).map_or(0.0, |state| state.rate)
    }

    fn refresh_state(&mut self, now: Timestamp, account: &AccountName, limit: AccountLimit) {
        let n_entries = self.entries.len() as f64;
        let state = self
            .states
            .entry(account.clone())
            .or_insert_with(|| AccountState::new(now, limit, n_entries));
        state.decay(now);
        if now < state.next_share_at {
            return;
        }
        state.next_share_at = now + SHARE_REFRESH_INTERVAL;
        let reported = ReportedDemand::new(now, account, &self.own, &self.entries, &self.peers);
        let own_tokens = state.token_demand;
        let tokens = reported.reporting_share * limit.tokens_per_second;
        state.rate = share_of(
            tokens,
            own_tokens,
            reported.peer_tokens,
            reported.n_reporting,
        );
        let in_flight = reported.reporting_share * limit.in_flight;
        let own_in_flight = state.in_flight_demand();
        let allowance = share_of(
            in_flight,
            own_in_flight,
            reported.peer_in_flight,
            reported.n_reporting,
        );
        let has_free_capacity = own_in_flight + reported.peer_in_flight < in_flight;
        let min_allowance = u32::from(has_free_capacity);
        state.allowance =
            round_by_rank(allowance, reported.own_rank, reported.n_reporting).max(min_allowance);
    }
}

impl AccountState {
    fn new(now: Timestamp, limit: AccountLimit, n_entries: f64) -> Self {
        Self {
            token_demand: 0.0,
            refused_in_flight: 0.0,
            in_flight: 0,
            level: limit.tokens_per_second / n_entries * BURST_S,
            rate: limit.tokens_per_second / n_entries,
            allowance: 1,
            updated_at: now,
            next_share_at: Timestamp::default(),
        }
    }

    /// Decays the demand estimates and refills the token bucket up to `now`.
    fn decay(&mut self, now: Timestamp) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        self.updated_at = now;
        let decay_factor = (-elapsed_s / DEMAND_WINDOW_S).exp();
        self.token_demand *= decay_factor;
        self.refused_in_flight *= decay_factor;
        let burst = self.rate * BURST_S;
        self.level = (self.level + self.rate * elapsed_s).min(burst.max(self.level));
    }

    fn in_flight_demand(&self) -> f64 {
        f64::from(self.in_flight) + self.refused_in_flight
    }
}

/// The demand for one account in the valid reports of the peers.
struct ReportedDemand {
    /// The fraction of entries with a valid report, this one included.
    reporting_share: f64,
    /// The number of those entries.
    n_reporting: f64,
    /// This entry's rank among those entries.
    own_rank: usize,
    peer_tokens: f64,
    peer_in_flight: f64,
}

impl ReportedDemand {
    fn new(
        now: Timestamp,
        account: &AccountName,
        own: &EntryName,
        entries: &[EntryName],
        peers: &HashMap<EntryName, PeerDemand>,
    ) -> Self {
        let mut reported = Self {
            reporting_share: 1.0,
            n_reporting: 0.0,
            own_rank: 0,
            peer_tokens: 0.0,
            peer_in_flight: 0.0,
        };
        for entry in entries {
            if entry == own {
                reported.own_rank = reported.n_reporting as usize;
                reported.n_reporting += 1.0;
                continue;
            }
            let Some(peer) = peers.get(entry) else {
                continue;
            };
            if REPORT_TTL <= now.since(peer.received_at) {
                continue;
            }
            reported.n_reporting += 1.0;
            if let Some(demand) = peer.accounts.get(account) {
                reported.peer_tokens += f64::from(demand.tokens_per_second);
                reported.peer_in_flight += f64::from(demand.in_flight);
            }
        }
        reported.reporting_share = reported.n_reporting / entries.len() as f64;
        reported
    }
}

/// Returns one entry's share of `total`, from its own demand and that of its peers.
///
/// The shares of all entries that know the same demands add up to `total`.
fn share_of(total: f64, own: f64, peers: f64, n_entries: f64) -> f64 {
    let demand = own + peers;
    if demand <= total {
        return own + (total - demand) / n_entries;
    }
    total * own / demand
}

/// Rounds a share with a threshold by rank, so that the sum over ranks stays near the sum
/// of the shares.
fn round_by_rank(share: f64, rank: usize, n_entries: f64) -> u32 {
    let threshold = (rank as f64 + 0.5) / n_entries;
    let whole = share.floor();
    let rest = share - whole;
    (whole + f64::from(u8::from(threshold < rest))) as u32
}
