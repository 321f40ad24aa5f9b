//! The limits of orders.

use crate::prelude::*;

use super::batch_delay::BatchDelay;
use super::key::OrderKey;
use super::reply::ReplyReason;

/// The window of a key's validity, by the log service's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderWindow {
    /// How long after a key's time its claim or void still counts.
    pub validity: Duration,
    /// How long before a key's time its claim or void already counts.
    pub skew: Duration,
    /// How far the time of a later record may lie before that of an earlier one.
    pub regression: Duration,
    /// How long the log service keeps records, at least; four times the validity or more.
    pub retention: Duration,
}

impl Default for OrderWindow {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(3_600),
            skew: Duration::from_secs(30),
            regression: Duration::from_secs(5),
            retention: Duration::from_secs(86_400),
        }
    }
}

/// The limits of orders in one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// The window of a key's validity.
    pub window: OrderWindow,
    /// The longest body of an answer that is kept, in bytes.
    pub answer_limit: usize,
    /// The most records of one append.
    pub max_batch: usize,
    /// The most appends in flight of one shard.
    pub max_in_flight: usize,
    /// How long a record waits for others before its append.
    pub batch_delay: BatchDelay,
    /// The most records of one read.
    pub max_read: usize,
    /// How long a read at the end of a stream may wait for records.
    pub read_wait: Duration,
    /// The delay before a failed read or append is tried again.
    pub log_retry_delay: Duration,
    /// The most orders that a process holds at a time.
    pub max_held: usize,
    /// The most appends of one claim or void.
    pub max_appends: u32,
    /// The number of reads of a shard that fail in a row before the log service counts as away.
    pub max_reads: u32,
    /// How long before the caller's deadline an agent replies, so that the reply still arrives.
    pub reply_margin: Duration,
    /// The most agents that one try is dispatched to.
    pub max_attempts: u32,
    /// How far back a process reads a shard before it takes orders of new keys.
    pub first_cover: Duration,
    /// How long a shard that isn't used is followed.
    pub follow_idle: Duration,
    /// When a refused caller should ask again.
    pub retry_after: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            window: OrderWindow::default(),
            answer_limit: 4_096,
            max_batch: 256,
            max_in_flight: 1,
            batch_delay: BatchDelay::Spaced(Duration::from_millis(60)),
            max_read: 1_024,
            read_wait: Duration::from_secs(5),
            log_retry_delay: Duration::from_millis(200),
            max_held: 2_048,
            max_appends: 2,
            max_reads: 2,
            reply_margin: Duration::from_millis(50),
            max_attempts: 2,
            first_cover: Duration::from_secs(30),
            follow_idle: Duration::from_secs(600),
            retry_after: Duration::from_secs(1),
        }
    }
}

impl OrderSettings {
    /// Returns why a key is refused by the local clock, which is allowed to be off by the skew.
    ///
    /// This spares an append; what counts is decided by the log service's time of the record.
    pub fn key_refusal(&self, now: Timestamp, key: &OrderKey) -> Option<ReplyReason> {
        let time = key.time();
        if now + self.window.skew < time {
            return Some(ReplyReason::KeyEarly);
        }
        if time + self.window.validity + self.window.skew < now {
            return Some(ReplyReason::KeyExpired);
        }
        None
    }
}
