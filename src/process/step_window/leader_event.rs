//! The inputs and outputs of a leader's state machine.

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, MapId, RankId};

use super::rank_set::RankSet;
use super::step_message::{RefuseReason, StepMessage};
use super::window_map::WindowMap;

/// An input of a leader's state machine.
#[derive(Clone, Debug)]
pub enum LeaderEvent {
    /// The leadership record was read back from the log.
    Start,
    /// A message from a rank has arrived.
    Message(StepMessage),
    /// Load this map and switch to it.
    SwitchMap(Arc<ExpertMap>),
    /// The contents of a map, found on a rank, for the ranks that have lost it.
    MapFound(Arc<ExpertMap>),
    /// Stop loading the next map.
    StopLoad,
    /// The log holds a newer leadership record, with this fencing number.
    NewerLeader(FencingNumber),
    /// Time has passed.
    Tick,
}

/// An output of a leader's state machine.
#[derive(Clone, Debug)]
pub enum LeaderAction {
    /// Send a message to the agent of a rank.
    Send(RankId, StepMessage),
    /// Report that all ranks have answered, with the newest granted window.
    Leading(Option<WindowMap>),
    /// Report that a window was granted.
    Granted(WindowMap),
    /// Report that the first window on a new map was granted.
    Switched(WindowMap),
    /// Report that a map is loaded on all ranks.
    MapReady(MapId),
    /// Report that a map was refused: this leader is not leading, the map does not fit the group,
    /// its number is not above all known ones, or another map is being loaded.
    MapRefused(MapId),
    /// Find the contents of a map that a rank needs and the leader does not have.
    FindMap(MapId),
    /// Report a refusal by a rank.
    RankRefused(RankId, RefuseReason),
    /// Report the ranks whose overdue answers block the group.
    Waiting(RankSet),
    /// Stop leading: another leader has this fencing number or a higher one. If it is the leader's
    /// own number, the agent may lead again only under a new leadership record.
    StepDown(FencingNumber),
}
