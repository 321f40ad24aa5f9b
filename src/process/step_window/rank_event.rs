//! What a rank's machine reacts to, and what it asks for.

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, MapId, RankId};

use super::step_message::StepMessage;
use super::window_map::{WindowMap, WindowNumber};

/// What a rank's machine reacts to.
#[derive(Clone, Debug)]
pub enum RankEvent {
    /// The agent has started.
    Start,
    /// The target has answered what it runs.
    TargetRead(TargetState),
    /// The newest `Lead` record of the group in the log; 0 where there is none.
    LogRead(FencingNumber),
    /// A message has arrived.
    Message(StepMessage),
    /// The target has started a window.
    WindowStarted(WindowNumber),
    /// The target holds all experts of a map.
    MapLoaded(MapId),
    /// The weight store failed; the leader sends the load again.
    LoadFailed(MapId),
    /// Time has passed.
    Tick,
}

/// What a target runs and holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetState {
    /// The window that runs.
    pub running: Option<WindowMap>,
    /// The window that the target has taken and not yet started.
    pub queued: Option<WindowMap>,
    /// The maps whose experts the target holds; an engine needs them to send tokens to experts.
    pub loaded: SmallVec<[Arc<ExpertMap>; 2]>,
}

/// What a rank's machine asks for.
#[derive(Clone, Debug)]
pub enum RankAction {
    /// Ask the target what it runs, once no order of an earlier agent can still reach it.
    ReadTarget,
    /// Tell a target that checks fencing numbers the lowest that it may accept.
    FenceTarget(FencingNumber),
    /// Read the newest `Lead` record of the group.
    ReadLog,
    /// Answer the message of this event.
    Reply(StepMessage),
    /// Send to the leader that the rank has promised to follow.
    SendLeader(StepMessage),
    /// Send to the agent of another rank.
    SendRank(RankId, StepMessage),
    /// Order the target to run a window after the one that it runs.
    RunWindow(FencingNumber, WindowMap),
    /// Load the rank's experts of a map, at so many bytes a second.
    LoadMap(Arc<ExpertMap>, u64),
    /// Stop the load of a map, if any, and drop its experts that no other map needs.
    DropMap(MapId),
}
