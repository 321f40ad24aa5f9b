//! The stored part of a target's answer to an order.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The answer of a target to an order, stored so that a repeated call gets the same answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct OrderAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media_type: String,
    /// The length of the body, in bytes.
    pub length: u64,
    /// The whole body if it is UTF-8 text and within the size limit; a body is never truncated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl OrderAnswer {
    /// Creates an answer that stores the body if it has at most `limit` bytes; of a longer one only
    /// its length is stored.
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
