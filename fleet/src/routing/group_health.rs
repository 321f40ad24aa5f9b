//! Whether a group of ranks serves at all.

use crate::prelude::*;

/// The time without an event of any stream after which a group with streams in progress counts as
/// stalled: some times the longest pass that is still of use.
const STALL_TIME: Duration = Duration::from_millis(500);

/// The time in which two targets' refusals count together.
const REFUSAL_TIME: Duration = Duration::from_millis(1_500);

/// The time between two requests that find out whether a broken group serves again.
const PROBE_PERIOD: Duration = Duration::from_millis(400);

/// The time after which the callers of a broken group come back: a stall until the ranks give up,
/// and the formation of the group, with the time in which a lost rank comes back.
pub const GROUP_RECOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Whether a group of ranks serves at all: all ranks stall and refuse together once one is lost.
#[derive(Debug, Default)]
pub struct GroupHealth {
    progress_at: Option<Instant>,
    refusals: SmallVec<[(Arc<str>, Instant); 2]>,
    probed_at: Option<Instant>,
}

/// Whether a request may go to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupState {
    /// The group serves, as far as is known.
    Open,
    /// The group does not serve; this request may find out whether it does again.
    Probe,
    /// The group does not serve; the time after which it may.
    Broken(Duration),
}

impl GroupHealth {
    /// Takes in that a stream showed an event.
    pub fn record_progress(&mut self, now: Instant) {
        self.progress_at = Some(now);
        self.refusals.clear();
        self.probed_at = None;
    }

    /// Takes in that a target stated not to have run a request.
    pub fn record_refusal(&mut self, target: &Arc<str>, now: Instant) {
        self.refusals
            .retain(|(id, at)| id != target && now < *at + REFUSAL_TIME);
        self.refusals.push((target.clone(), now));
    }

    /// Returns whether the group does not serve, with this entry's streams in progress.
    pub fn is_broken(&self, own_running: u32, now: Instant) -> bool {
        let refused = self
            .refusals
            .iter()
            .filter(|(_, at)| now < *at + REFUSAL_TIME)
            .count();
        let stalled = 1 < own_running && self.progress_at.is_some_and(|at| at + STALL_TIME <= now);
        1 < refused || stalled
    }

    /// Decides whether a request may go to the group.
    pub fn admit(&mut self, own_running: u32, now: Instant) -> GroupState {
        if own_running == 0 && self.refusals.is_empty() {
            // Without a stream there is nothing that could have shown an event.
            self.progress_at = Some(now);
        }
        if !self.is_broken(own_running, now) {
            return GroupState::Open;
        }
        if self.probed_at.is_none_or(|at| at + PROBE_PERIOD <= now) {
            self.probed_at = Some(now);
            return GroupState::Probe;
        }
        GroupState::Broken(GROUP_RECOVERY_TIME)
    }
}
