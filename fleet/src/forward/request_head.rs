//! The head of a caller's request.

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Uri};

use crate::prelude::*;

use super::header_names::{HeaderNames, strip_hop_headers};
use super::prompt_parts::PromptParts;

/// The head of a caller's request, with the headers that the entry uses parsed into fields.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The requested host.
    pub host: Arc<str>,
    /// The id of this attempt of the caller.
    pub attempt_id: Arc<str>,
    /// The time for which the caller waits for the response, where it states one.
    pub caller_timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// The id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// The shared parts of the prompt.
    pub prompt_parts: PromptParts,
    /// The headers to pass on.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Parses the head of a request; `None` where the request has no host.
    pub fn read(parts: Parts, names: &HeaderNames) -> Option<Self> {
        let mut headers = parts.headers;
        let text = |name| {
            headers
                .get(name)
                .and_then(|value: &HeaderValue| value.to_str().ok())
        };
        let host: Arc<str> = match text(&http::header::HOST) {
            Some(host) => host.into(),
            None => parts.uri.host()?.into(),
        };
        let attempt_id = text(&names.attempt_id).unwrap_or_default().into();
        let caller_timeout = text(&names.deadline_ms)
            .and_then(|value| value.trim().parse().ok())
            .map(Duration::from_millis);
        let key = text(&names.key)
            .and_then(|value| value.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(&names.key_scheme))
            .map(|(_, key)| key.trim().into());
        let last_event_id = text(&names.last_event_id).and_then(|value| value.trim().parse().ok());
        let prompt_parts = text(&names.prompt_parts).map(PromptParts::parse);
        let prompt_parts = prompt_parts.unwrap_or_default();
        strip_hop_headers(&mut headers);
        headers.remove(&names.key);
        headers.remove(&names.account);
        headers.remove(&names.expected_target);
        headers.remove(&names.deadline_ms);
        Some(Self {
            method: parts.method,
            uri: parts.uri,
            host,
            attempt_id,
            caller_timeout,
            key,
            last_event_id,
            prompt_parts,
            headers,
        })
    }
}
