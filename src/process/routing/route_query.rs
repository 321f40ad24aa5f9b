//! The requirements of a request on its target.

use crate::prelude::*;
use crate::version::config::TargetRole;

use super::prefix_hash::PrefixHash;

/// A request for which a target is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The model or service that the target must serve.
    pub role: &'a TargetRole,
    /// The hashes of the prompt's prefixes, the shortest first; empty for a service call.
    pub prefixes: &'a [PrefixHash],
    /// The estimated cost, in tokens or calls.
    pub cost: u64,
    /// The targets that were already tried.
    pub tried: &'a [TargetName],
    /// When the answer is due.
    pub deadline: Timestamp,
}
