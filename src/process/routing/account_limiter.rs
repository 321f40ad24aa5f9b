//! Limits of client accounts, shared between entry VMs by demand.

use std::collections::HashMap;

use crate::prelude::*;
use crate::version::config::AccountConfig;

use super::demand_report::{AccountDemand, DemandReport};
use super::limit_decision::{LimitDecision, WorkCost};
use super::route_decision::RefusalReason;

/// The time constant of the demand estimate, in seconds.
const DEMAND_WINDOW_S: f64 = 2.0;
/// How long a peer's report stays in use.
const REPORT_LIFE: Duration = Duration::from_secs(6);
/// The demand below which it is not reported, as a share of the limit divided by the entries.
const REPORT_FLOOR: f64 = 0.05;
/// The longest burst, in seconds of the own rate.
const BURST_S: f64 = 1.0;
/// How often the own share is computed.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// The time after which an idle account's state is dropped.
const IDLE_LIFE: Duration = Duration::from_secs(60);

/// Limits of client accounts over all entry VMs, without a coordinator.
///
/// Each entry takes a share of an account's limit by its own demand and the demand that
/// its peers report. Where a peer is listed but silent, its equal share is left to it, so
/// that the shares of entries that are cut off from each other never exceed the limit.
/// Its place in the lock order is first.
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
    at: Timestamp,
    sequence: u64,
    accounts: HashMap<AccountName, AccountDemand>,
}

/// The state of an account that is active at this entry.
#[derive(Debug)]
struct AccountState {
    /// Offered tokens a second, admitted or not.
    token_demand: f64,
    /// Requests in flight and those that were refused for that limit of late.
    refused_in_flight: f64,
    in_flight: u32,
    /// Tokens that may be spent; below zero after a large request.
    level: f64,
    rate: f64,
    allowance: u32,
    updated_at: Timestamp,
    share_until: Timestamp,
}

impl AccountLimiter {
    /// Makes a limiter for the entry VM `own`, without accounts and peers.
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

    /// Removes the accounts that `is_kept` does not keep.
    pub fn retain_accounts(&mut self, is_kept: impl Fn(&AccountName) -> bool) {
        self.configs.retain(|account, _| is_kept(account));
    }

    /// Sets the entry VMs that serve, this one included; the list may lag.
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

    /// Decides whether a request of `account` may go on, and charges its estimated cost.
    pub fn admit(
        &mut self,
        now: Timestamp,
        account: &AccountName,
        cost: &WorkCost,
    ) -> LimitDecision {
        let Some(&limit) = self.configs.get(account) else {
            return LimitDecision::refused(RefusalReason::UnknownAccount, MAX_RETRY_AFTER);
        };
        self.refresh(now, account, limit);
        let state = self.states.get_mut(account).expect("refreshed above");
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

    /// Notes the end of an admitted request: corrects its estimated cost by what it used.
    pub fn finished(&mut self, account: &AccountName, estimated: &WorkCost, used: &WorkCost) {
        let Some(state) = self.states.get_mut(account) else {
            return;
        };
        let correction = estimated.tokens as f64 - used.tokens as f64;
        state.level += correction;
        state.token_demand = (state.token_demand - correction / DEMAND_WINDOW_S).max(0.0);
        assert!(
            0 < state.in_flight,
            "a finished request was admitted before"
        );
        state.in_flight -= 1;
    }

    /// Returns the demand at this entry, for the peers: only accounts that matter to them.
    pub fn local_demand(&mut self, now: Timestamp, sequence: u64) -> DemandReport {
        let floor = REPORT_FLOOR / self.entries.len() as f64;
        let configs = &self.configs;
        self.states
            .retain(|_, state| 0 < state.in_flight || now.since(state.updated_at) < IDLE_LIFE);
        let accounts = self
            .states
            .iter_mut()
            .filter_map(|(account, state)| {
                let limit = configs.get(account)?;
                state.decay(now);
                let tokens = state.token_demand;
                let in_flight = state.in_flight_demand();
                let matters =
                    floor * limit.tokens_per_second < tokens || floor * limit.in_flight < in_flight;
                matters.then(|| AccountDemand {
                    account: account.clone(),
                    tokens_per_second: tokens.ceil() as u32,
                    in_flight: in_flight.ceil() as u32,
                })
            })
            .collect();
        DemandReport { sequence, accounts }
    }

    /// Takes in a peer's demand; a report that is not newer is ignored.
    ///
    /// A sequence number that starts again, after a restart, counts as newer once the old
    /// report has lapsed; so take a start value that grows from life to life.
    pub fn observe_demand(&mut self, now: Timestamp, peer: &EntryName, report: &DemandReport) {
        if *peer == self.own {
            return;
        }
        if let Some(known) = self.peers.get(peer)
            && report.sequence <= known.sequence
            && now.since(known.at) < REPORT_LIFE
        {
            return;
        }
        let accounts = report
            .accounts
            .iter()
            .map(|demand| (demand.account.clone(), demand.clone()))
            .collect();
        let demand = PeerDemand {
            at: now,
            sequence: report.sequence,
            accounts,
        };
        self.peers.insert(peer.clone(), demand);
    }

    /// Returns the number of accounts with state at this entry.
    pub fn n_active(&self) -> usize {
        self.states.len()
    }

    /// Returns this entry's present rate for an account, in tokens a second.
    pub fn own_rate(&self, account: &AccountName) -> f64 {
        self.states.get(account).map_or(0.0, |state| state.rate)
    }

    fn refresh(&mut self, now: Timestamp, account: &AccountName, limit: AccountLimit) {
        let n_entries = self.entries.len() as f64;
        let state = self
            .states
            .entry(account.clone())
            .or_insert_with(|| AccountState::new(now, limit, n_entries));
        state.decay(now);
        if now < state.share_until {
            return;
        }
        state.share_until = now + SHARE_INTERVAL;
        let view = PeerView::new(now, account, &self.own, &self.entries, &self.peers);
        let own_tokens = state.token_demand;
        let tokens = view.visible_share * limit.tokens_per_second;
        state.rate = share_of(tokens, own_tokens, view.peer_tokens, view.n_visible);
        let in_flight = view.visible_share * limit.in_flight;
        let own_in_flight = state.in_flight_demand();
        let allowance = share_of(
            in_flight,
            own_in_flight,
            view.peer_in_flight,
            view.n_visible,
        );
        let is_free = own_in_flight + view.peer_in_flight < in_flight;
        let least = u32::from(is_free);
        state.allowance = round_by_rank(allowance, view.own_rank, view.n_visible).max(least);
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
            share_until: Timestamp::default(),
        }
    }

