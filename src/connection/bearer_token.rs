//! Bearer tokens of callers and operators.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

/// Returns the bearer token of a request, if it has one.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

/// Returns the SHA-256 of a token, in lower-case hex, as settings and versions hold it.
pub fn token_digest(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}
