//! The records of one shard that wait for their append.

use std::collections::VecDeque;

use crate::prelude::*;

use super::batch_delay::BatchDelay;
use super::log_event::BatchId;
use super::record::{AttemptId, OrderRecord};

/// The records of one shard that wait for their append, and the appends in flight.
///
/// The appends in flight are bounded. While they are, the next batch fills, so that the number of
/// appends is bounded whatever the rate of orders is.
#[derive(Clone, Debug)]
pub struct AppendQueue {
    limits: AppendLimits,
    waiting: VecDeque<OrderRecord>,
    oldest: Timestamp,
    last_sent: Timestamp,
    not_before: Timestamp,
    in_flight: SmallVec<[SentBatch; 4]>,
}

/// The limits of the appends of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendLimits {
    /// The most records of one append.
    pub max_batch: usize,
    /// The most appends in flight.
    pub max_in_flight: usize,
    /// How long records wait for others.
    pub batch_delay: BatchDelay,
}

/// A batch whose append is in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct SentBatch {
    /// The number of the append.
    pub batch: BatchId,
    /// The records.
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
            oldest: Timestamp::default(),
            last_sent: Timestamp::default(),
            not_before: Timestamp::default(),
            in_flight: SmallVec::new(),
        }
    }

    /// Adds a record.
    pub fn push(&mut self, now: Timestamp, record: OrderRecord) {
        if self.waiting.is_empty() {
            self.oldest = now;
        }
        self.waiting.push_back(record);
    }

    /// Returns whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Returns when the next batch may go, where records wait and few enough appends are in flight.
    pub fn due(&self) -> Option<Timestamp> {
        if self.waiting.is_empty() || self.limits.max_in_flight <= self.in_flight.len() {
            return None;
        }
        if self.limits.max_batch <= self.waiting.len() {
            return Some(self.oldest.max(self.not_before));
        }
        let due = self.limits.batch_delay.due(self.oldest, self.last_sent);
        Some(due.max(self.not_before))
    }

    /// Takes the next batch and notes it as in flight.
    pub fn send(&mut self, now: Timestamp, batch: BatchId) -> Vec<OrderRecord> {
        assert!(
            self.in_flight.len() < self.limits.max_in_flight,
            "the appends in flight of a shard are bounded"
        );
        let n_taken = self.limits.max_batch.min(self.waiting.len());
        let records: Vec<_> = self.waiting.drain(..n_taken).collect();
        self.oldest = now;
        self.last_sent = now;
        self.in_flight.push(SentBatch {
            batch,
            records: records.clone(),
            sent: now,
        });
        records
    }

    /// Ends an append in flight and returns it.
    pub fn finish(&mut self, batch: BatchId) -> Option<SentBatch> {
        let idx = self.in_flight.iter().position(|sent| sent.batch == batch)?;
        Some(self.in_flight.remove(idx))
    }

    /// Holds the queue until a time.
    pub fn hold_until(&mut self, time: Timestamp) {
        self.not_before = time;
    }

    /// Drops the waiting records of an attempt; returns whether there were any.
    pub fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let n_before = self.waiting.len();
        self.waiting.retain(|record| record.attempt != attempt);
        self.waiting.len() < n_before
    }
}
