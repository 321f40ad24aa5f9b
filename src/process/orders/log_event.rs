//! The requests of the order state machines to the log service, and their results.

use derive_more::Display;
use serde_json::Value;

use crate::prelude::*;

use super::record::OrderRecord;
use super::shard::OrderShard;

/// The id of one append, unique in its process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// The id of one read, unique in its process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// A request of an order state machine to the log service.
#[derive(Clone, Debug, PartialEq)]
pub enum LogAction {
    /// Append records to a shard's stream in one call.
    Append {
        /// The id under which the result is reported.
        batch: BatchId,
        /// The shard.
        shard: OrderShard,
        /// The records, in append order.
        records: Vec<OrderRecord>,
    },
    /// Read a shard's stream.
    Read {
        /// The id under which the result is reported.
        read: ReadId,
        /// The shard.
        shard: OrderShard,
        /// The offset of the first record to read.
        from: LogOffset,
        /// Maximum number of records to return.
        max: usize,
        /// How long to wait for a record if there is none yet; zero returns immediately.
        wait: Duration,
    },
}

/// The result of a request to the log service.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// An append succeeded.
    Appended {
        /// The id of the append.
        batch: BatchId,
        /// The offset of its first record.
        first: LogOffset,
    },
    /// An append failed.
    AppendFailed {
        /// The id of the append.
        batch: BatchId,
        /// Whether its records may have been written.
        fault: AppendFault,
    },
    /// A read succeeded.
    ReadDone {
        /// The id of the read.
        read: ReadId,
        /// The records and the bounds of the stream.
        page: LogPage,
    },
    /// A read failed.
    ReadFailed {
        /// The id of the read.
        read: ReadId,
    },
}

/// Whether the records of a failed append may have been written.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AppendFault {
    /// The log service refused it: nothing was written.
    #[display("refused")]
    Refused,
    /// The log service could not be reached: nothing was written.
    #[display("unreachable")]
    Unreachable,
    /// The answer was lost: the records may have been written, or may be written later.
    #[display("unknown")]
    Unknown,
}

/// A range of records of a stream, with the stream's bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct LogPage {
    /// The records in ascending order of their offsets.
    pub records: Vec<LogEntry>,
    /// The offset of the oldest retained record, or `tail` if there is none.
    pub oldest: LogOffset,
    /// The offset of the next record to be appended; 1 for a new stream.
    pub tail: LogOffset,
}

/// A record as stored by the log service.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// The offset.
    pub offset: LogOffset,
    /// The time of the append by the log service's clock.
    pub at: Timestamp,
    /// The record as JSON.
    pub value: Value,
}
