//! The digest of an order's service, call and body.

use derive_more::{Debug, Display};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

/// SHA-256 of an order's service, call and body, displayed and serialized in lower-case hex.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[debug("{}", hex::encode(_0))]
#[display("{}", hex::encode(_0))]
pub struct BodyDigest(pub [u8; 32]);

impl BodyDigest {
    /// Computes the digest; the service and the call are length-prefixed to keep them apart.
    pub fn of(service: &str, call: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((service.len() as u64).to_be_bytes());
        hasher.update(service);
        hasher.update((call.len() as u64).to_be_bytes());
        hasher.update(call);
        hasher.update(body);
        Self(hasher.finalize().into())
    }
}

impl Serialize for BodyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for BodyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(&text, &mut bytes).map_err(de::Error::custom)?;
        Ok(Self(bytes))
    }
}
