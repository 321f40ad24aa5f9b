//! A limit on the length of one server-sent event.

use bytes::Bytes;
use futures::{Stream, StreamExt, future};
use quick_error::quick_error;

/// The maximum size of one event, in bytes; an agent keeps no longer answer for its entry VM.
const MAX_EVENT_BYTES: usize = 4 << 20;

quick_error! {
    /// Why a stream of events ended early.
    #[derive(Debug)]
    pub enum EventFault {
        /// An event exceeds the limit in bytes.
        TooLong(limit: usize) {
            display("an event is longer than {} bytes", limit)
        }
        /// The connection failed.
        Transport(reason: String) {
            display("{}", reason)
        }
    }
}

/// The length of the event that is being received.
#[derive(Debug, Default)]
struct EventLength {
    bytes: usize,
    line_bytes: usize,
    ends_with_cr: bool,
}

/// Passes the chunks of a stream of events on, up to an event that is too long.
pub(super) fn limit_events(
    chunks: impl Stream<Item = Result<Bytes, hyper::Error>>,
) -> impl Stream<Item = Result<Bytes, EventFault>> {
    chunks.scan(EventLength::default(), |length, chunk| {
        let checked = match chunk {
            Ok(chunk) if length.add(&chunk) <= MAX_EVENT_BYTES => Ok(chunk),
            Ok(_) => Err(EventFault::TooLong(MAX_EVENT_BYTES)),
            Err(err) => Err(EventFault::Transport(err.to_string())),
        };
        future::ready(Some(checked))
    })
}

impl EventLength {
    /// Adds a chunk and returns the length of the event that it leaves open.
    fn add(&mut self, chunk: &[u8]) -> usize {
        for &byte in chunk {
            let continues_crlf = byte == b'\n' && self.ends_with_cr;
            self.ends_with_cr = byte == b'\r';
            if continues_crlf {
                continue;
            }
            self.bytes += 1;
            if byte != b'\n' && byte != b'\r' {
                self.line_bytes += 1;
            } else if self.line_bytes == 0 {
                self.bytes = 0;
            } else {
                self.line_bytes = 0;
            }
        }
        self.bytes
    }
}
