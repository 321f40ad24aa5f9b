//! Identifiers of requests and crashes, and reports of crash suspects.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::prelude::*;

/// The digest of a request's account and body, which identifies a request that is sent again.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(transparent)]
pub struct RequestDigest(String);

impl RequestDigest {
    /// Computes the digest of a request body sent by a client account.
    pub fn new(account: &AccountName, body: &[u8]) -> Self {
        let mut bytes = account.as_str().as_bytes().to_vec();
        bytes.push(0);
        bytes.extend_from_slice(body);
        Self(format!("{:032x}", xxh3_128(&bytes)))
    }
}

/// One crash of a target.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[display("{target}@{incarnation}")]
pub struct TargetCrash {
    /// The target.
    pub target: TargetName,
    /// The incarnation that ended, so that a crash counts once however often it is reported.
    pub incarnation: ProcessIncarnation,
}

/// The crashes held against one request, as reported within the data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct SuspectReport {
    /// The request.
    pub digest: RequestDigest,
    /// The crashes with other requests in flight.
    pub shared: Vec<TargetCrash>,
    /// The crashes with only this request in flight.
    pub alone: Vec<TargetCrash>,
    /// The time until the suspicion expires, in milliseconds.
    pub remaining_ms: u64,
}
