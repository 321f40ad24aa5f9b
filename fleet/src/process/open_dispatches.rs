//! The dispatches of one request that are open at the same time.

use crate::prelude::*;
use crate::request::{AttemptOutcome, CallProgress, DispatchNumber, NextStep, stop_step};

use super::request_run::{CallContext, ChosenTarget};

/// The dispatches of one request that are open: the latest one, and those that are silent beside it.
#[derive(Debug, Default)]
pub(super) struct OpenDispatches {
    progress: CallProgress,
    excluded: SmallVec<[Arc<str>; 2]>,
    open: SmallVec<[(DispatchNumber, Arc<str>); 2]>,
}

impl OpenDispatches {
    /// Begins a dispatch, to a target that the request has not been sent to; `None` if there is no
    /// other, or if this process stops too soon.
    pub(super) async fn begin(
        &mut self,
        call: &CallContext,
    ) -> Option<(DispatchNumber, ChosenTarget)> {
        if !call.may_be_sent() {
            return None;
        }
        let target = call.choose(&mut self.excluded).await?;
        let number = self.progress.begin();
        self.open.push((number, target.pick.id.clone()));
        Some((number, target))
    }

    /// Returns when a further dispatch may find room at a target's limit; `None` if it will not, or if
    /// the request has not run, so that it can be refused.
    pub(super) fn room_at(&self, call: &CallContext) -> Option<Instant> {
        match self.progress.not_run_proof() {
            Some(_) => None,
            None => call.room_at(&self.excluded),
        }
    }

    /// Records the outcome of a dispatch.
    pub(super) fn end(&mut self, number: DispatchNumber, outcome: AttemptOutcome) {
        self.open.retain(|(open, _)| *open != number);
        self.progress.end(number, outcome);
    }

    /// Records that all dispatches but one were dropped; that one goes on.
    pub(super) fn keep_only(&mut self, kept: DispatchNumber) {
        let (kept, dropped) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(number, _)| *number == kept);
        self.open = kept;
        let dropped: SmallVec<[(DispatchNumber, Arc<str>); 2]> = dropped;
        for (number, _) in dropped {
            // Its target may have begun to run it.
            self.progress.end(number, AttemptOutcome::Silent);
        }
    }

    /// Records that no open dispatch has sent anything for a time.
    pub(super) fn record_silence(&mut self, call: &CallContext, silence: Duration) {
        for (number, target) in &self.open {
            if !self.progress.is_silent(*number) {
                call.record_silence(target, silence);
            }
        }
        self.progress.record_silence();
    }

    /// Returns whether a dispatch is open that has not fallen silent.
    pub(super) fn has_active_dispatch(&self) -> bool {
        self.progress.has_active_dispatch()
    }

    /// Decides what follows an outcome.
    pub(super) fn next_step(&self, call: &CallContext, outcome: AttemptOutcome) -> NextStep {
        call.next_step(&self.progress, outcome, &self.excluded)
    }

    /// Returns what follows an outcome if the request is not sent again.
    pub(super) fn stop_step(&self, outcome: AttemptOutcome) -> NextStep {
        stop_step(&self.progress, outcome)
    }

    /// Returns the number of dispatches that may have run, for logs.
    pub(super) fn possible_runs(&self) -> u32 {
        self.progress.possible_runs
    }
}
