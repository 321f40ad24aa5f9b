//! A target, as read from its record.

use std::net::SocketAddr;

use crate::prelude::*;

/// A target, as read from its record.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// The id of the target's incarnation.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Arc<str>,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// Its start time by its own clock, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}
