//! The calls to the platform's store, as the product needs them.

use derive_more::Display;

use crate::mirror::MirrorDelta;
use crate::peers::StoreTopic;
use crate::prelude::*;

/// A call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// The records of a topic from an offset on; waits for the first one for a time.
    Read(StoreTopic, u64, Duration),
    /// The newest record of each key of a topic.
    Newest(StoreTopic),
    /// Writes the record of this process.
    Announce(String, Vec<u8>),
}

/// An answer of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// Records.
    Records(MirrorDelta),
    /// The records asked for have expired.
    Expired,
    /// Written.
    Written,
}

/// Why a call to the store brought nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreFault {
    /// No connection, or it broke.
    #[display("unreachable")]
    Unreachable,
    /// No answer in time.
    #[display("silent")]
    Silent,
    /// The store turned the call away with a status.
    #[display("status {_0}")]
    Refused(u16),
    /// The answer could not be read.
    #[display("malformed")]
    Malformed,
}
