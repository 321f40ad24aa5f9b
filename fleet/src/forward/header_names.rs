//! The names of the headers that callers, entries and targets use.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::prelude::*;

/// The names of the headers that callers, entries and targets use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of one attempt of a caller, echoed by targets.
    pub attempt_id: HeaderName,
    /// The time for which the sender waits for a response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The id of the target incarnation that the request is meant for.
    pub expected_target: HeaderName,
    /// The client account that the entry resolved from the key.
    pub account: HeaderName,
    /// The signature of a target's response.
    pub signature: HeaderName,
    /// Present where the target states that it did not run the request.
    pub not_run: HeaderName,
    /// The requests per second that a target takes from all entries together.
    pub limit: HeaderName,
    /// The id of the last event that the sender has received.
    pub last_event_id: HeaderName,
    /// The parts of a request's prompt.
    pub prompt_parts: HeaderName,
    /// The time after which a refused caller may retry, in seconds.
    pub retry_after: HeaderName,
    /// The header that holds the caller's key.
    pub key: HeaderName,
    /// The authentication scheme that precedes the key in its header.
    pub key_scheme: Arc<str>,
}

/// Removes hop-by-hop headers, which apply to one connection only.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
