//! The era of the store, and positions within it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The number of times that the store has come back from an older copy of itself; offsets of
/// different eras are not comparable. 0 for a store that never has.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

/// A position in a topic: first by era, then by offset.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{era}:{offset}")]
pub struct StorePosition {
    /// The era of the offset.
    pub era: StoreEra,
    /// The offset in the topic.
    pub offset: u64,
}
