//! One service of a configuration version.

use crate::prelude::*;

/// One service of a configuration version.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The connections that each of its targets accepts from all callers together.
    pub max_connections: u32,
    /// What is known of its model engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// What a service's model engines have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The requests that an engine runs at once.
    pub slots: u32,
    /// The sets of layers that have experts of their own; 0 where the engines have none.
    pub sets: u16,
    /// The experts of a set.
    pub experts: u16,
    /// The experts of a set that a rank has room for.
    pub places: u16,
    /// The experts of a set that may be new to a rank in one preparation.
    pub headroom: u16,
    /// The size of an expert, in megabytes.
    pub expert_mb: f64,
    /// The rate at which a rank copies experts, in megabits a second.
    pub link_mbps: f64,
    /// The time in which a broken group forms again once its ranks are back.
    pub form_time: Duration,
    /// The time of a pass without any work for tokens.
    pub base_pass: Duration,
    /// The shortest pause between events that a route of the service allows.
    pub pause: Duration,
}
