//! One target, as its record tells.

use std::net::SocketAddr;

use crate::prelude::*;

/// One target, as its record tells.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// The id of the target's incarnation.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that it serves.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Arc<str>,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// The time of its start by its own clock, in Unix milliseconds; 0 where unknown.
    pub started_ms: u64,
}
