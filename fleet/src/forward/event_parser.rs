//! Cuts a stream of bytes into whole events.

use bytes::{Buf, BytesMut};

use crate::prelude::*;

/// The largest event that is kept while its end has not come, in bytes.
const LARGEST_EVENT: usize = 1 << 20;

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    scanned: usize,
}

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's id, where it has one.
    pub id: Option<u64>,
    /// The bytes of the event.
    pub bytes: Bytes,
}

impl EventParser {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }

    /// Returns whether the last event is not whole yet.
    pub fn has_rest(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Returns whether the event in progress is larger than any that is accepted.
    pub fn is_overfull(&self) -> bool {
        LARGEST_EVENT < self.buffer.len()
    }

    fn find_end(&mut self) -> Option<usize> {
        let buffer = &self.buffer[..];
        // A line end may lie across two reads: start again at the last three bytes.
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
