//! Waiting work, fair between client accounts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use crate::prelude::*;

/// The lanes, the most urgent first.
const LANES: [WorkLane; 4] = [
    WorkLane::Order,
    WorkLane::Lookup,
    WorkLane::Interactive,
    WorkLane::Batch,
];
/// The virtual time units of one unit of cost at weight 1.
const COST_SCALE: u64 = 1 << 16;
/// The served requests of a lane over which the use of an account fades.
const SERVED_WINDOW: f64 = 64.0;
/// The served requests after which an account that was not served is forgotten.
const FORGOTTEN_AFTER: u64 = 512;

/// A queue with lanes by priority and weighted fair queueing between accounts in each lane.
///
/// Within a lane, accounts that all wait get service in proportion to their weights,
/// whatever the number of requests each has queued (start-time fair queueing). A full queue
/// pushes out work of the account that was served most of late, what waits included.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: [FairLane<T>; 4],
    len: usize,
    capacity: usize,
    /// From this length on new work is refused or pushes other work out; at most `capacity`.
    limit: usize,
}

/// Work that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedWork<T> {
    /// The client account.
    pub account: AccountName,
    /// The lane.
    pub lane: WorkLane,
    /// The account's share under contention, relative to others.
    pub weight: u32,
    /// The cost, in tokens or calls.
    pub cost: u64,
    /// When the answer is due.
    pub deadline: Timestamp,
    /// The work itself.
    pub item: T,
}

/// What became of pushed work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueuePush<T> {
    /// It waits.
    Queued,
    /// It waits; this work of the account that uses most was pushed out for it.
    Displaced(QueuedWork<T>),
    /// It was not taken: the queue is full and its account uses most.
    Refused(QueuedWork<T>),
}

#[derive(Debug)]
struct FairLane<T> {
    accounts: HashMap<AccountName, AccountQueue<T>>,
    /// The accounts with waiting work by the virtual start time of their first.
    heads: BinaryHeap<Reverse<(u64, AccountName)>>,
    virtual_time: u64,
    /// The requests that were served.
    n_served: u64,
}

#[derive(Debug)]
struct AccountQueue<T> {
    waiting: VecDeque<TaggedWork<T>>,
    last_finish: u64,
    /// The weighed cost of what was served of late, at the time of `served_at`.
    served: f64,
    /// The lane's served requests when `served` was brought up to date.
    served_at: u64,
}

#[derive(Debug)]
struct TaggedWork<T> {
    start: u64,
    work: QueuedWork<T>,
}

