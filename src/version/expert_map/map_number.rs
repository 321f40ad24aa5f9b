//! The number of an expert map.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::version::numbers::ordered_number;

ordered_number!(
    /// The number of an expert map of a group; a later map has a higher number.
    MapNumber
);

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
