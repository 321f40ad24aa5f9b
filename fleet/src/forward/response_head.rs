//! The head of a target's response.

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
}
