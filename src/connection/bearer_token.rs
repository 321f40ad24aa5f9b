//! Bearer tokens that authenticate callers, operators and peer processes.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

/// Returns the bearer token from the `Authorization` header, if there is one.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

/// Returns the SHA-256 of a token in lower-case hex, the form stored in settings and versions.
pub fn token_digest(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}
