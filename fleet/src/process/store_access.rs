//! The calls to the platform's store and to targets, as the product needs them.

use derive_more::Display;

use crate::expert::{MapOrder, RankReport};
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

/// A call to a target's control interface.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetRequest {
    /// The state of the rank.
    Report,
    /// How often the rank's requests chose each expert.
    Counts,
    /// The experts that the rank holds and has copied.
    Listings,
    /// An order.
    Order(MapOrder),
}

/// An answer of a target's control interface.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetReply {
    /// The state of the rank; `None` where the target is no rank of a group.
    Report(Option<RankReport>),
    /// How often the rank's requests chose each expert, set by set.
    Counts(Vec<u32>),
    /// The experts that the rank holds, and the copied version with its experts, by set.
    Listings(Vec<Vec<u16>>, Option<(u64, Vec<Vec<u16>>)>),
    /// The status of an order.
    Ordered(u16),
}

/// Why a call to the platform brought nothing.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// No connection, or it broke.
    #[display("unreachable")]
    Unreachable,
    /// No answer in time.
    #[display("silent")]
    Silent,
    /// The call was turned away with a status.
    #[display("status {_0}")]
    Refused(u16),
    /// The answer could not be read.
    #[display("malformed")]
    Malformed,
}
