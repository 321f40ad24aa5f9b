//! Reorders the events of an answer at the entry VM and checks that it is complete.

use std::collections::BTreeMap;

use derive_more::Display;
use smallvec::SmallVec;

use super::answer_digest::ResumePoint;
use super::work_event::{AnswerEnd, EventBody, TargetFailure, WorkEvent};

/// The maximum number of out-of-order events buffered while an earlier one is missing.
const MAX_REORDERED_EVENTS: usize = 1_024;

/// Puts the events of an answer in order and detects gaps, truncation and mixed answers.
///
/// Only events of the selected attempt are accepted; others are dropped. When an attempt
/// continues where another stopped, the digest covers the payloads of both.
#[derive(Debug, Default)]
pub struct AnswerAssembler {
    attempt: u32,
    next: ResumePoint,
    reorder_buffer: BTreeMap<u64, WorkEvent>,
    /// The index of the first missing event of the last reported gap.
    reported_gap: Option<u64>,
    state: AssemblyState,
}

/// A result of accepting an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssemblyStep {
    /// The next event of the answer, in order.
    Deliver(WorkEvent),
    /// The answer is complete.
    Complete(AnswerEnd),
    /// The target failed the request.
    Failed(TargetFailure),
    /// Events from this point on are missing.
    Gap(ResumePoint),
    /// The answer is inconsistent and cannot be completed.
    Invalid(AssemblyError),
}

/// Why an answer cannot be completed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AssemblyError {
    /// The count in the end event differs from the number of payloads received.
    #[display("count-differs")]
    CountDiffers,
    /// The digest in the end event differs from that of the payloads received.
    #[display("digest-differs")]
    DigestDiffers,
    /// Too many events are buffered behind a missing one.
    #[display("too-many-held")]
    TooManyHeld,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum AssemblyState {
    #[default]
    Open,
    Closed,
}

impl AnswerAssembler {
    /// Creates an assembler for an answer already received up to `point`.
    pub fn new(point: ResumePoint) -> Self {
        Self {
            next: point,
            ..Self::default()
        }
    }

    /// Accepts only events of `attempt` from now on, and drops buffered events of another.
    pub fn select_attempt(&mut self, attempt: u32) {
        if self.attempt == attempt {
            return;
        }
        self.attempt = attempt;
        self.reorder_buffer.clear();
        self.reported_gap = None;
    }

    /// Returns the point up to which the answer was delivered.
    pub fn resume_point(&self) -> ResumePoint {
        self.next
    }

    /// Clears the reported gap after a resume, so that a remaining gap is reported again.
    pub fn clear_reported_gap(&mut self) {
        self.reported_gap = None;
    }

    /// Accepts an event and returns the resulting steps in order.
    pub fn accept(&mut self, event: WorkEvent) -> SmallVec<[AssemblyStep; 2]> {
        let mut steps = SmallVec::new();
        let is_duplicate =
            event.index < self.next.index || self.reorder_buffer.contains_key(&event.index);
        if self.state == AssemblyState::Closed || event.attempt != self.attempt || is_duplicate {
            return steps;
        }
        if MAX_REORDERED_EVENTS <= self.reorder_buffer.len() && event.index != self.next.index {
            self.fail(AssemblyError::TooManyHeld, &mut steps);
            return steps;
        }
        self.reorder_buffer.insert(event.index, event);
        while let Some(event) = self.reorder_buffer.remove(&self.next.index) {
            self.apply_next(event, &mut steps);
            if self.state == AssemblyState::Closed {
                return steps;
            }
        }
        let is_gap = !self.reorder_buffer.is_empty() && self.reported_gap != Some(self.next.index);
        if is_gap {
            self.reported_gap = Some(self.next.index);
            steps.push(AssemblyStep::Gap(self.next));
        }
        steps
    }

    fn apply_next(&mut self, event: WorkEvent, steps: &mut SmallVec<[AssemblyStep; 2]>) {
        match &event.body {
            EventBody::Payload(payload) => {
                self.next = self.next.extend(payload);
                steps.push(AssemblyStep::Deliver(event));
            }
            EventBody::End(end) => self.check_end(*end, steps),
            EventBody::Failed(failure) => {
                self.state = AssemblyState::Closed;
                steps.push(AssemblyStep::Failed(failure.clone()));
            }
        }
    }

    fn check_end(&mut self, end: AnswerEnd, steps: &mut SmallVec<[AssemblyStep; 2]>) {
        if end.count != self.next.index {
            self.fail(AssemblyError::CountDiffers, steps);
            return;
        }
        if end.digest != self.next.digest {
            self.fail(AssemblyError::DigestDiffers, steps);
            return;
        }
        self.state = AssemblyState::Closed;
        steps.push(AssemblyStep::Complete(end));
    }

    fn fail(&mut self, reason: AssemblyError, steps: &mut SmallVec<[AssemblyStep; 2]>) {
        self.state = AssemblyState::Closed;
        self.reorder_buffer.clear();
        steps.push(AssemblyStep::Invalid(reason));
    }
}
