//! The order and the wholeness of an answer at the entry VM.

use std::collections::BTreeMap;

use derive_more::Display;
use smallvec::SmallVec;

use super::answer_digest::ResumePoint;
use super::work_event::{AnswerEnd, EventBody, TargetFailure, WorkEvent};

/// The most events that wait for one before them.
const MAX_HELD: usize = 1_024;

/// Puts the events of an answer in order and tells a whole answer from any other.
///
/// Events of one attempt at a time count: those of others are dropped, and an attempt that
/// goes on where another stopped is checked by the digest over both.
#[derive(Debug, Default)]
pub struct AnswerAssembler {
    attempt: u32,
    next: ResumePoint,
    held: BTreeMap<u64, WorkEvent>,
    /// The gap that was reported last, by the index of its first missing event.
    reported_gap: Option<u64>,
    state: AssemblyState,
}

/// What an event led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssemblyStep {
    /// The next event of the answer, in order.
    Deliver(WorkEvent),
    /// The answer is whole.
    Complete(AnswerEnd),
    /// The target failed the request.
    Failed(TargetFailure),
    /// Events from this point on are missing.
    Gap(ResumePoint),
    /// The answer cannot become whole.
    Invalid(AssemblyError),
}

/// Why an answer cannot become whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AssemblyError {
    /// The end does not count what was received.
    #[display("count-differs")]
    CountDiffers,
    /// The end's digest is not that of what was received.
    #[display("digest-differs")]
    DigestDiffers,
    /// Too many events arrived before a missing one.
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
    /// Makes an assembler for an answer received up to `point`.
    pub fn new(point: ResumePoint) -> Self {
        Self {
            next: point,
            ..Self::default()
        }
    }

    /// Takes events of `attempt` alone from now on; what is held of another is dropped.
    pub fn select_attempt(&mut self, attempt: u32) {
        if self.attempt == attempt {
            return;
        }
        self.attempt = attempt;
        self.held.clear();
        self.reported_gap = None;
    }

    /// Returns the point up to which the answer was delivered.
    pub fn resume_point(&self) -> ResumePoint {
        self.next
    }

    /// Forgets that a gap was reported, so that it is reported again.
    pub fn clear_reported_gap(&mut self) {
        self.reported_gap = None;
    }

    /// Takes in an event.
    pub fn accept(&mut self, event: WorkEvent) -> SmallVec<[AssemblyStep; 2]> {
        let mut steps = SmallVec::new();
        let is_known = event.index < self.next.index || self.held.contains_key(&event.index);
        if self.state == AssemblyState::Closed || event.attempt != self.attempt || is_known {
            return steps;
        }
        if MAX_HELD <= self.held.len() && event.index != self.next.index {
            self.break_off(AssemblyError::TooManyHeld, &mut steps);
            return steps;
        }
        self.held.insert(event.index, event);
        while let Some(event) = self.held.remove(&self.next.index) {
            self.take_next(event, &mut steps);
            if self.state == AssemblyState::Closed {
                return steps;
            }
        }
        let is_gap = !self.held.is_empty() && self.reported_gap != Some(self.next.index);
        if is_gap {
            self.reported_gap = Some(self.next.index);
            steps.push(AssemblyStep::Gap(self.next));
        }
        steps
    }

    fn take_next(&mut self, event: WorkEvent, steps: &mut SmallVec<[AssemblyStep; 2]>) {
        match &event.body {
            EventBody::Payload(payload) => {
                self.next = self.next.extend(payload);
                steps.push(AssemblyStep::Deliver(event));
            }
            EventBody::End(end) => self.take_end(*end, steps),
            EventBody::Failed(failure) => {
                self.state = AssemblyState::Closed;
                steps.push(AssemblyStep::Failed(failure.clone()));
            }
        }
    }

    fn take_end(&mut self, end: AnswerEnd, steps: &mut SmallVec<[AssemblyStep; 2]>) {
        if end.count != self.next.index {
            self.break_off(AssemblyError::CountDiffers, steps);
            return;
        }
        if end.digest != self.next.digest {
            self.break_off(AssemblyError::DigestDiffers, steps);
            return;
        }
        self.state = AssemblyState::Closed;
        steps.push(AssemblyStep::Complete(end));
    }

    fn break_off(&mut self, reason: AssemblyError, steps: &mut SmallVec<[AssemblyStep; 2]>) {
        self.state = AssemblyState::Closed;
        self.held.clear();
        steps.push(AssemblyStep::Invalid(reason));
    }
}
