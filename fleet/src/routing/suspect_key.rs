//! What may have ended targets: a request as a whole, or a part of prompts.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::request::CallDigest;

/// What may have ended targets.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum SuspectKey {
    /// A request, whenever it is sent again.
    #[display("request {_0}")]
    Request(CallDigest),
    /// A part of prompts, in any request to its service.
    #[display("part {_0}")]
    Part(CallDigest),
}

impl SuspectKey {
    /// Returns whether this is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

/// All that is suspect of a request if a target ends while it runs the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectKeys {
    /// The request.
    pub request: CallDigest,
    /// The parts of its prompt that other requests share.
    pub parts: SmallVec<[CallDigest; 2]>,
}

impl SuspectKeys {
    /// Returns the request and its parts.
    pub fn iter(&self) -> impl Iterator<Item = SuspectKey> {
        let parts = self.parts.iter().map(|part| SuspectKey::Part(*part));
        std::iter::once(SuspectKey::Request(self.request)).chain(parts)
    }

    /// Returns whether a key is the request's or one of its parts'.
    pub fn contains(&self, key: SuspectKey) -> bool {
        self.iter().any(|own| own == key)
    }
}
