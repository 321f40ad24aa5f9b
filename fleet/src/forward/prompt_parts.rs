//! The parts of a request's prompt that other requests share.

use std::fmt;

use crate::prelude::*;

/// The most parts that are read; those after them are passed on unread.
const MAX_PARTS: usize = 32;

/// The longest id of a part, in bytes; a longer one is not read.
const MAX_ID_LEN: usize = 64;

/// The ids of a prompt's shared parts, in order. The last part is the request's own, and left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts(SmallVec<[Arc<str>; 2]>);

impl PromptParts {
    /// Parses entries `ID:TOKENS` that are separated by commas; skips malformed ones.
    pub fn parse(text: &str) -> Self {
        let Some((shared, _own)) = text.rsplit_once(',') else {
            return Self::default();
        };
        let mut parts = Self::default();
        for entry in shared.split(',').take(MAX_PARTS) {
            let id = entry.split_once(':').map_or("", |(id, _)| id.trim());
            let is_valid = (1..=MAX_ID_LEN).contains(&id.len());
            if is_valid && !parts.ids().any(|known| known == id) {
                parts.0.push(id.into());
            }
        }
        parts
    }

    /// Returns the ids of the parts.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|id| &**id)
    }
}

impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join(","))
    }
}