    /// Lets the demand estimates fade and the bucket fill up to `now`.
    fn decay(&mut self, now: Timestamp) {
        let passed_s = now.since(self.updated_at).as_secs_f64();
        if passed_s <= 0.0 {
            return;
        }
        self.updated_at = now;
        let kept = (-passed_s / DEMAND_WINDOW_S).exp();
        self.token_demand *= kept;
        self.refused_in_flight *= kept;
        let full = self.rate * BURST_S;
        self.level = (self.level + self.rate * passed_s).min(full.max(self.level));
    }

    fn in_flight_demand(&self) -> f64 {
        f64::from(self.in_flight) + self.refused_in_flight
    }
}

/// What is known of the peers' demand for one account.
struct PeerView {
    /// The share of the entries that are heard from, this one included.
    visible_share: f64,
    n_visible: f64,
    /// This entry's place among those heard from.
    own_rank: usize,
    peer_tokens: f64,
    peer_in_flight: f64,
}

impl PeerView {
    fn new(
        now: Timestamp,
        account: &AccountName,
        own: &EntryName,
        entries: &[EntryName],
        peers: &HashMap<EntryName, PeerDemand>,
    ) -> Self {
        let mut view = Self {
            visible_share: 1.0,
            n_visible: 0.0,
            own_rank: 0,
            peer_tokens: 0.0,
            peer_in_flight: 0.0,
        };
        for entry in entries {
            if entry == own {
                view.own_rank = view.n_visible as usize;
                view.n_visible += 1.0;
                continue;
            }
            let Some(peer) = peers.get(entry) else {
                continue;
            };
            if REPORT_LIFE <= now.since(peer.at) {
                continue;
            }
            view.n_visible += 1.0;
            if let Some(demand) = peer.accounts.get(account) {
                view.peer_tokens += f64::from(demand.tokens_per_second);
                view.peer_in_flight += f64::from(demand.in_flight);
            }
        }
        view.visible_share = view.n_visible / entries.len() as f64;
        view
    }
}

/// The share of `total` for a demand of `own` beside the `peers`' among `n_entries`.
///
/// The shares of all entries with one view add up to `total`.
fn share_of(total: f64, own: f64, peers: f64, n_entries: f64) -> f64 {
    let demand = own + peers;
    if demand <= total {
        return own + (total - demand) / n_entries;
    }
    total * own / demand
}

/// Rounds a share so that the sum over ranks stays near the sum of the shares.
fn round_by_rank(share: f64, rank: usize, n_entries: f64) -> u32 {
    let threshold = (rank as f64 + 0.5) / n_entries;
    let whole = share.floor();
    let rest = share - whole;
    (whole + f64::from(u8::from(threshold < rest))) as u32
}
