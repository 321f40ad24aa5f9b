//! The head of a target's answer.

use http::{HeaderMap, StatusCode};

use super::header_names::{HeaderNames, strip_hop_headers};

/// The head of a target's answer, as it goes to the caller.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The status.
    pub status: StatusCode,
    /// The headers to pass on.
    pub headers: HeaderMap,
}

impl AnswerHead {
    /// Returns whether the head belongs to an answer that the target gave to this very request.
    pub fn answers(
        status: StatusCode,
        headers: &HeaderMap,
        attempt_id: &str,
        names: &HeaderNames,
    ) -> bool {
        let echoed = headers
            .get(&names.attempt_id)
            .and_then(|value| value.to_str().ok());
        let same_request = echoed.is_none_or(|id| id == attempt_id);
        let whole = !headers.contains_key(http::header::CONTENT_ENCODING);
        let signed = headers.contains_key(&names.signature);
        same_request && whole && (signed || !status.is_success()) && !status.is_informational()
    }

    /// Creates the head that goes to the caller.
    pub fn new(status: StatusCode, mut headers: HeaderMap) -> Self {
        strip_hop_headers(&mut headers);
        Self { status, headers }
    }
}
