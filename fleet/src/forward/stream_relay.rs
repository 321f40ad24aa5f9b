//! Relay of one event stream that several targets may send in turn.

use bytes::BytesMut;

use crate::prelude::*;
use crate::request::AttemptOutcome;

use super::byte_budget::{ByteBudget, ByteLease, CutScope, ReadCut, SMALL_READ};
use super::event_parser::{EventParser, StreamEvent};
use super::target_call::{BodyChunk, TargetResponse};

/// The limit on one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The limit on the comments between two events, in bytes.
const MAX_COMMENT_BYTES: usize = 16 << 10;

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
    /// The comments since the last event. They show no progress, so they go out with the next one.
    comments: BytesMut,
    last_id: Option<u64>,
    /// Whether nothing of the response shows yet that it continues the stream.
    is_unproven: bool,
    has_ended: bool,
}

/// Where in a stream a response begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayStart {
    /// At its own beginning, after the last event that the caller had before, if any: the caller gets
    /// the response as it is.
    Own(Option<u64>),
    /// After an event of another response, whose place it takes.
    After(u64),
}

impl RelayStart {
    /// Returns the id of the last event that the caller has received.
    pub fn last_id(self) -> Option<u64> {
        match self {
            Self::Own(id) => id,
            Self::After(id) => Some(id),
        }
    }
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
    /// Creates a relay of a response that begins somewhere in a stream.
    pub fn new(start: RelayStart, budget: &Arc<ByteBudget>) -> Self {
        Self {
            budget: budget.clone(),
            lease: ByteLease::new(budget, SMALL_READ),
            cut: None,
            parser: EventParser::default(),
            comments: BytesMut::new(),
            last_id: start.last_id(),
            is_unproven: matches!(start, RelayStart::After(_)),
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
            match self.parser.next_event() {
                // Anything but a comment may be the text of an error.
                Some(event) if self.is_unproven && event.id.is_none() && !event.is_comment() => {
                    return Err(RelayEnd::Broken(AttemptOutcome::Unknown));
                }
                Some(comment) if comment.id.is_none() && !comment.has_data() => {
                    self.keep_comment(&comment.bytes)?;
                    continue;
                }
                Some(event) => {
                    let event = self.with_comments(event);
                    let event = self.lease_event(event)?;
                    return self.accept(event);
                }
                None => {}
            }
            if self.has_ended {
                return self.response_end(response);
            }
            self.check_buffer().map_err(|cut| self.end_cut(cut))?;
            match response.next_chunk().await {
                BodyChunk::Data(data) => self.parser.push(&data),
                BodyChunk::End => self.has_ended = true,
                BodyChunk::Broken => return Err(RelayEnd::Broken(AttemptOutcome::Broken)),
            }
        }
    }

    fn keep_comment(&mut self, bytes: &[u8]) -> Result<(), RelayEnd> {
        self.comments.extend_from_slice(bytes);
        if self.comments.len() <= MAX_COMMENT_BYTES {
            return Ok(());
        }
        Err(self.end_cut(ReadCut {
            n_read: self.comments.len(),
            limit: MAX_COMMENT_BYTES,
            scope: CutScope::Event,
        }))
    }

    fn with_comments(&mut self, event: StreamEvent) -> StreamEvent {
        if self.comments.is_empty() {
            return event;
        }
        let mut bytes = std::mem::take(&mut self.comments);
        bytes.extend_from_slice(&event.bytes);
        StreamEvent {
            bytes: bytes.freeze(),
            ..event
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
        self.is_unproven = false;
        Ok(event)
    }

    fn response_end(&mut self, response: &TargetResponse) -> Result<StreamEvent, RelayEnd> {
        if self.parser.has_incomplete_event() {
            return Err(RelayEnd::Broken(AttemptOutcome::Broken));
        }
        if self.is_unproven && !response.head.is_event_stream() {
            return Err(RelayEnd::Broken(AttemptOutcome::Unknown));
        }
        if self.comments.is_empty() {
            return Err(RelayEnd::Complete);
        }
        Ok(StreamEvent {
            id: None,
            bytes: std::mem::take(&mut self.comments).freeze(),
        })
    }
}
