//! What an agent has once a configuration version names its target.

use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::prelude::*;
use crate::process::settings::TargetKind;
use crate::version::config::{ConfigVersion, TargetConfig, TargetRole};

use super::order_driver::OrderInput;
use super::work_table::WorkTable;

/// The target of an agent and the work for it.
#[derive(Debug)]
pub(super) struct AgentServing {
    /// The target.
    pub(super) target: TargetName,
    /// The work. It is the first in the agent's lock order, before the suspects.
    pub(super) table: Mutex<WorkTable>,
    /// The machine of the orders.
    pub(super) orders: mpsc::UnboundedSender<OrderInput>,
}

/// Finds the target of `agent` in a version, where it is of the kind that the agent serves.
pub(super) fn own_target<'a>(
    version: &'a ConfigVersion,
    agent: &AgentName,
    kind: TargetKind,
) -> Option<(&'a TargetName, &'a TargetConfig)> {
    version.content.targets.iter().find(|(_, target)| {
        let is_kind = match target.serves {
            TargetRole::Model(_) => kind == TargetKind::Engine,
            TargetRole::Service(_) => kind == TargetKind::Service,
        };
        target.agent == *agent && is_kind
    })
}
