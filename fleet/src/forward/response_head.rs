//! The head of a target's response.

use http::header::CONTENT_TYPE;
use http::{HeaderMap, StatusCode};

use super::header_names::strip_hop_headers;

/// The head of a target's response, as it is sent to the caller.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers to pass on.
    pub headers: HeaderMap,
}

impl ResponseHead {
    /// Creates the head to send to the caller, without hop-by-hop headers.
    pub fn new(status: StatusCode, mut headers: HeaderMap) -> Self {
        strip_hop_headers(&mut headers);
        Self { status, headers }
    }

    /// Returns whether the response states that its body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        let kind = self.headers.get(CONTENT_TYPE);
        let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or("");
        let kind = kind.split(';').next().unwrap_or("").trim();
        self.status == StatusCode::OK && kind.eq_ignore_ascii_case("text/event-stream")
    }
}
