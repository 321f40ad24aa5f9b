//! The answer of an entry to a pull of another.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::mirror::{MirrorDelta, StorePosition};
use crate::roster::{DepartedTarget, MAX_DEPARTED};

/// An entry's records of a topic, and the departures that they do not show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCopy {
    /// The records.
    pub delta: MirrorDelta,
    /// The position after the last record that changed the sender's copy.
    pub changed_end: StorePosition,
    /// The incarnations of targets that the sender knows to be draining or gone.
    #[serde(deserialize_with = "limited_departures")]
    pub departed: Vec<DepartedTarget>,
}

fn limited_departures<'de, D>(deserializer: D) -> Result<Vec<DepartedTarget>, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_seq(LimitedDepartures)
}

struct LimitedDepartures;

impl<'de> Visitor<'de> for LimitedDepartures {
    type Value = Vec<DepartedTarget>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("departed targets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        let mut departed = Vec::new();
        while let Some(target) = items.next_element()? {
            if MAX_DEPARTED <= departed.len() {
                return Err(A::Error::custom("too many departed targets"));
            }
            departed.push(target);
        }
        Ok(departed)
    }
}
