//! A target's incarnation that is draining or gone.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A target's incarnation that is draining or gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DepartedTarget {
    /// The id of the target.
    pub id: Arc<str>,
    /// The start time of the incarnation, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

impl DepartedTarget {
    /// Returns the incarnation that a record describes.
    pub fn of(entry: &TargetEntry) -> Self {
        Self {
            id: entry.id.clone(),
            started_ms: entry.started_ms,
        }
    }
}
