//! The number of an expert map.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// The number of an expert map of a group; a later map has a higher number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    From,
    Into,
)]
#[serde(transparent)]
pub struct MapNumber(pub u64);

impl MapNumber {
    /// Returns the number that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
