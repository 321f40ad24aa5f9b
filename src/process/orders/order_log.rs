//! Reads and writes of the order streams in one process.

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

/// The order streams of one process: followed shards, append queues and requests in flight.
#[derive(Clone, Debug)]
pub struct OrderLog {
    settings: OrderSettings,
    tails: BTreeMap<OrderShard, FollowedShard>,
    queues: BTreeMap<OrderShard, AppendQueue>,
    batches: BTreeMap<BatchId, OrderShard>,
    reads: BTreeMap<ReadId, OrderShard>,
    next_id: u64,
    status: LogStatus,
}

#[derive(Clone, Debug)]
struct FollowedShard {
    tail: ShardTail,
    reading: Option<ReadId>,
    not_before: Timestamp,
    n_failed: u32,
}

/// Whether the log service is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStatus {
    /// No outage was seen yet, or a request has succeeded since.
    Up,
    /// An append could not reach the log service, or the reads of a shard failed repeatedly, and no
    /// request has succeeded since.
    Down,
}

/// An update from the log service that concerns the keys of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum LogUpdate {
    /// The state of some or all keys of a shard may have changed.
    KeysChanged {
        /// The shard.
        shard: OrderShard,
        /// The keys, or `None` for all keys of the shard.
        keys: Option<Vec<OrderKey>>,
    },
    /// An append was acknowledged: its records are in the stream.
    RecordsAppended(Vec<OrderRecord>),
    /// An append failed: its records were not written, or it is unknown whether they were.
    RecordsFailed {
        /// The records.
        records: Vec<OrderRecord>,
        /// Whether the records may have been written.
        fault: AppendFault,
    },
    /// The reads of a shard failed repeatedly.
    ShardUnavailable(OrderShard),
}

impl OrderLog {
    /// Creates a log that follows no shard yet.
    pub fn new(settings: OrderSettings) -> Self {
        Self {
            settings,
            tails: BTreeMap::new(),
            queues: BTreeMap::new(),
            batches: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_id: 0,
            status: LogStatus::Up,
        }
    }

    /// Returns whether the log service is reachable. It counts as up while no shard is followed,
    /// because without reads its recovery would go unnoticed.
    pub fn status(&self) -> LogStatus {
        if self.tails.is_empty() {
            return LogStatus::Up;
        }
        self.status
    }

    /// Follows the shard of a key, starting far enough back for this key and for new keys.
    pub fn follow(&mut self, now: Timestamp, key: &OrderKey) {
        self.follow_since(now, key.shard(), key.time());
    }

    /// Follows a shard, starting far enough back for new keys.
    pub fn prepare(&mut self, now: Timestamp, shard: OrderShard) {
        self.follow_since(now, shard, now);
    }

    fn follow_since(&mut self, now: Timestamp, shard: OrderShard, oldest_key: Timestamp) {
        let window = self.settings.window;
        let margin = window.skew + window.regression * 2;
        let since = (now - self.settings.initial_coverage).min(oldest_key) - margin;
        let followed = self.tails.entry(shard).or_insert_with(|| FollowedShard {
            tail: ShardTail::covering(window, since, now),
            reading: None,
            not_before: now,
            n_failed: 0,
        });
        followed.tail.touch(now);
    }

    /// Returns the state of a key according to the records read so far.
    pub fn state_of(&self, key: &OrderKey) -> KeyState {
        match self.tails.get(&key.shard()) {
            Some(followed) => followed.tail.state_of(key),
            None => KeyState::NotCovered,
        }
    }

    /// Returns the claims with an unknown outcome in the followed shards.
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

    /// Queues a record for an append to its shard.
    pub fn push(&mut self, now: Timestamp, record: OrderRecord) {
        self.queue_of(&record.key).push(now, record);
    }

    /// Queues a record whose acknowledgement a caller waits for.
    pub fn push_awaited(&mut self, now: Timestamp, record: OrderRecord) {
        self.queue_of(&record.key).push_awaited(now, record);
    }

    fn queue_of(&mut self, key: &OrderKey) -> &mut AppendQueue {
        let limits = AppendLimits {
            max_batch: self.settings.max_batch,
            max_in_flight: self.settings.max_in_flight,
            batch_delay: self.settings.batch_delay,
        };
        self.queues
            .entry(key.shard())
            .or_insert_with(|| AppendQueue::new(limits))
    }

    /// Removes the queued records of an attempt; returns whether there were any.
    pub fn remove_queued(&mut self, key: &OrderKey, attempt: AttemptId) -> bool {
        let queue = self.queues.get_mut(&key.shard());
        queue.is_some_and(|queue| queue.remove_queued(attempt))
    }

    /// Returns whether no record is queued and no append is in flight.
    pub fn is_flushed(&self) -> bool {
        self.queues.values().all(AppendQueue::is_idle)
    }

    /// Processes an event of the log service; returns an update if one concerns the keys.
    pub fn on_event(&mut self, now: Timestamp, event: LogEvent) -> Option<LogUpdate> {
        match event {
            LogEvent::Appended { batch, .. } => {
                let shard = self.batches.remove(&batch)?;
                let sent = self.queues.get_mut(&shard)?.finish(batch)?;
                self.status = LogStatus::Up;
                Some(LogUpdate::RecordsAppended(sent.records))
            }
            LogEvent::AppendFailed { batch, fault } => self.on_append_failed(now, batch, fault),
            LogEvent::ReadDone { read, page } => {
                let shard = self.reads.remove(&read)?;
                let followed = self.tails.get_mut(&shard)?;
                followed.reading.take_if(|reading| *reading == read)?;
                followed.n_failed = 0;
                self.status = LogStatus::Up;
                let effect = followed.tail.on_page(now, &page);
                Some(LogUpdate::KeysChanged {
                    shard,
                    keys: (!effect.reached_end).then_some(effect.changed_keys),
                })
            }
            LogEvent::ReadFailed { read } => {
                let shard = self.reads.remove(&read)?;
                let followed = self.tails.get_mut(&shard)?;
                followed.reading.take_if(|reading| *reading == read)?;
                followed.n_failed += 1;
                if followed.n_failed < self.settings.max_failed_reads {
                    return None;
                }
                followed.not_before = now + self.settings.log_retry_delay;
                self.status = LogStatus::Down;
                Some(LogUpdate::ShardUnavailable(shard))
            }
        }
    }

    fn on_append_failed(
        &mut self,
        now: Timestamp,
        batch: BatchId,
        fault: AppendFault,
    ) -> Option<LogUpdate> {
        let shard = self.batches.remove(&batch)?;
        let queue = self.queues.get_mut(&shard)?;
        let sent = queue.finish(batch)?;
        queue.delay_until(now + self.settings.log_retry_delay);
        if fault == AppendFault::Unreachable {
            self.status = LogStatus::Down;
        }
        Some(LogUpdate::RecordsFailed {
            records: sent.records,
            fault,
        })
    }

    /// Returns the appends and reads that are due, and stops following unused shards.
    pub fn poll(&mut self, now: Timestamp) -> Vec<LogAction> {
        let idle_before = now - self.settings.follow_idle_timeout;
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

    /// Returns when [`Self::poll`] next has work to do if no event arrives earlier.
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
