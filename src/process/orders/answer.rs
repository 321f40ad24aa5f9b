//! The answer of a target, as far as it is kept.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The answer of a target to an order, kept for a caller that asks again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct OrderAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media_type: String,
    /// The length of the body, in bytes.
    pub length: u64,
    /// The body, where it is UTF-8 text and within the limit; never a part of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl OrderAnswer {
    /// Keeps a whole answer of at most `limit` bytes; of a longer one only its length.
    pub fn bounded(status: u16, media_type: &str, body: &[u8], limit: usize) -> Self {
        let text = std::str::from_utf8(body).ok();
        Self {
            status,
            media_type: media_type.to_owned(),
            length: body.len() as u64,
            body: text.filter(|_| body.len() <= limit).map(str::to_owned),
        }
    }
}
