//! The tokens that authenticate operators and peers.

use crate::prelude::*;

use super::SectionNeed;
use super::section_reader::FileReader;

/// The minimum length of the peer token, in bytes.
const MIN_PEER_TOKEN_BYTES: usize = 16;
/// The length of a SHA-256 digest, in hex digits.
const SHA256_HEX_DIGITS: usize = 64;

/// The section `[tokens]`.
#[derive(Clone, PartialEq, Eq, derive_more::Debug)]
pub struct TokenSettings {
    /// SHA-256 of the bearer token of each operator, in lower-case hex.
    pub operator_sha256: Vec<Arc<str>>,
    /// The shared token that the processes of the deployment authenticate with to each other.
    #[debug(skip)]
    pub peer: Arc<str>,
}

impl TokenSettings {
    pub(super) fn read(file: &FileReader<'_>) -> Result<Self> {
        let keys = ["operator_sha256", "peer"];
        let section = file.section("tokens", SectionNeed::Required, &keys)?;
        let digests = "SHA-256 digests separated by commas, each of 64 lower-case hex digits";
        let Some(peer) = section.text("peer") else {
            return Err(section.error("peer", "missing, expected a token"));
        };
        if peer.len() < MIN_PEER_TOKEN_BYTES {
            // The token is secret, so the error does not contain it.
            let expected = format!("expected a token of at least {MIN_PEER_TOKEN_BYTES} bytes");
            return Err(section.error("peer", expected));
        }
        Ok(Self {
            operator_sha256: section.list("operator_sha256", digests, parse_digest)?,
            peer: peer.into(),
        })
    }
}

fn parse_digest(text: &str) -> Option<Arc<str>> {
    let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let is_digest = text.len() == SHA256_HEX_DIGITS && text.chars().all(is_hex);
    is_digest.then(|| text.into())
}
