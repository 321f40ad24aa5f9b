//! The answer of an entry to a pull of another.

use serde::{Deserialize, Serialize};

use crate::mirror::{MirrorDelta, StorePosition};
use crate::roster::DepartedTarget;

/// An entry's records of a topic, and the departures that they do not show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCopy {
    /// The records.
    pub delta: MirrorDelta,
    /// The position after the last record that changed the sender's copy.
    pub changed_end: StorePosition,
    /// The incarnations of targets that the sender knows to be draining or gone.
    pub departed: Vec<DepartedTarget>,
}
