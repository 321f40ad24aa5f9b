//! Relay of one event stream that several targets may send in turn.

use crate::prelude::*;
use crate::request::AttemptOutcome;

use super::byte_budget::{ByteBudget, ByteLease, CutScope, ReadCut, SMALL_READ};
use super::event_parser::{EventParser, StreamEvent};
use super::target_call::{BodyChunk, TargetResponse};

/// The limit on one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The bytes of each event that may wait for a slow caller without drawing on the budget.
const SMALL_EVENT: usize = 2 << 10;

/// Reads the events of a target's response and checks that they continue the stream without a gap.
#[derive(Debug)]
pub struct StreamRelay {
    budget: Arc<ByteBudget>,
    /// What the parser buffers.
    lease: ByteLease,
    cut: Option<ReadCut>,
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
    pub fn new(last_id: Option<u64>, budget: &Arc<ByteBudget>) -> Self {
        Self {
            budget: budget.clone(),
            lease: ByteLease::new(budget, SMALL_READ),
            cut: None,
            parser: EventParser::default(),
            last_id,
            has_ended: false,
        }
    }

    /// Returns the limit that the response exceeded, if it did.
    pub fn cut(&self) -> Option<ReadCut> {
        self.cut
    }

    /// Returns the id of the last event relayed to the caller, or that it had received before.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the next complete event of a response, or how the response ended.
    pub async fn next_event(
        &mut self,
        response: &mut TargetResponse,
    ) -> Result<StreamEvent, RelayEnd> {
        loop {
            if let Some(event) = self.parser.next_event() {
                let event = self.lease_event(event)?;
                return self.accept(event);
            }
            if self.has_ended {
                return Err(self.response_end());
            }
            self.check_buffer().map_err(|cut| self.end_cut(cut))?;
            match response.next_chunk().await {
                BodyChunk::Data(data) => self.parser.push(&data),
                BodyChunk::End => self.has_ended = true,
                BodyChunk::Broken => return Err(RelayEnd::Broken(AttemptOutcome::Unknown)),
            }
        }
    }

    /// Draws what the parser buffers from the budget.
    fn check_buffer(&mut self) -> Result<(), ReadCut> {
        let n_read = self.parser.buffered();
        if MAX_EVENT_BYTES < n_read {
            return Err(ReadCut {
                n_read,
                limit: MAX_EVENT_BYTES,
                scope: CutScope::Event,
            });
        }
        self.lease.cover(n_read)
    }

    /// Draws what an event holds from the budget, until the caller has received it.
    fn lease_event(&mut self, event: StreamEvent) -> Result<StreamEvent, RelayEnd> {
        // Less is buffered now, which also leaves room for the event.
        let mut lease = ByteLease::new(&self.budget, SMALL_EVENT);
        let drawn = self
            .check_buffer()
            .and_then(|()| lease.cover(event.bytes.len()));
        drawn.map_err(|cut| self.end_cut(cut))?;
        Ok(StreamEvent {
            bytes: lease.attach(event.bytes),
            ..event
        })
    }

    fn end_cut(&mut self, cut: ReadCut) -> RelayEnd {
        self.cut = Some(cut);
        RelayEnd::Broken(AttemptOutcome::Unknown)
    }

    /// Checks that an event follows the last one: where targets number events, ids grow by one.
    fn accept(&mut self, event: StreamEvent) -> Result<StreamEvent, RelayEnd> {
        let follows = match (self.last_id, event.id) {
            (Some(last), Some(id)) => last.checked_add(1) == Some(id),
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
