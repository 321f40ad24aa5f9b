//! What passes between an order machine and the log service.

use derive_more::Display;
use serde_json::Value;

use crate::prelude::*;

use super::record::OrderRecord;
use super::shard::OrderShard;

/// The number of one append of a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// The number of one read of a process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// What an order machine asks of the log service.
#[derive(Clone, Debug, PartialEq)]
pub enum LogAction {
    /// Append records to a shard's stream in one call.
    Append {
        /// The number to report the result under.
        batch: BatchId,
        /// The shard.
        shard: OrderShard,
        /// The records, in order.
        records: Vec<OrderRecord>,
    },
    /// Read a shard's stream.
    Read {
        /// The number to report the result under.
        read: ReadId,
        /// The shard.
        shard: OrderShard,
        /// The first offset.
        from: LogOffset,
        /// The most records.
        max: usize,
        /// How long to wait for a record where there is none; zero for not at all.
        wait: Duration,
    },
}

/// What the log service answered.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// An append was answered.
    Appended {
        /// The append.
        batch: BatchId,
        /// The offset of its first record.
        first: LogOffset,
    },
    /// An append failed.
    AppendFailed {
        /// The append.
        batch: BatchId,
        /// What is known of it.
        fault: AppendFault,
    },
    /// A read was answered.
    ReadDone {
        /// The read.
        read: ReadId,
        /// What it found.
        page: LogPage,
    },
    /// A read failed.
    ReadFailed {
        /// The read.
        read: ReadId,
    },
}

/// What is known of an append that failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AppendFault {
    /// The log service refused it: nothing was written.
    #[display("refused")]
    Refused,
    /// The log service could not be reached: nothing was written.
    #[display("unreachable")]
    Unreachable,
    /// The answer was lost: it may have been written, or may still be.
    #[display("unknown")]
    Unknown,
}

/// Records of a stream, with the stream's bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct LogPage {
    /// The records, by rising offset.
    pub records: Vec<LogEntry>,
    /// The offset of the oldest record that is kept, or `tail` where there is none.
    pub oldest: LogOffset,
    /// The offset that the next appended record will get; 1 for a new stream.
    pub tail: LogOffset,
}

/// A record as the log service holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// The offset.
    pub offset: LogOffset,
    /// The log service's time of the append.
    pub at: Timestamp,
    /// The record.
    pub value: Value,
}
