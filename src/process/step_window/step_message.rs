//! The messages between the leader and the ranks of a group.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::version::expert_map::{ExpertMap, MapId, MapNumber, RankId};

use super::window_map::{WindowMap, WindowNumber};

/// A message between the leader and the ranks of a group, or between two ranks.
///
/// Any message may be lost, duplicated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepMessage {
    /// Leader to rank: promise to follow this leader, and report what was granted.
    Ask {
        /// The leader's fencing number.
        fencing: FencingNumber,
    },
    /// Rank to leader: the rank promises to follow the leader, and reports its state.
    Answer {
        /// The fencing number of the leader that the rank promises to follow.
        fencing: FencingNumber,
        /// The rank.
        rank: RankId,
        /// The incarnation of the rank's agent.
        incarnation: ProcessIncarnation,
        /// The newest window that was granted to the rank.
        granted: Option<WindowMap>,
        /// The newest window that the rank's target has started.
        running: Option<WindowNumber>,
        /// The maps that the rank has loaded.
        loaded: SmallVec<[MapId; 2]>,
        /// The highest map number that the rank has seen, whether or not the map was loaded.
        highest_map: MapNumber,
    },
    /// Leader to rank: accept a window on a map.
    Prepare {
        /// The leader's fencing number.
        fencing: FencingNumber,
        /// The window and its map.
        window: WindowMap,
    },
    /// Rank to leader: the window and its map are accepted.
    Prepared {
        /// The leader's fencing number.
        fencing: FencingNumber,
        /// The rank.
        rank: RankId,
        /// The incarnation of the rank's agent.
        incarnation: ProcessIncarnation,
        /// The window.
        window: WindowNumber,
    },
    /// Leader to rank: all ranks have accepted; run the window.
    Grant {
        /// The leader's fencing number.
        fencing: FencingNumber,
        /// The window and its map.
        window: WindowMap,
        /// The digest of the incarnations of all ranks, see [`incarnations_digest`].
        incarnations: u64,
    },
    /// Rank to leader: a grant was received, or a window has started.
    Progress {
        /// The leader's fencing number.
        fencing: FencingNumber,
        /// The rank.
        rank: RankId,
        /// The newest window that was granted to the rank.
        granted: WindowMap,
        /// The newest window that the rank's target has started.
        running: Option<WindowNumber>,
    },
    /// Leader to rank: load the experts that the rank holds in a map.
    Load {
        /// The leader's fencing number.
        fencing: FencingNumber,
        /// The map.
        map: Arc<ExpertMap>,
        /// The rate at which to read from the weight store, in bytes per second.
        bytes_per_second: u64,
    },
    /// Rank to leader: the map is loaded.
    Loaded {
        /// The leader's fencing number.
        fencing: FencingNumber,
        /// The rank.
        rank: RankId,
        /// The map.
        map: MapId,
    },
    /// Leader to rank: stop loading a map and drop what was loaded.
    Abandon {
        /// The leader's fencing number.
        fencing: FencingNumber,
        /// The map.
        map: MapId,
    },
    /// Rank to leader: the message was refused.
    Refused {
        /// The fencing number of the refused message.
        fencing: FencingNumber,
        /// The rank.
        rank: RankId,
        /// The reason for the refusal.
        reason: RefuseReason,
    },
    /// Rank to rank: the sender's agent has restarted.
    Rejoin {
        /// The rank that rejoins.
        rank: RankId,
        /// The incarnation of its agent.
        incarnation: ProcessIncarnation,
    },
    /// Rank to rank: the new incarnation was recorded.
    RejoinAnswer {
        /// The rank that answers.
        rank: RankId,
        /// The incarnation of its agent.
        incarnation: ProcessIncarnation,
        /// The incarnation of the asking rank that the answering rank knows.
        asker: ProcessIncarnation,
        /// The promise of the answering rank.
        promise: RejoinPromise,
    },
}

/// The promise that a rank reports to a rejoining rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RejoinPromise {
    /// The lowest fencing number that the rank accepts.
    Floor(FencingNumber),
    /// The rank is rejoining itself and does not know its own promise.
    Rejoining,
}

/// The reason why a rank refused a message.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseReason {
    /// The message has a lower fencing number than this one, the lowest that the rank accepts.
    #[display("fencing number below {_0}")]
    Fenced(FencingNumber),
    /// The rank's agent has restarted and does not know its earlier promises yet.
    #[display("rejoining")]
    Rejoining,
    /// The rank has not promised to follow this leader.
    #[display("not asked")]
    NotAsked,
    /// The map is not loaded.
    #[display("map not loaded")]
    MapMissing,
    /// The window does not follow the newest granted one, or has another map than was accepted.
    #[display("window does not fit")]
    WindowMismatch,
    /// The grant is for other incarnations of the ranks' agents than the rank knows.
    #[display("other incarnations")]
    OtherIncarnations,
}

/// Returns the digest of the incarnations of all ranks, in rank order.
pub fn incarnations_digest(incarnations: &[ProcessIncarnation]) -> u64 {
    let bytes: Vec<u8> = incarnations
        .iter()
        .flat_map(|incarnation| incarnation.0.to_le_bytes())
        .collect();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
