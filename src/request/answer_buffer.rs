//! The agent's buffer of answer events, kept so that an entry VM can resume.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::answer_digest::{AnswerDigest, ResumePoint};
use super::work_event::{AnswerEnd, EventBody, TargetFailure, WorkEvent};

/// Numbers and keeps the events of one attempt's answer, so that it can be resumed.
#[derive(Debug)]
pub struct AnswerBuffer {
    attempt: u32,
    /// The point where this attempt's answer begins: the start, or where another attempt stopped.
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
    /// The events after the point are not in the buffer, or were discarded.
    #[display("not-kept")]
    NotKept,
    /// The receiver's payloads up to the point differ from those of this attempt.
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
    /// The size limit was exceeded: the events were discarded and a resume is refused.
    Discarded,
}

impl AnswerBuffer {
    /// Creates a buffer for an attempt that answers from `base` on, with a limit of `max_bytes`
    /// on the kept payloads.
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

    /// Appends a payload and returns its event.
    pub fn push(&mut self, payload: String) -> WorkEvent {
        let after = self.next.extend(&payload);
        let event = self.append(EventBody::Payload(payload));
        self.next = after;
        event
    }

    /// Closes a complete answer and returns its last event.
    pub fn end(&mut self) -> WorkEvent {
        let end = AnswerEnd {
            count: self.next.index,
            digest: self.next.digest,
        };
        self.close(EventBody::End(end))
    }

    /// Closes an answer that the target failed and returns its last event.
    pub fn fail(&mut self, failure: TargetFailure) -> WorkEvent {
        self.close(EventBody::Failed(failure))
    }

    /// Returns the events from `point` on.
    ///
    /// # Errors
    /// The events are no longer kept, or the receiver's payloads differ from this answer.
    pub fn resume(
        &self,
        point: &ResumePoint,
    ) -> Result<impl Iterator<Item = &WorkEvent>, ResumeRefusal> {
        if self.state == BufferState::Discarded || point.index < self.base.index {
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

    /// Returns the point where the attempt's answer begins.
    pub fn base(&self) -> ResumePoint {
        self.base
    }

    /// Returns the point after all payloads so far.
    pub fn resume_point(&self) -> ResumePoint {
        self.next
    }

    /// Returns whether the answer has its last event.
    pub fn is_closed(&self) -> bool {
        matches!(
            self.events.last().map(|buffered| &buffered.event.body),
            Some(EventBody::End(_) | EventBody::Failed(_))
        ) || self.state == BufferState::Closed
    }

    /// Returns the size of the kept payloads, in bytes.
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
            "no event may follow the last event of an answer"
        );
        let event = WorkEvent {
            attempt: self.attempt,
            index: self.next.index,
            body,
        };
        if self.state == BufferState::Discarded {
            return event;
        }
        if let EventBody::Payload(payload) = &event.body {
            self.bytes += payload.len();
        }
        if self.max_bytes < self.bytes {
            self.state = BufferState::Discarded;
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
