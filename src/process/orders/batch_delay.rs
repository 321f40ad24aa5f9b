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

    /// Returns when a batch may be sent that holds a record whose acknowledgement a caller waits
    /// for. Spaced appends may go up to one interval ahead of their average rate for it.
    pub fn awaited_due(self, oldest: Timestamp, paced_until: Timestamp) -> Timestamp {
        match self {
            Self::Fixed(delay) => oldest + delay,
            Self::Spaced(interval) => oldest.max(paced_until - interval),
        }
    }

    /// Returns until when all appends use up the average rate, given that this was `paced_until`
    /// before an append at `now`.
    pub fn pace(self, paced_until: Timestamp, now: Timestamp) -> Timestamp {
        match self {
            Self::Fixed(_) => now,
            Self::Spaced(interval) => {
                let paced = paced_until.max(now) + interval;
                paced.min(now + interval * 2)
            }
        }
    }
}
