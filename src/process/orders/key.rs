//! The idempotency key of an order.

use derive_more::Display;
use quick_error::quick_error;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::prelude::*;

use super::shard::OrderShard;

/// The idempotency key of an order: a client account and a UUIDv7 that the caller chose.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[display("{account}/{id}")]
pub struct OrderKey {
    /// The client account that sent the order.
    pub account: AccountName,
    /// The UUIDv7 of the order.
    pub id: Uuid,
}

impl OrderKey {
    /// Parses an `Idempotency-Key` header, with or without the quotes of a structured field string.
    ///
    /// # Errors
    /// Returns a [`KeyError`] if the header is not a UUIDv7.
    pub fn parse(account: &AccountName, header: &str) -> Result<Self, KeyError> {
        let text = header.trim();
        let text = text
            .strip_prefix('"')
            .and_then(|rest| rest.strip_suffix('"'))
            .unwrap_or(text);
        let id = Uuid::parse_str(text).map_err(|_| KeyError::NotUuid(text.to_owned()))?;
        if id.get_version_num() != 7 {
            return Err(KeyError::NotVersion7(id));
        }
        Ok(Self {
            account: account.clone(),
            id,
        })
    }

    /// Returns the time of the caller's clock that the UUIDv7 carries, with millisecond precision.
    pub fn time(&self) -> Timestamp {
        let millis = self.id.as_u128() >> 80;
        Timestamp::from_millis(millis as u64)
    }

    /// Returns the shard that holds all records of the key.
    pub fn shard(&self) -> OrderShard {
        OrderShard::of(self)
    }
}

quick_error! {
    /// Why a header is not a valid idempotency key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// The header is not a UUID.
        NotUuid(text: String) {
            display("idempotency key {:?} is no UUID", text)
        }
        /// The header is a UUID of another version than 7, which carries no usable time.
        NotVersion7(id: Uuid) {
            display("idempotency key {} is no UUIDv7, which carries its time", id)
        }
    }
}
