//! A queue of work that is fair between client accounts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use crate::prelude::*;

/// The lanes in order of priority, the most urgent first.
const LANES: [WorkLane; 4] = [
    WorkLane::Order,
    WorkLane::Lookup,
    WorkLane::Interactive,
    WorkLane::Batch,
];
/// The virtual time of one unit of cost at weight 1.
const COST_SCALE: u64 = 1 << 16;
/// The constant of the exponential decay of an account's usage, in served requests of its lane.
const USAGE_WINDOW: f64 = 64.0;
/// An account without queued work may be dropped after this many served requests of other accounts.
const IDLE_AFTER_SERVED: u64 = 512;

/// A queue with lanes by priority and weighted fair queueing between the accounts of a lane.
///
/// Within a lane, accounts with queued work get service in proportion to their weights,
/// whatever the number of requests each has queued (start-time fair queueing). A full queue
/// displaces work of the account with the highest usage: its recent service and queued work.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: [FairLane<T>; 4],
    len: usize,
    capacity: usize,
    /// The length at which new work is refused or displaces other work; at most `capacity`.
    limit: usize,
}

/// Queued work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedWork<T> {
    /// The client account.
    pub account: AccountName,
    /// The priority lane.
    pub lane: WorkLane,
    /// The account's relative share under contention.
    pub weight: u32,
    /// The cost, in tokens or calls.
    pub cost: u64,
    /// When the answer is due.
    pub deadline: Timestamp,
    /// The work itself.
    pub item: T,
}

/// The result of adding work to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueuePush<T> {
    /// It is queued.
    Queued,
    /// It is queued, and displaced this work of the account with the highest usage.
    Displaced(QueuedWork<T>),
    /// It is not queued: the queue is full and its account has the highest usage.
    Refused(QueuedWork<T>),
}

#[derive(Debug)]
struct FairLane<T> {
    accounts: HashMap<AccountName, AccountQueue<T>>,
    /// The accounts with queued work, by the virtual start time of their first request.
    heads: BinaryHeap<Reverse<(u64, AccountName)>>,
    virtual_time: u64,
    /// The number of requests served.
    n_served: u64,
}

#[derive(Debug)]
struct AccountQueue<T> {
    waiting: VecDeque<TaggedWork<T>>,
    last_finish: u64,
    /// The decayed weighted cost of work served, as of `served_at`.
    served_cost: f64,
    /// The lane's number of served requests when `served_cost` was last updated.
    served_at: u64,
}

#[derive(Debug)]
struct TaggedWork<T> {
    start: u64,
    work: QueuedWork<T>,
}

impl<T> FairQueue<T> {
    /// Creates a queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            lanes: std::array::from_fn(|_| FairLane::new()),
            len: 0,
            capacity,
            limit: capacity,
        }
    }

    /// Sets the length at which new work is refused or displaces other work, from 1 up to the
    /// capacity.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit.clamp(1, self.capacity.max(1));
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the queued work in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedWork<T>> {
        self.lanes
            .iter()
            .flat_map(|lane| lane.accounts.values())
            .flat_map(|account| account.waiting.iter().map(|tagged| &tagged.work))
    }

    /// Returns the number of queued requests in `lane` and the more urgent lanes.
    pub fn n_ahead(&self, lane: WorkLane) -> usize {
        self.lanes[..=lane as usize]
            .iter()
            .flat_map(|lane| lane.accounts.values())
            .map(|account| account.waiting.len())
            .sum()
    }

    /// Adds work, or displaces or refuses work if the queue is at its limit.
    pub fn push(&mut self, work: QueuedWork<T>) -> QueuePush<T> {
        if self.len < self.limit {
            self.insert(work);
            return QueuePush::Queued;
        }
        let Some((lane, account, usage_of_displaced)) = self.heaviest_account(work.lane) else {
            return QueuePush::Refused(work);
        };
        if lane == work.lane && usage_of_displaced <= self.lanes[lane as usize].usage_with(&work) {
            return QueuePush::Refused(work);
        }
        let displaced = self.lanes[lane as usize].pop_last(&account);
        self.len -= 1;
        self.insert(work);
        QueuePush::Displaced(displaced)
    }

    /// Removes and returns the next work, even if it is past its deadline.
    pub fn pop(&mut self) -> Option<QueuedWork<T>> {
        let work = self.lanes.iter_mut().find_map(FairLane::pop)?;
        self.len -= 1;
        Some(work)
    }

    /// Removes and returns the work whose deadline has passed.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<QueuedWork<T>> {
        self.take_if(|work| work.deadline <= now)
    }

    /// Removes and returns the work for which `is_taken` returns true.
    pub fn take_if(&mut self, is_taken: impl Fn(&QueuedWork<T>) -> bool) -> Vec<QueuedWork<T>> {
        let mut taken = Vec::new();
        for lane in &mut self.lanes {
            lane.take_if(&is_taken, &mut taken);
        }
        self.len -= taken.len();
        taken
    }

    fn insert(&mut self, work: QueuedWork<T>) {
        self.lanes[work.lane as usize].push(work);
        self.len += 1;
        assert!(
            self.len <= self.capacity,
            "the queue never exceeds its capacity"
        );
    }

    /// Returns the account with queued work and the highest usage, with that usage, in the
    /// least urgent lane that has queued work and is not more urgent than `lane`.
    fn heaviest_account(&self, lane: WorkLane) -> Option<(WorkLane, AccountName, f64)> {
        LANES[lane as usize..].iter().rev().find_map(|&lane| {
            let fair_lane = &self.lanes[lane as usize];
            fair_lane
                .accounts
                .iter()
                .filter(|(_, account)| !account.waiting.is_empty())
                .map(|(name, account)| (name, account.current_usage(fair_lane.n_served)))
                .max_by(|(a, a_usage), (b, b_usage)| a_usage.total_cmp(b_usage).then(b.cmp(a)))
                .map(|(name, current_usage)| (lane, name.clone(), current_usage))
        })
    }
}

