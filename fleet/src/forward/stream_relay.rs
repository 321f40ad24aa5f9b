//! Relay of one event stream that several targets may send in turn.

use crate::request::AttemptOutcome;

use super::event_parser::{EventParser, StreamEvent};
use super::target_call::{BodyChunk, TargetResponse};

/// Reads the events of a target's response and checks that they continue the stream without a gap.
#[derive(Debug, Default)]
pub struct StreamRelay {
    parser: EventParser,
    last_id: Option<u64>,
    has_ended: bool,
}

/// How one target's part of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The target's part ended before the stream was complete.
    Broken(AttemptOutcome),
}

impl StreamRelay {
    /// Creates a relay that continues after the last event that the caller has received.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last event relayed to the caller, or that it had received before.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the last target's incomplete event, before another target continues.
    pub fn restart(&mut self) {
        self.parser = EventParser::default();
        self.has_ended = false;
    }

    /// Returns the next complete event of a response, or how the response ended.
    pub async fn next_event(
        &mut self,
        response: &mut TargetResponse,
    ) -> Result<StreamEvent, RelayEnd> {
        loop {
            if let Some(event) = self.parser.next_event() {
                return self.accept(event);
            }
            if self.has_ended {
                return Err(self.response_end());
            }
            if self.parser.is_oversized() {
                return Err(RelayEnd::Broken(AttemptOutcome::Unknown));
            }
            match response.next_chunk().await {
                BodyChunk::Data(data) => self.parser.push(&data),
                BodyChunk::End => self.has_ended = true,
                BodyChunk::Broken => return Err(RelayEnd::Broken(AttemptOutcome::Unknown)),
            }
        }
    }

    /// Checks that an event follows the last one: where targets number events, ids grow by one.
    fn accept(&mut self, event: StreamEvent) -> Result<StreamEvent, RelayEnd> {
        let follows = match (self.last_id, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        };
        if !follows {
            return Err(RelayEnd::Broken(AttemptOutcome::Unknown));
        }
        self.last_id = event.id.or(self.last_id);
        Ok(event)
    }

    fn response_end(&self) -> RelayEnd {
        match self.parser.has_incomplete_event() {
            true => RelayEnd::Broken(AttemptOutcome::Unknown),
            false => RelayEnd::Complete,
        }
    }
}
