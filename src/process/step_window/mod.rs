//! Step windows: all ranks of a group run a window of steps on one expert map.
//!
//! A leader is identified by its fencing number, the log offset of its leadership record. It
//! grants a window on a map only after every rank has accepted both. See
//! `docs/design/expert-maps.md`.

mod group_leader;
mod leader_event;
mod load_schedule;
mod rank_event;
mod rank_follower;
mod rank_set;
mod rejoin;
mod step_message;
mod window_map;

pub use group_leader::{GroupLeader, LeaderSettings};
pub use leader_event::{LeaderAction, LeaderEvent};
pub use rank_event::{RankAction, RankEvent, TargetState};
pub use rank_follower::{RankFollower, RankSettings, TargetFencing};
pub use rank_set::RankSet;
pub use step_message::{RefuseReason, RejoinPromise, StepMessage, incarnations_digest};
pub use window_map::{WindowMap, WindowNumber};
