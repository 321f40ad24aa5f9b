//! The delay by which records are collected into a batch.

use crate::prelude::*;

/// How long records are delayed before their append, so that several share one append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchDelay {
    /// Sends a batch a fixed time after its oldest record was queued.
    Fixed(Duration),
    /// Keeps a minimum interval between the appends of a shard: after an idle period a record is
    /// sent at once, under load it waits for the rest of the interval.
    Spaced(Duration),
}

impl BatchDelay {
    /// Returns when a batch may be sent whose oldest record was queued at `oldest`, given that the
    /// previous append was sent at `last_sent`.
    pub fn due(self, oldest: Timestamp, last_sent: Timestamp) -> Timestamp {
        match self {
            Self::Fixed(delay) => oldest + delay,
            Self::Spaced(interval) => oldest.max(last_sent + interval),
        }
    }
}
