//! The events of one stream, from one target after another.

use crate::request::AttemptOutcome;

use super::event_parser::{EventParser, StreamEvent};
use super::target_call::{BodyPiece, TargetResponse};

/// Reads the events of one target's answer and checks that they go on where the last ones ended.
#[derive(Debug, Default)]
pub struct StreamRelay {
    parser: EventParser,
    last_id: Option<u64>,
    ended: bool,
}

/// How the part of a stream that one target gave ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The target's part broke off.
    Broken(AttemptOutcome),
}

impl StreamRelay {
    /// Creates a relay that continues after the event that the caller has.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the id of the last event passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops what the last target left unfinished, before another one continues.
    pub fn restart(&mut self) {
        self.parser = EventParser::default();
        self.ended = false;
    }

    /// Returns the next whole event of an answer, or how the answer ended.
    pub async fn next_event(
        &mut self,
        answer: &mut TargetResponse,
    ) -> Result<StreamEvent, RelayEnd> {
        loop {
            if let Some(event) = self.parser.next_event() {
                return self.accept(event);
            }
            if self.ended {
                return Err(self.end_of_answer());
            }
            if self.parser.is_overfull() {
                return Err(RelayEnd::Broken(AttemptOutcome::Unknown));
            }
            match answer.next_piece().await {
                BodyPiece::Data(data) => self.parser.push(&data),
                BodyPiece::End => self.ended = true,
                BodyPiece::Broken => return Err(RelayEnd::Broken(AttemptOutcome::Unknown)),
            }
        }
    }

    /// Checks that an event follows the last one; ids grow by one where targets number events.
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

    fn end_of_answer(&self) -> RelayEnd {
        match self.parser.has_rest() {
            true => RelayEnd::Broken(AttemptOutcome::Unknown),
            false => RelayEnd::Complete,
        }
    }
}
