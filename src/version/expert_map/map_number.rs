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

/// An expert map by its number and its content, so that two maps of one number are told apart.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{number}/{digest:016x}")]
pub struct MapId {
    /// The number of the map.
    pub number: MapNumber,
    /// A hash of the placement.
    pub digest: u64,
}
