//! Platform-independent calls to the platform's store and to targets.

use derive_more::Display;

use crate::expert::{MapOrder, RankReport};
use crate::mirror::{MirrorDelta, StoreEra};
use crate::peers::StoreTopic;
use crate::prelude::*;

/// A call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads the records of a topic from an offset on; waits at most this long for the first one.
    Read(StoreTopic, u64, Duration),
    /// Reads the newest record of each key of a topic.
    Newest(StoreTopic),
    /// Writes the record of a key of a topic; an empty value removes it.
    Write(StoreTopic, String, Vec<u8>),
    /// Removes the record of a key, if the topic still ends at an offset.
    Remove(StoreTopic, String, u64),
}

impl StoreRequest {
    /// Returns the topic that the call reads or writes.
    pub fn topic(&self) -> StoreTopic {
        match self {
            Self::Read(topic, ..)
            | Self::Newest(topic)
            | Self::Write(topic, ..)
            | Self::Remove(topic, ..) => *topic,
        }
    }
}

/// What came of a call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreAnswer {
    /// The era that the store stated, also with an error; `None` if it did not answer.
    pub era: Option<StoreEra>,
    /// The reply.
    pub result: Result<StoreReply, CallError>,
}

/// A reply of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The records read.
    Records(MirrorDelta),
    /// The records at the requested offset have expired.
    Expired,
    /// The record was written.
    Written,
}

/// A call to a target's control interface.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetRequest {
    /// Reads the rank's report.
    Report,
    /// Reads how often the rank's requests have chosen each expert.
    Counts,
    /// Reads the experts that the rank holds and has copied.
    Listings,
    /// Orders a change of the rank's map.
    Order(MapOrder),
}

/// A reply of a target's control interface.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetReply {
    /// The rank's report; `None` if the target is not a rank of a group.
    Report(Option<RankReport>),
    /// How often the rank's requests have chosen each expert, set by set.
    Counts(Vec<u32>),
    /// The experts that the rank holds, and the copied version with its experts, by set.
    Listings(Vec<Vec<u16>>, Option<(u64, Vec<Vec<u16>>)>),
    /// The HTTP status of the reply to an order.
    Ordered(u16),
}

/// Why a call to the platform's store or a target failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// The connection failed.
    #[display("unreachable")]
    Unreachable,
    /// The call timed out.
    #[display("silent")]
    Silent,
    /// The call was rejected with an HTTP status.
    #[display("status {_0}")]
    Refused(u16),
    /// The reply is longer than a limit, in bytes.
    #[display("longer than {_0} bytes")]
    TooLong(usize),
    /// The reply could not be decoded.
    #[display("malformed")]
    Malformed,
}
