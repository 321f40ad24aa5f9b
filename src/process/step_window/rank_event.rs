//! The inputs and outputs of a rank's state machine.

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, MapId, RankId};

use super::step_message::StepMessage;
use super::window_map::{WindowMap, WindowNumber};

/// An input of a rank's state machine.
#[derive(Clone, Debug)]
pub enum RankEvent {
    /// The agent has started.
    Start,
    /// The target has reported its state.
    TargetRead(TargetState),
    /// The offset of the newest leadership record of the group in the log; 0 if there is none.
    LogRead(FencingNumber),
    /// A message has arrived.
    Message(StepMessage),
    /// The target has started a window.
    WindowStarted(WindowNumber),
    /// The target holds all experts of a map.
    MapLoaded(MapId),
    /// Loading a map failed. The leader sends the load again.
    LoadFailed(MapId),
    /// Time has passed.
    Tick,
}

/// The windows and maps of a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetState {
    /// The running window.
    pub running: Option<WindowMap>,
    /// The window that the target has accepted but not yet started.
    pub queued: Option<WindowMap>,
    /// The maps whose experts the target holds. An engine needs them to route tokens to experts.
    pub loaded: SmallVec<[Arc<ExpertMap>; 2]>,
}

/// An output of a rank's state machine.
#[derive(Clone, Debug)]
pub enum RankAction {
    /// Read the state of the target, once no order of an earlier agent can still reach it.
    ReadTarget,
    /// Tell a target that checks fencing numbers the lowest one that it may accept.
    FenceTarget(FencingNumber),
    /// Read the newest leadership record of the group.
    ReadLog,
    /// Reply to the message of this event.
    Reply(StepMessage),
    /// Send a message to the leader that the rank has promised to follow.
    SendLeader(StepMessage),
    /// Send a message to the agent of another rank.
    SendRank(RankId, StepMessage),
    /// Order the target to run a window after the running one.
    RunWindow(FencingNumber, WindowMap),
    /// Load the rank's experts of a map, at this rate in bytes per second.
    LoadMap(Arc<ExpertMap>, u64),
    /// Stop loading a map, if a load is running, and drop its experts that no other map needs.
    DropMap(MapId),
}
