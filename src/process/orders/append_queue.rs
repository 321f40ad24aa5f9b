//! The records of one shard that wait for their append.

use std::collections::VecDeque;

use crate::prelude::*;

use super::log_event::BatchId;
use super::record::{AttemptId, OrderRecord};

/// The records of one shard that wait for their append, with at most one append in flight.
///
/// While an append is in flight the next batch fills, so the number of appends is bounded by the
/// log service's answer time whatever the rate of orders is.
#[derive(Clone, Debug, Default)]
pub struct AppendQueue {
    waiting: VecDeque<OrderRecord>,
    oldest: Option<Timestamp>,
    not_before: Timestamp,
    in_flight: Option<SentBatch>,
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
    /// Adds a record.
    pub fn push(&mut self, now: Timestamp, record: OrderRecord) {
        self.oldest.get_or_insert(now);
        self.waiting.push_back(record);
    }

    /// Returns whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Returns when the next batch may go, where one waits and none is in flight.
    pub fn due(&self, delay: Duration, max_batch: usize) -> Option<Timestamp> {
        if self.in_flight.is_some() {
            return None;
        }
        let oldest = self.oldest?;
        let due = if max_batch <= self.waiting.len() {
            oldest
        } else {
            oldest + delay
        };
        Some(due.max(self.not_before))
    }

    /// Takes the next batch and notes it as in flight.
    pub fn send(&mut self, now: Timestamp, batch: BatchId, max_batch: usize) -> Vec<OrderRecord> {
        assert!(self.in_flight.is_none(), "one append in flight a shard");
        let n_taken = max_batch.min(self.waiting.len());
        let records: Vec<_> = self.waiting.drain(..n_taken).collect();
        self.oldest = (!self.waiting.is_empty()).then_some(now);
        self.in_flight = Some(SentBatch {
            batch,
            records: records.clone(),
            sent: now,
        });
        records
    }

    /// Ends the append in flight and returns it.
    pub fn finish(&mut self, batch: BatchId) -> Option<SentBatch> {
        self.in_flight.take_if(|sent| sent.batch == batch)
    }

    /// Holds the queue until a time.
    pub fn hold_until(&mut self, time: Timestamp) {
        self.not_before = time;
    }

    /// Drops the waiting records of an attempt; returns whether there were any.
    pub fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let n_before = self.waiting.len();
        self.waiting.retain(|record| record.attempt != attempt);
        if self.waiting.is_empty() {
            self.oldest = None;
        }
        self.waiting.len() < n_before
    }
}
