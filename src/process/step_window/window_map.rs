//! A step window and the map that it runs on.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::version::expert_map::MapId;
use crate::version::numbers::ordered_number;

ordered_number!(
    /// The number of a step window of a group.
    WindowNumber
);

/// A step window and the map that it runs on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("window {window} on map {map}")]
pub struct WindowMap {
    /// The window.
    pub window: WindowNumber,
    /// The map.
    pub map: MapId,
}
