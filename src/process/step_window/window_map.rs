//! A step window and the map that it runs on.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::version::expert_map::MapId;

/// The number of a step window of a group.
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
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Returns the number that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A step window and the map that it runs on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("window {window} on map {map}")]
pub struct WindowMap {
    /// The window.
    pub window: WindowNumber,
    /// The map.
    pub map: MapId,
}
