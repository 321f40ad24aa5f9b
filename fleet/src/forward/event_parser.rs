//! Splits a byte stream into complete events.

use bytes::{Buf, BytesMut};

use crate::prelude::*;

/// The most bytes that are allocated while little is buffered.
const MAX_SPARE_BYTES: usize = 16 << 10;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    scanned: usize,
}

/// One complete event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id, where it has one.
    pub id: Option<u64>,
    /// The bytes of the event, the blank line included.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Returns whether the event has data; a comment has none.
    pub fn has_data(&self) -> bool {
        let mut lines = self.bytes.split(|&byte| byte == b'\n');
        lines.any(|line| line.starts_with(b"data"))
    }

    /// Returns whether each of its lines is a comment.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|&byte| byte == b'\n');
        lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
    }
}

impl EventParser {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        // A copy, as a short event that waits for a slow caller may keep a large buffer allocated.
        let bytes = Bytes::copy_from_slice(&self.buffer[..end]);
        self.buffer.advance(end);
        // What precedes the rest stays allocated, and is no part of the capacity.
        let has_spare = MAX_SPARE_BYTES < self.buffer.capacity();
        let has_little = self.buffer.len() <= MAX_SPARE_BYTES;
        if MAX_SPARE_BYTES < end || (has_spare && has_little) {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }

    /// Returns whether bytes of an incomplete event remain.
    pub fn has_incomplete_event(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    fn find_end(&mut self) -> Option<usize> {
        let buffer = &self.buffer[..];
        // The end of an event may be split across two reads: rescan the last three bytes.
        let from = self.scanned.saturating_sub(3);
        for at in from..buffer.len() {
            if buffer[at] != b'\n' {
                continue;
            }
            let rest = &buffer[at + 1..];
            if rest.starts_with(b"\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(at + 3);
            }
        }
        self.scanned = buffer.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
