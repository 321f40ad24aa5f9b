//! Health of a group of ranks that fail together.

use std::net::IpAddr;

use crate::prelude::*;

use super::rank_watch::{ASKED_PER_ROUND, RankStatus, RankWatch};

/// How long a group with streams in progress may go without an event on any of them before the
/// agents beside its ranks are asked whether it serves: several times the longest pass that is still
/// of use.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a target's refusal counts. Refusals by two targets within this time mark the group as
/// broken.
const REFUSAL_WINDOW: Duration = Duration::from_millis(1_500);

/// The interval between the requests that probe whether a broken group serves again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// The retry time sent to callers of a broken group. It covers the stall until the ranks give up,
/// the return of the lost rank and the formation of the group.
pub const GROUP_RECOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Health of a group of ranks. All ranks stall and refuse requests together once one is lost.
#[derive(Debug, Default)]
pub struct GroupHealth {
    progress_at: Option<Instant>,
    refusals: SmallVec<[(Arc<str>, Instant); 2]>,
    probed_at: Option<Instant>,
    /// What the ranks report while the group does not serve.
    watch: Option<RankWatch>,
}

/// Whether a request may go to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupState {
    /// The group serves, as far as this entry knows.
    Open,
    /// The group does not serve; this request may go through as a probe.
    Probe,
    /// All ranks are back and the group forms, probably by the given time; callers should wait.
    Forming(Instant),
    /// The group does not serve; holds the time after which callers should retry.
    Broken(Duration),
}

impl GroupHealth {
    /// Records an event on a stream of the group.
    pub fn record_progress(&mut self, now: Instant) {
        self.progress_at = Some(now);
        self.refusals.clear();
        self.probed_at = None;
        self.watch = None;
    }

    /// Returns the ranks to ask next whether the group serves again; none while it serves.
    pub fn next_asked(
        &mut self,
        own_running: u32,
        ranks: &[IpAddr],
        now: Instant,
    ) -> SmallVec<[IpAddr; ASKED_PER_ROUND]> {
        if !self.is_broken(now) && !self.is_stalled(own_running, now) {
            self.watch = None;
            return SmallVec::new();
        }
        let watch = self.watch.get_or_insert_with(|| RankWatch::new(now));
        watch.next_asked(ranks)
    }

    /// Records the report of a rank; returns whether it shows that the group serves again.
    pub fn record_report(&mut self, rank: IpAddr, status: RankStatus, now: Instant) -> bool {
        let watch = self.watch.as_mut();
        let has_formed = watch.is_some_and(|watch| watch.record(rank, status, now));
        if has_formed {
            self.record_progress(now);
        }
        has_formed
    }

    /// Records that a target reported a request as not run.
    pub fn record_refusal(&mut self, target: &Arc<str>, now: Instant) {
        self.refusals
            .retain(|(id, at)| id != target && now < *at + REFUSAL_WINDOW);
        self.refusals.push((target.clone(), now));
    }

    /// Returns whether the group does not serve, as its ranks state: by refusals of two targets, or
    /// to the agents beside them.
    pub fn is_broken(&self, now: Instant) -> bool {
        let watch = self.watch.as_ref();
        if watch.is_some_and(|watch| watch.is_reported_broken(now)) {
            return true;
        }
        let refused = self
            .refusals
            .iter()
            .filter(|(_, at)| now < *at + REFUSAL_WINDOW)
            .count();
        1 < refused
    }

    /// Returns whether no stream has an event for a time, given the number of this entry's running
    /// streams. A sound group may be silent and go on, so this alone refuses nothing.
    pub fn is_stalled(&self, own_running: u32, now: Instant) -> bool {
        1 < own_running && self.progress_at.is_some_and(|at| at + STALL_TIMEOUT <= now)
    }

    /// Returns whether any stream of the group has had an event within a time.
    pub fn has_progressed(&self, within: Duration, now: Instant) -> bool {
        self.progress_at.is_some_and(|at| now < at + within)
    }

    /// Decides whether a request may go to the group.
    pub fn admit(&mut self, own_running: u32, form_time: Duration, now: Instant) -> GroupState {
        if own_running == 0 && self.refusals.is_empty() {
            // Without running streams no event is expected, so silence is no sign of a stall.
            self.progress_at = Some(now);
        }
        if !self.is_broken(now) {
            return GroupState::Open;
        }
        if let Some(watch) = &self.watch {
            if let Some(until) = watch.forms_until(form_time, now) {
                return GroupState::Forming(until);
            }
            if watch.is_reported_broken(now) {
                return GroupState::Broken(GROUP_RECOVERY_TIME);
            }
        }
        if self.probed_at.is_none_or(|at| at + PROBE_INTERVAL <= now) {
            self.probed_at = Some(now);
            return GroupState::Probe;
        }
        GroupState::Broken(GROUP_RECOVERY_TIME)
    }
}
