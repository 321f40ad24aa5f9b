//! What a leader's machine reacts to, and what it asks for.

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, MapId, RankId};

use super::rank_set::RankSet;
use super::step_message::{RefuseReason, StepMessage};
use super::window_map::WindowMap;

/// What a leader's machine reacts to.
#[derive(Clone, Debug)]
pub enum LeaderEvent {
    /// The `Lead` record was read back from the log.
    Start,
    /// A message of a rank has arrived.
    Message(StepMessage),
    /// Load this map and switch to it.
    SwitchMap(Arc<ExpertMap>),
    /// The content of a map that ranks have, for ranks that have lost it.
    MapFound(Arc<ExpertMap>),
    /// Stop the load of the next map.
    StopLoad,
    /// The log holds a later `Lead` record.
    NewerLeader(FencingNumber),
    /// Time has passed.
    Tick,
}

/// What a leader's machine asks for.
#[derive(Clone, Debug)]
pub enum LeaderAction {
    /// Send to the agent of a rank.
    Send(RankId, StepMessage),
    /// Report that all ranks have answered and which window is the newest.
    Leading(Option<WindowMap>),
    /// Report that a window was granted.
    Granted(WindowMap),
    /// Report that the first window on a new map was granted.
    Switched(WindowMap),
    /// Report that a map is loaded on all ranks.
    MapReady(MapId),
    /// Report that a map is not taken, since its number is not above all known ones or another
    /// one is being loaded.
    MapRefused(MapId),
    /// Find the content of a map that a rank needs and the leader does not have.
    FindMap(MapId),
    /// Report a refusal by a rank.
    RankRefused(RankId, RefuseReason),
    /// Report the ranks that have not answered for a while; the group waits for them.
    Waiting(RankSet),
    /// Stop: another leader has this fencing number, or a later one. With the leader's own
    /// number, it may go on only under a new `Lead` record.
    StepDown(FencingNumber),
}
