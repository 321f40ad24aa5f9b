//! The settings of the order state machines.

use crate::prelude::*;

use super::batch_delay::BatchDelay;
use super::key::OrderKey;
use super::reply::ReplyReason;

/// The window in which records of a key are valid, by the log service's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderWindow {
    /// How long after a key's time its claim or void is still valid.
    pub validity: Duration,
    /// How long before a key's time its claim or void is already valid.
    pub skew: Duration,
    /// How far the timestamp of a record may lie before that of an earlier record in the stream.
    pub regression: Duration,
    /// Minimum time for which the log service retains records; at least four times the validity.
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

/// The settings of orders in one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// The window in which records of a key are valid.
    pub window: OrderWindow,
    /// Maximum size of a stored answer body, in bytes.
    pub answer_limit: usize,
    /// Maximum number of records in one append.
    pub max_batch: usize,
    /// Maximum number of appends in flight per shard.
    pub max_in_flight: usize,
    /// How long records are delayed to form a batch.
    pub batch_delay: BatchDelay,
    /// Maximum number of records in one read.
    pub max_read: usize,
    /// Maximum time for which a read at the end of a stream waits for records.
    pub read_wait: Duration,
    /// The delay before the next append after a failed one, and before the next read of a shard
    /// that has reached `max_failed_reads`.
    pub log_retry_delay: Duration,
    /// Maximum number of orders that a process holds at a time.
    pub max_held: usize,
    /// Maximum number of appends of one claim or void, including the first.
    pub max_appends: u32,
    /// The number of consecutive failed reads of a shard after which the log service counts as
    /// unreachable.
    pub max_failed_reads: u32,
    /// The time by which an agent's deadline precedes the caller's, so that the reply arrives in
    /// time.
    pub reply_margin: Duration,
    /// Maximum number of agents to which one try is dispatched.
    pub max_attempts: u32,
    /// How far back, at least, a process reads a shard before it takes orders of new keys.
    pub initial_coverage: Duration,
    /// How long a shard is followed after its last use.
    pub follow_idle_timeout: Duration,
    /// The delay after which a caller without a final outcome should ask again.
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
            max_failed_reads: 2,
            reply_margin: Duration::from_millis(50),
            max_attempts: 2,
            initial_coverage: Duration::from_secs(30),
            follow_idle_timeout: Duration::from_secs(600),
            retry_after: Duration::from_secs(1),
        }
    }
}

impl OrderSettings {
    /// Returns why a key is refused by the local clock, which may be off by the skew.
    ///
    /// The check only saves an append; the log service's timestamp decides whether a record is
    /// valid.
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
