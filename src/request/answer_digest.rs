//! The running digest of an answer, and the points from which it can be resumed.

use std::str::FromStr;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::error::{Error, Result};

/// The chained XXH3 digest of an answer's payloads in order.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
#[display("{_0:016x}")]
pub struct AnswerDigest(u64);

impl AnswerDigest {
    /// Returns the digest extended by one payload.
    pub fn extend(self, payload: &str) -> Self {
        Self(xxh3_64_with_seed(payload.as_bytes(), self.0 ^ u64::MAX))
    }
}

impl From<AnswerDigest> for String {
    fn from(digest: AnswerDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for AnswerDigest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl FromStr for AnswerDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| Error::Invalid(format!("answer digest: not 16 hex digits: {text}")))
    }
}

/// A position in an answer up to which all events were received, written as `INDEX-DIGEST`.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema,
)]
#[display("{index}-{digest}")]
pub struct ResumePoint {
    /// The index of the next event; 0 is the start.
    pub index: u64,
    /// The digest of all payloads before it.
    pub digest: AnswerDigest,
}

impl ResumePoint {
    /// Returns the point after one further payload.
    pub fn extend(self, payload: &str) -> Self {
        Self {
            index: self.index + 1,
            digest: self.digest.extend(payload),
        }
    }
}

impl FromStr for ResumePoint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::Invalid(format!("resume point: not INDEX-DIGEST: {text}"));
        let (index, digest) = text.split_once('-').ok_or_else(invalid)?;
        Ok(Self {
            index: index.parse().map_err(|_| invalid())?,
            digest: digest.parse()?,
        })
    }
}