impl<T> FairLane<T> {
    fn new() -> Self {
        Self {
            accounts: HashMap::new(),
            heads: BinaryHeap::new(),
            virtual_time: 0,
            n_served: 0,
        }
    }

    fn push(&mut self, work: QueuedWork<T>) {
        let virtual_time = self.virtual_time;
        let n_served = self.n_served;
        let account = self
            .accounts
            .entry(work.account.clone())
            .or_insert_with(|| AccountQueue {
                waiting: VecDeque::new(),
                last_finish: virtual_time,
                served_cost: 0.0,
                served_at: n_served,
            });
        let start = account.last_finish.max(virtual_time);
        account.last_finish = start + virtual_cost(&work);
        if account.waiting.is_empty() {
            self.heads.push(Reverse((start, work.account.clone())));
        }
        account.waiting.push_back(TaggedWork { start, work });
    }

    /// Returns the usage of an account as if `work` were queued.
    fn usage_with(&self, work: &QueuedWork<T>) -> f64 {
        let current_usage = self
            .accounts
            .get(&work.account)
            .map_or(0.0, |account| account.current_usage(self.n_served));
        current_usage + weighted_cost(work)
    }

    fn pop(&mut self) -> Option<QueuedWork<T>> {
        let Reverse((start, name)) = self.heads.pop()?;
        assert!(
            self.virtual_time <= start,
            "the virtual time of a lane never decreases"
        );
        self.virtual_time = start;
        let account = self
            .accounts
            .get_mut(&name)
            .expect("the account of a head is in the lane");
        let tagged = account
            .waiting
            .pop_front()
            .expect("the account of a head has queued work");
        self.n_served += 1;
        account.serve(self.n_served, &tagged.work);
        match account.waiting.front() {
            Some(next) => self.heads.push(Reverse((next.start, name))),
            None => self.drop_idle_accounts(),
        }
        Some(tagged.work)
    }

    /// Removes and returns the newest work of an account with queued work.
    fn pop_last(&mut self, name: &AccountName) -> QueuedWork<T> {
        let account = self
            .accounts
            .get_mut(name)
            .expect("the account is in the lane");
        let tagged = account
            .waiting
            .pop_back()
            .expect("the account has queued work");
        account.last_finish = tagged.start;
        if account.waiting.is_empty() {
            self.rebuild_heads();
        }
        tagged.work
    }

    fn take_if(
        &mut self,
        is_taken: &impl Fn(&QueuedWork<T>) -> bool,
        taken: &mut Vec<QueuedWork<T>>,
    ) {
        let n_before = taken.len();
        for account in self.accounts.values_mut() {
            if !account.waiting.iter().any(|tagged| is_taken(&tagged.work)) {
                continue;
            }
            let waiting = std::mem::take(&mut account.waiting);
            for tagged in waiting {
                match is_taken(&tagged.work) {
                    true => taken.push(tagged.work),
                    false => account.waiting.push_back(tagged),
                }
            }
        }
        if n_before < taken.len() {
            self.rebuild_heads();
        }
    }

    fn rebuild_heads(&mut self) {
        self.heads = self
            .accounts
            .iter()
            .filter_map(|(name, account)| {
                let head = account.waiting.front()?;
                Some(Reverse((head.start, name.clone())))
            })
            .collect();
    }

    /// Drops accounts without queued work or recent service, once the lane holds many accounts.
    ///
    /// An account whose last finish is ahead of the virtual time is kept, so that it cannot skip
    /// its wait by coming back as a new account.
    fn drop_idle_accounts(&mut self) {
        let n_waiting = self.heads.len();
        if self.accounts.len() < 64 + 2 * n_waiting {
            return;
        }
        let virtual_time = self.virtual_time;
        let idle_since = self.n_served.saturating_sub(IDLE_AFTER_SERVED);
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty()
                || virtual_time < account.last_finish
                || idle_since < account.served_at
        });
    }
}

impl<T> AccountQueue<T> {
    /// Returns the weighted cost of recently served and of queued work.
    fn current_usage(&self, n_served: u64) -> f64 {
        let waiting: f64 = self
            .waiting
            .iter()
            .map(|tagged| weighted_cost(&tagged.work))
            .sum();
        self.decayed_served_cost(n_served) + waiting
    }

    /// Returns the cost of served work, decayed up to `n_served`.
    fn decayed_served_cost(&self, n_served: u64) -> f64 {
        let n_served_since = (n_served - self.served_at) as f64;
        self.served_cost * (-n_served_since / USAGE_WINDOW).exp()
    }

    fn serve(&mut self, n_served: u64, work: &QueuedWork<T>) {
        self.served_cost = self.decayed_served_cost(n_served) + weighted_cost(work);
        self.served_at = n_served;
    }
}

fn weighted_cost<T>(work: &QueuedWork<T>) -> f64 {
    work.cost.max(1) as f64 / f64::from(work.weight.max(1))
}

fn virtual_cost<T>(work: &QueuedWork<T>) -> u64 {
    work.cost.max(1) * COST_SCALE / u64::from(work.weight.max(1))
}
