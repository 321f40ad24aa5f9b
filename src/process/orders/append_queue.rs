//! The queue of records of one shard that are not yet appended to its stream.

use std::collections::VecDeque;

use crate::prelude::*;

use super::batch_delay::BatchDelay;
use super::log_event::BatchId;
use super::record::{AttemptId, OrderRecord};

/// The queued records of one shard and its appends in flight.
///
/// The number of appends in flight is limited. While the limit is reached, new records join the
/// next batch, which bounds the append rate at any order rate.
#[derive(Clone, Debug)]
pub struct AppendQueue {
    limits: AppendLimits,
    waiting: VecDeque<WaitingRecord>,
    n_awaited: usize,
    /// When the oldest waiting record was queued, or the last batch was sent if that is later.
    oldest: Timestamp,
    /// When the last batch was sent that did not go ahead of the spacing.
    last_sent: Timestamp,
    /// Until when all batches sent use up the average rate.
    paced_until: Timestamp,
    not_before: Timestamp,
    in_flight: SmallVec<[SentBatch; 4]>,
}

/// The limits on the appends of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendLimits {
    /// Maximum number of records in one append.
    pub max_batch: usize,
    /// Maximum number of appends in flight.
    pub max_in_flight: usize,
    /// How long records are delayed to form a batch.
    pub batch_delay: BatchDelay,
}

#[derive(Clone, Debug)]
struct WaitingRecord {
    record: OrderRecord,
    urgency: AppendUrgency,
}

/// Whether a record may go ahead of the spacing of appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendUrgency {
    Spaced,
    Awaited,
}

/// A batch whose append is in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct SentBatch {
    /// The id of the append.
    pub batch: BatchId,
    /// The records of the batch.
    pub records: Vec<OrderRecord>,
    /// When the append was sent.
    pub sent: Timestamp,
}

impl AppendQueue {
    /// Creates an empty queue.
    pub fn new(limits: AppendLimits) -> Self {
        Self {
            limits,
            waiting: VecDeque::new(),
            n_awaited: 0,
            oldest: Timestamp::default(),
            last_sent: Timestamp::default(),
            paced_until: Timestamp::default(),
            not_before: Timestamp::default(),
            in_flight: SmallVec::new(),
        }
    }

    /// Queues a record.
    pub fn push(&mut self, now: Timestamp, record: OrderRecord) {
        self.push_with(now, record, AppendUrgency::Spaced);
    }

    /// Queues a record whose acknowledgement a caller waits for.
    pub fn push_awaited(&mut self, now: Timestamp, record: OrderRecord) {
        self.n_awaited += 1;
        self.push_with(now, record, AppendUrgency::Awaited);
    }

    fn push_with(&mut self, now: Timestamp, record: OrderRecord, urgency: AppendUrgency) {
        if self.waiting.is_empty() {
            self.oldest = now;
        }
        self.waiting.push_back(WaitingRecord { record, urgency });
    }

    /// Returns whether no record is queued and no append is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Returns when the next batch may be sent; `None` if no record is queued or the limit on
    /// appends in flight is reached.
    pub fn due(&self) -> Option<Timestamp> {
        if self.waiting.is_empty() || self.limits.max_in_flight <= self.in_flight.len() {
            return None;
        }
        if self.limits.max_batch <= self.waiting.len() {
            return Some(self.oldest.max(self.not_before));
        }
        let spaced = self.spaced_due();
        let due = if self.n_awaited == 0 {
            spaced
        } else {
            let delay = self.limits.batch_delay;
            spaced.min(delay.awaited_due(self.oldest, self.paced_until))
        };
        Some(due.max(self.not_before))
    }

    fn spaced_due(&self) -> Timestamp {
        self.limits.batch_delay.due(self.oldest, self.last_sent)
    }

    /// Removes the next batch from the queue and marks it as in flight.
    pub fn send(&mut self, now: Timestamp, batch: BatchId) -> Vec<OrderRecord> {
        assert!(
            self.in_flight.len() < self.limits.max_in_flight,
            "a shard has at most max_in_flight appends in flight"
        );
        let n_taken = self.limits.max_batch.min(self.waiting.len());
        let taken: Vec<_> = self.waiting.drain(..n_taken).collect();
        self.n_awaited -= n_awaited(&taken);
        let records: Vec<_> = taken.into_iter().map(|waiting| waiting.record).collect();
        // A batch that goes ahead of the spacing must not delay the claims after it.
        if self.spaced_due() <= now {
            self.last_sent = now;
        }
        self.paced_until = self.limits.batch_delay.pace(self.paced_until, now);
        self.oldest = now;
        self.in_flight.push(SentBatch {
            batch,
            records: records.clone(),
            sent: now,
        });
        records
    }

    /// Removes a finished append from the appends in flight and returns it.
    pub fn finish(&mut self, batch: BatchId) -> Option<SentBatch> {
        let idx = self.in_flight.iter().position(|sent| sent.batch == batch)?;
        Some(self.in_flight.remove(idx))
    }

    /// Sends no batch before the given time.
    pub fn delay_until(&mut self, time: Timestamp) {
        self.not_before = time;
    }

    /// Removes the queued records of an attempt; returns whether there were any.
    pub fn remove_queued(&mut self, attempt: AttemptId) -> bool {
        let n_before = self.waiting.len();
        self.waiting
            .retain(|waiting| waiting.record.attempt != attempt);
        self.n_awaited = n_awaited(&self.waiting);
        self.waiting.len() < n_before
    }
}

fn n_awaited<'a>(records: impl IntoIterator<Item = &'a WaitingRecord>) -> usize {
    let records = records.into_iter();
    let awaited = records.filter(|waiting| waiting.urgency == AppendUrgency::Awaited);
    awaited.count()
}
