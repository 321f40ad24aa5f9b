//! The headers that callers, entries and targets use.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use crate::prelude::*;

/// The names of the headers that callers, entries and targets use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of one try of a caller, echoed by targets.
    pub attempt_id: HeaderName,
    /// The milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The id of the target incarnation that is meant.
    pub expected_target: HeaderName,
    /// The client account, as the entry resolved it.
    pub account: HeaderName,
    /// The signature of a target's answer.
    pub signature: HeaderName,
    /// States that the target did not run the request.
    pub not_run: HeaderName,
    /// The id of the last event that the sender has.
    pub last_event_id: HeaderName,
    /// The seconds after which a refused caller may come back.
    pub retry_after: HeaderName,
    /// The header that bears the caller's key.
    pub key: HeaderName,
    /// The word before the key.
    pub key_scheme: Arc<str>,
}

/// Removes the headers that concern one connection only.
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
