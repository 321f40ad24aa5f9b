//! The events of an answer at the agent, kept for a resume.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::answer_digest::{AnswerDigest, ResumePoint};
use super::work_event::{AnswerEnd, EventBody, TargetFailure, WorkEvent};

/// The events of one attempt's answer, so that it can be resumed from an index.
#[derive(Debug)]
pub struct AnswerBuffer {
    attempt: u32,
    /// The point from which this attempt answers: the start, or what another attempt left.
    base: ResumePoint,
    next: ResumePoint,
    events: Vec<BufferedEvent>,
    state: BufferState,
    bytes: usize,
    max_bytes: usize,
}

/// Why an answer cannot be resumed from a point.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ResumeRefusal {
    /// The events after the point are not here, or not here any longer.
    #[display("not-kept")]
    NotKept,
    /// What was received up to the point is not what this attempt sent.
    #[display("diverged")]
    Diverged,
}

#[derive(Debug)]
struct BufferedEvent {
    event: WorkEvent,
    /// The digest of all payloads before the event.
    digest_before: AnswerDigest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BufferState {
    Open,
    Closed,
    /// Over the bound of memory: the events are gone and a resume is refused.
    Dropped,
}

impl AnswerBuffer {
    /// Makes a buffer for an attempt that answers from `base` on, of at most `max_bytes`.
    pub fn new(attempt: u32, base: ResumePoint, max_bytes: usize) -> Self {
        Self {
            attempt,
            base,
            next: base,
            events: Vec::new(),
            state: BufferState::Open,
            bytes: 0,
            max_bytes,
        }
    }

    /// Numbers a part of the answer and keeps it.
    pub fn push(&mut self, payload: String) -> WorkEvent {
        let after = self.next.extend(&payload);
        let event = self.append(EventBody::Payload(payload));
        self.next = after;
        event
    }

    /// Makes the last event of a whole answer.
    pub fn end(&mut self) -> WorkEvent {
        let end = AnswerEnd {
            count: self.next.index,
            digest: self.next.digest,
        };
        self.close(EventBody::End(end))
    }

    /// Makes the last event of an answer that the target failed.
    pub fn fail(&mut self, failure: TargetFailure) -> WorkEvent {
        self.close(EventBody::Failed(failure))
    }

    /// Returns the events from `point` on.
    ///
    /// # Errors
    /// Refused where the events are not kept, or where the receiver holds another answer.
    pub fn resume(
        &self,
        point: &ResumePoint,
    ) -> Result<impl Iterator<Item = &WorkEvent>, ResumeRefusal> {
        if self.state == BufferState::Dropped || point.index < self.base.index {
            return Err(ResumeRefusal::NotKept);
        }
        let n_skipped = (point.index - self.base.index) as usize;
        let digest = self
            .events
            .get(n_skipped)
            .map_or(self.next.digest, |buffered| buffered.digest_before);
        if self.next.index < point.index || digest != point.digest {
            return Err(ResumeRefusal::Diverged);
        }
        Ok(self.events[n_skipped..]
            .iter()
            .map(|buffered| &buffered.event))
    }

    /// Returns the point from which the attempt answers.
    pub fn base(&self) -> ResumePoint {
        self.base
    }

    /// Returns the point after all payloads so far.
    pub fn resume_point(&self) -> ResumePoint {
        self.next
    }

    /// Returns whether the last event was made.
    pub fn is_closed(&self) -> bool {
        matches!(
            self.events.last().map(|buffered| &buffered.event.body),
            Some(EventBody::End(_) | EventBody::Failed(_))
        ) || self.state == BufferState::Closed
    }

    /// Returns the bytes of payload that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn close(&mut self, body: EventBody) -> WorkEvent {
        let event = self.append(body);
        if self.state == BufferState::Open {
            self.state = BufferState::Closed;
        }
        event
    }

    fn append(&mut self, body: EventBody) -> WorkEvent {
        assert!(
            self.state != BufferState::Closed,
            "nothing follows the last event of an answer"
        );
        let event = WorkEvent {
            attempt: self.attempt,
            index: self.next.index,
            body,
        };
        if self.state == BufferState::Dropped {
            return event;
        }
        if let EventBody::Payload(payload) = &event.body {
            self.bytes += payload.len();
        }
        if self.max_bytes < self.bytes {
            self.state = BufferState::Dropped;
            self.bytes = 0;
            self.events = Vec::new();
            return event;
        }
        self.events.push(BufferedEvent {
            event: event.clone(),
            digest_before: self.next.digest,
        });
        event
    }
}
