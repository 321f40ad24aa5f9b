//! The state of an agent that serves a target.

use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::prelude::*;
use crate::process::settings::TargetKind;
use crate::version::config::{ConfigVersion, TargetConfig, TargetRole};

use super::order_driver::OrderInput;
use super::work_table::WorkTable;

/// The target of an agent and its work, present once a configuration version names the target.
#[derive(Debug)]
pub(super) struct ServingState {
    /// The target.
    pub(super) target: TargetName,
    /// The work. Its lock comes first in the agent's lock order, before that of the suspects.
    pub(super) table: Mutex<WorkTable>,
    /// The inputs of the order driver.
    pub(super) orders: mpsc::UnboundedSender<OrderInput>,
}

/// Finds the target of `agent` in a configuration version, if it has the given kind.
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
