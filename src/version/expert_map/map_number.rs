//! The number and identity of an expert map.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::version::numbers::ordered_number;

ordered_number!(
    /// The number of an expert map of a group; a later map has a higher number.
    MapNumber
);

/// The identity of an expert map; the digest tells apart maps with the same number.
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