impl<T> FairQueue<T> {
    /// Makes a queue of at most `capacity` waiting requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            lanes: std::array::from_fn(|_| FairLane::new()),
            len: 0,
            capacity,
            limit: capacity,
        }
    }

    /// Sets the length from which on new work is refused, up to the capacity.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit.clamp(1, self.capacity.max(1));
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns what waits, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedWork<T>> {
        self.lanes
            .iter()
            .flat_map(|lane| lane.accounts.values())
            .flat_map(|account| account.waiting.iter().map(|tagged| &tagged.work))
    }

    /// Returns the number of waiting requests that are served before a new one of `lane`.
    pub fn n_ahead(&self, lane: WorkLane) -> usize {
        self.lanes[..=lane as usize]
            .iter()
            .flat_map(|lane| lane.accounts.values())
            .map(|account| account.waiting.len())
            .sum()
    }

    /// Adds work.
    pub fn push(&mut self, work: QueuedWork<T>) -> QueuePush<T> {
        if self.len < self.limit {
            self.insert(work);
            return QueuePush::Queued;
        }
        let Some((lane, account, use_of_victim)) = self.greatest_user(work.lane) else {
            return QueuePush::Refused(work);
        };
        if lane == work.lane && use_of_victim <= self.lanes[lane as usize].use_with(&work) {
            return QueuePush::Refused(work);
        }
        let displaced = self.lanes[lane as usize].pop_last(&account);
        self.len -= 1;
        self.insert(work);
        QueuePush::Displaced(displaced)
    }

    /// Takes the work that is next; work past its deadline is not skipped.
    pub fn pop(&mut self) -> Option<QueuedWork<T>> {
        let work = self.lanes.iter_mut().find_map(FairLane::pop)?;
        self.len -= 1;
        Some(work)
    }

    /// Takes out the work that cannot be answered before its deadline.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<QueuedWork<T>> {
        self.take_if(|work| work.deadline <= now)
    }

    /// Takes out the work that `is_taken` selects.
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
            "a queue never holds more than its capacity"
        );
    }

    /// The account with waiting work that uses most, in the least urgent lane in use that is
    /// not more urgent than `lane`, with its use.
    fn greatest_user(&self, lane: WorkLane) -> Option<(WorkLane, AccountName, f64)> {
        LANES[lane as usize..].iter().rev().find_map(|&lane| {
            let fair_lane = &self.lanes[lane as usize];
            fair_lane
                .accounts
                .iter()
                .filter(|(_, account)| !account.waiting.is_empty())
                .map(|(name, account)| (name, account.present_use(fair_lane.n_served)))
                .max_by(|(a, a_use), (b, b_use)| a_use.total_cmp(b_use).then(b.cmp(a)))
                .map(|(name, present_use)| (lane, name.clone(), present_use))
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
                served: 0.0,
                served_at: n_served,
            });
        let start = account.last_finish.max(virtual_time);
        account.last_finish = start + virtual_cost(&work);
        if account.waiting.is_empty() {
            self.heads.push(Reverse((start, work.account.clone())));
        }
        account.waiting.push_back(TaggedWork { start, work });
    }

    /// The use of an account if `work` of it waited as well.
    fn use_with(&self, work: &QueuedWork<T>) -> f64 {
        let present_use = self
            .accounts
            .get(&work.account)
            .map_or(0.0, |account| account.present_use(self.n_served));
        present_use + weighed_cost(work)
    }

    fn pop(&mut self) -> Option<QueuedWork<T>> {
        let Reverse((start, name)) = self.heads.pop()?;
        assert!(
            self.virtual_time <= start,
            "virtual time of a lane never goes back"
        );
        self.virtual_time = start;
        let account = self
            .accounts
            .get_mut(&name)
            .expect("a head's account is known");
        let tagged = account
            .waiting
            .pop_front()
            .expect("a head's account has waiting work");
        self.n_served += 1;
        account.serve(self.n_served, &tagged.work);
        match account.waiting.front() {
            Some(next) => self.heads.push(Reverse((next.start, name))),
            None => self.forget_idle(),
        }
        Some(tagged.work)
    }

    /// Takes the newest work of an account with waiting work.
    fn pop_last(&mut self, name: &AccountName) -> QueuedWork<T> {
        let account = self.accounts.get_mut(name).expect("the account is known");
        let tagged = account.waiting.pop_back().expect("the account waits");
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

    /// Drops accounts that have no waiting work and no debt, once they are many.
    fn forget_idle(&mut self) {
        let n_waiting = self.heads.len();
        if self.accounts.len() < 64 + 2 * n_waiting {
            return;
        }
        let virtual_time = self.virtual_time;
        let forgotten = self.n_served.saturating_sub(FORGOTTEN_AFTER);
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty()
                || virtual_time < account.last_finish
                || forgotten < account.served_at
        });
    }
}

impl<T> AccountQueue<T> {
    /// The weighed cost of what was served of late and of what waits.
    fn present_use(&self, n_served: u64) -> f64 {
        let waiting: f64 = self
            .waiting
            .iter()
            .map(|tagged| weighed_cost(&tagged.work))
            .sum();
        self.served_of_late(n_served) + waiting
    }

    fn served_of_late(&self, n_served: u64) -> f64 {
        let since = (n_served - self.served_at) as f64;
        self.served * (-since / SERVED_WINDOW).exp()
    }

    fn serve(&mut self, n_served: u64, work: &QueuedWork<T>) {
        self.served = self.served_of_late(n_served) + weighed_cost(work);
        self.served_at = n_served;
    }
}

fn weighed_cost<T>(work: &QueuedWork<T>) -> f64 {
    work.cost.max(1) as f64 / f64::from(work.weight.max(1))
}

fn virtual_cost<T>(work: &QueuedWork<T>) -> u64 {
    work.cost.max(1) * COST_SCALE / u64::from(work.weight.max(1))
}
