//! The shards of the order stream.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::prelude::*;

use super::key::OrderKey;

/// The number of shards. It is part of the stream names, so that changing it starts new streams.
pub const N_SHARDS: u16 = 16;

/// One shard of the order stream.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(transparent)]
pub struct OrderShard(pub u16);

impl OrderShard {
    /// Returns the shard of a key by a hash that is the same in all processes and versions.
    pub fn of(key: &OrderKey) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(key.account.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(key.id.as_bytes());
        Self((hasher.digest() % u64::from(N_SHARDS)) as u16)
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..N_SHARDS).map(Self)
    }
}

/// Returns the name of a shard's log stream.
pub fn stream_name(shard: OrderShard) -> String {
    format!("orders-{N_SHARDS}-{:02}", shard.0)
}

/// Ranks a service's agents for a shard, best first (rendezvous hashing).
///
/// The ranking keeps a shard's orders on one agent, so that an agent reads few shards and sends
/// full batches. Safety doesn't depend on it: any agent may take an order of any shard.
pub fn rank_agents(shard: OrderShard, agents: &[AgentName]) -> Vec<AgentName> {
    let mut ranked = agents.to_vec();
    ranked.sort_by_cached_key(|agent| {
        let weight = xxh3_64(format!("{agent}/{shard}").as_bytes());
        (std::cmp::Reverse(weight), agent.clone())
    });
    ranked
}
