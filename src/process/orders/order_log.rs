//! The order streams as one process reads and writes them.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::append_queue::{AppendLimits, AppendQueue};
use super::fold::{KeyState, OpenClaim};
use super::key::OrderKey;
use super::log_event::{AppendFault, BatchId, LogAction, LogEvent, ReadId};
use super::record::{AttemptId, OrderRecord};
use super::settings::OrderSettings;
use super::shard::OrderShard;
use super::shard_reader::ReadSize;
use super::shard_tail::ShardTail;

/// The order streams as one process reads and writes them: tails, queues and what is in flight.
#[derive(Clone, Debug)]
pub struct OrderLog {
    settings: OrderSettings,
    tails: BTreeMap<OrderShard, FollowedShard>,
    queues: BTreeMap<OrderShard, AppendQueue>,
    batches: BTreeMap<BatchId, OrderShard>,
    reads: BTreeMap<ReadId, OrderShard>,
    next_id: u64,
    reach: LogReach,
}

#[derive(Clone, Debug)]
struct FollowedShard {
    tail: ShardTail,
    reading: Option<ReadId>,
    not_before: Timestamp,
    n_failed: u32,
}

/// Whether the log service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogReach {
    /// It answered last, or was not yet asked.
    Up,
    /// It did not answer last.
    Down,
}

/// What an event of the log service means for the keys of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum LogNews {
    /// The state of keys of a shard may have changed; all of the shard's where `keys` is `None`.
    KeysChanged {
        /// The shard.
        shard: OrderShard,
        /// The keys, or `None` for all.
        keys: Option<Vec<OrderKey>>,
    },
    /// Records were not written, or it isn't known whether they were.
    RecordsFailed {
        /// The records.
        records: Vec<OrderRecord>,
        /// What is known.
        fault: AppendFault,
    },
    /// A shard could not be read.
    ShardAway(OrderShard),
}

