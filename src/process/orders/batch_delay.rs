//! How long records wait for others before their append.

use crate::prelude::*;

/// How long records wait for others before their append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchDelay {
    /// The oldest record always waits as long.
    Fixed(Duration),
    /// Appends of a shard keep a distance: after a quiet time a record goes at once, under load
    /// it waits for the rest of the distance.
    Spaced(Duration),
}

impl BatchDelay {
    /// Returns when records may go of which the oldest came at `oldest`, after an append that was
    /// sent at `last_sent`.
    pub fn due(self, oldest: Timestamp, last_sent: Timestamp) -> Timestamp {
        match self {
            Self::Fixed(delay) => oldest + delay,
            Self::Spaced(spacing) => oldest.max(last_sent + spacing),
        }
    }
}
