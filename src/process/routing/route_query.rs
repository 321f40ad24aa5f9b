//! What a request asks of routing.

use crate::prelude::*;
use crate::version::config::TargetRole;

use super::prefix_hash::PrefixHash;

/// What a request needs of its target.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// What the target must serve.
    pub role: &'a TargetRole,
    /// The hashes of the prompt's prefixes, the shortest first; empty for a service.
    pub prefixes: &'a [PrefixHash],
    /// The estimated cost, in tokens or calls.
    pub cost: u64,
    /// The targets that were tried already.
    pub tried: &'a [TargetName],
    /// When the answer is due.
    pub deadline: Timestamp,
}
