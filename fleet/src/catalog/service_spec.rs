//! One service of a configuration version.

use crate::prelude::*;

/// One service of a configuration version.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The most connections that each of its targets accepts from all callers together.
    pub max_connections: u32,
    /// The properties of its model engines; `None` for services without any.
    pub engine: Option<EngineSpec>,
}

/// The common properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The number of requests that an engine runs at once.
    pub slots: u32,
    /// The number of layer sets with experts of their own; 0 where the engines have no experts.
    pub sets: u16,
    /// The number of experts of a set.
    pub experts: u16,
    /// The number of experts of a set that fit on a rank.
    pub places: u16,
    /// The most experts of a set that a rank may load anew in one preparation.
    pub headroom: u16,
    /// The size of an expert, in megabytes.
    pub expert_mb: f64,
    /// The rate at which a rank copies experts, in megabits per second.
    pub link_mbps: f64,
    /// The time that a broken group takes to form again once its ranks are back.
    pub form_time: Duration,
    /// The duration of a pass that processes no tokens.
    pub base_pass: Duration,
    /// The strictest limit on the pause between events among the routes of the service.
    pub pause: Duration,
}
