//! Responses that a process generates itself.

use crate::prelude::*;

/// A response that the process generates itself, in place of a target's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    /// The request did not run; the caller may retry after the given time.
    Refused(NotRunProof, Duration),
    /// The request did not arrive in time and did not run.
    Incomplete(NotRunProof),
    /// The request is not allowed.
    Denied(DeniedReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeniedReason {
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// A required header is missing or malformed.
    BadRequest,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The target's response was lost or corrupted.
    BadAnswer,
    /// No response arrived in time.
    Timeout,
}

impl LocalResponse {
    /// Returns the HTTP status, which tells the caller whether the request may have run.
    pub fn status(&self) -> http::StatusCode {
        use http::StatusCode;
        match self {
            Self::Refused(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Incomplete(_) => StatusCode::REQUEST_TIMEOUT,
            Self::Denied(DeniedReason::NoRoute) => StatusCode::NOT_FOUND,
            Self::Denied(DeniedReason::UnknownKey) => StatusCode::UNAUTHORIZED,
            Self::Denied(DeniedReason::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Denied(DeniedReason::BadRequest) => StatusCode::BAD_REQUEST,
            Self::Unknown(UnknownReason::BadAnswer) => StatusCode::BAD_GATEWAY,
            Self::Unknown(UnknownReason::Timeout) => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