impl OrderLog {
    /// Creates the streams' side of a process, which follows no shard yet.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            tails: BTreeMap::new(),
            queues: BTreeMap::new(),
            batches: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_id: 0,
            reach: LogReach::Up,
        }
    }

    /// Returns whether the log service answers. With no shard followed nothing would tell that it
    /// is back, so it then counts as up.
    pub fn reach(&self) -> LogReach {
        if self.tails.is_empty() {
            return LogReach::Up;
        }
        self.reach
    }

    /// Follows the shard of a key, far enough back for the key or for new keys.
    pub fn follow(&mut self, now: Timestamp, key: &OrderKey) {
        self.follow_since(now, key.shard(), key.time());
    }

    /// Follows a shard, far enough back for new keys.
    pub fn prepare(&mut self, now: Timestamp, shard: OrderShard) {
        self.follow_since(now, shard, now);
    }

    fn follow_since(&mut self, now: Timestamp, shard: OrderShard, oldest_key: Timestamp) {
        let window = self.settings.window;
        let slack = window.skew + window.regression * 2;
        let since = (now - self.settings.first_cover).min(oldest_key) - slack;
        let followed = self.tails.entry(shard).or_insert_with(|| FollowedShard {
            tail: ShardTail::covering(window, since, now),
            reading: None,
            not_before: now,
            n_failed: 0,
        });
        followed.tail.touch(now);
    }

    /// Returns the state of a key, as far as its shard was read.
    pub fn state_of(&self, key: &OrderKey) -> KeyState {
        match self.tails.get(&key.shard()) {
            Some(followed) => followed.tail.state_of(key),
            None => KeyState::NotCovered,
        }
    }

    /// Returns the claims without a known outcome in the shards that are followed.
    pub fn open_claims(&self) -> Vec<OpenClaim> {
        self.tails
            .values()
            .filter_map(|followed| followed.tail.fold())
            .flat_map(|fold| fold.open_claims())
            .collect()
    }

    /// Returns the number of keys in memory.
    pub fn n_keys(&self) -> usize {
        self.tails
            .values()
            .filter_map(|followed| followed.tail.fold())
            .map(|fold| fold.n_keys())
            .sum()
    }

    /// Adds a record to its shard's next append.
    pub fn push(&mut self, now: Timestamp, record: OrderRecord) {
        let limits = AppendLimits {
            max_batch: self.settings.max_batch,
            max_in_flight: self.settings.max_in_flight,
            batch_delay: self.settings.batch_delay,
        };
        self.queues
            .entry(record.key.shard())
            .or_insert_with(|| AppendQueue::new(limits))
            .push(now, record);
    }

    /// Drops the records of an attempt that wait for their append; returns whether there were any.
    pub fn remove_queued(&mut self, key: &OrderKey, attempt: AttemptId) -> bool {
        let queue = self.queues.get_mut(&key.shard());
        queue.is_some_and(|queue| queue.remove_queued(attempt))
    }

    /// Returns whether nothing waits for its append and no append is in flight.
    pub fn is_written(&self) -> bool {
        self.queues.values().all(AppendQueue::is_idle)
    }

    /// Takes in what the log service answered.
    pub fn on_event(&mut self, now: Timestamp, event: LogEvent) -> Option<LogNews> {
        match event {
            LogEvent::Appended { batch, .. } => {
                let shard = self.batches.remove(&batch)?;
                self.queues.get_mut(&shard)?.finish(batch)?;
                self.reach = LogReach::Up;
                None
            }
            LogEvent::AppendFailed { batch, fault } => self.on_append_failed(now, batch, fault),
            LogEvent::ReadDone { read, page } => {
                let shard = self.reads.remove(&read)?;
                let followed = self.tails.get_mut(&shard)?;
                followed.reading.take_if(|reading| *reading == read)?;
                followed.n_failed = 0;
                self.reach = LogReach::Up;
                let effect = followed.tail.on_page(now, &page);
                Some(LogNews::KeysChanged {
                    shard,
                    keys: (!effect.became_level).then_some(effect.touched),
                })
            }
            LogEvent::ReadFailed { read } => {
                let shard = self.reads.remove(&read)?;
                let followed = self.tails.get_mut(&shard)?;
                followed.reading.take_if(|reading| *reading == read)?;
                followed.n_failed += 1;
                if followed.n_failed < self.settings.max_reads {
                    return None;
                }
                followed.not_before = now + self.settings.log_retry_delay;
                self.reach = LogReach::Down;
                Some(LogNews::ShardAway(shard))
            }
        }
    }

    fn on_append_failed(
        &mut self,
        now: Timestamp,
        batch: BatchId,
        fault: AppendFault,
    ) -> Option<LogNews> {
        let shard = self.batches.remove(&batch)?;
        let queue = self.queues.get_mut(&shard)?;
        let sent = queue.finish(batch)?;
        queue.delay_until(now + self.settings.log_retry_delay);
        if fault == AppendFault::Unreachable {
            self.reach = LogReach::Down;
        }
        Some(LogNews::RecordsFailed {
            records: sent.records,
            fault,
        })
    }

    /// Returns the appends and reads that are due, and stops following unused shards.
    pub fn poll(&mut self, now: Timestamp) -> Vec<LogAction> {
        let idle_before = now - self.settings.follow_idle;
        self.tails
            .retain(|_, followed| idle_before <= followed.tail.last_used());
        let mut actions = Vec::new();
        self.poll_appends(now, &mut actions);
        self.poll_reads(now, &mut actions);
        actions
    }

    fn poll_appends(&mut self, now: Timestamp, actions: &mut Vec<LogAction>) {
        for (shard, queue) in &mut self.queues {
            let due = queue.due();
            if due.is_none_or(|due| now < due) {
                continue;
            }
            self.next_id += 1;
            let batch = BatchId(self.next_id);
            self.batches.insert(batch, *shard);
            actions.push(LogAction::Append {
                batch,
                shard: *shard,
                records: queue.send(now, batch),
            });
        }
    }

    fn poll_reads(&mut self, now: Timestamp, actions: &mut Vec<LogAction>) {
        for (shard, followed) in &mut self.tails {
            if followed.reading.is_some() || now < followed.not_before {
                continue;
            }
            self.next_id += 1;
            let read = ReadId(self.next_id);
            let step = followed.tail.next_read();
            followed.reading = Some(read);
            self.reads.insert(read, *shard);
            let (max, wait) = match step.size {
                ReadSize::One => (1, Duration::ZERO),
                ReadSize::Many => (self.settings.max_read, Duration::ZERO),
                ReadSize::Tail => (self.settings.max_read, self.settings.read_wait),
            };
            actions.push(LogAction::Read {
                read,
                shard: *shard,
                from: step.from,
                max,
                wait,
            });
        }
    }

    /// Returns when [`Self::poll`] has something to do, where no event comes before.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let appends = self.queues.values().filter_map(|queue| queue.due());
        let reads = self
            .tails
            .values()
            .filter(|followed| followed.reading.is_none())
            .map(|followed| followed.not_before);
        appends.chain(reads).min()
    }
}
