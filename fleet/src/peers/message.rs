//! The messages between processes, as datagrams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::expert::{KeeperVerdict, MapOrder, PassQuery, RankReport};
use crate::prelude::*;

/// A message between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What an entry tells all others, several times a second.
    Beat(PeerHeartbeat),
    /// The leader of a group asks an agent for the state of its rank.
    Ask(RankQuery),
    /// The leader of a group asks the keeper whether ranks may be armed for a pass that it holds.
    MayArm(PassQuery),
    /// The leader of a group passes an order on to an agent.
    Order(MapOrder),
    /// An order that some agents pass on to others.
    Relayed(RelayedOrder),
    /// An agent tells the state of its rank.
    State(Box<RankState>),
    /// An agent tells entries that the target at an address takes so many times as long as usual.
    Pace(SocketAddr, f32),
}

/// What the leader of a group asks an agent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankQuery {
    /// The state of its rank.
    State,
    /// The state of its rank, and what its requests chose since the last such answer.
    Counts,
}

/// An order that some agents pass on to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// The leader, to which each agent answers.
    pub leader: SocketAddr,
    /// The agents that the order is still passed on to.
    pub receivers: Vec<SocketAddr>,
    /// The order.
    pub order: MapOrder,
}

/// What an agent tells of its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// The rank's report, read on its own machine.
    pub report: RankReport,
    /// The life of the agent's process.
    pub life: u16,
    /// What the agent says of a pass that it was asked about.
    pub verdict: Option<(u64, KeeperVerdict)>,
    /// What only the answer to a question holds.
    pub details: Option<RankDetails>,
}

/// What only the answer to a question holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankDetails {
    /// The experts that the rank holds now, by set.
    pub held: Vec<Vec<u16>>,
    /// How often the rank's requests chose each expert since the last answer, set by set; empty
    /// where that is not known or was not asked for.
    pub window: Vec<u32>,
}

/// What an entry tells all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The hash of the sender's name.
    pub sender: u64,
    /// The sender's data centre.
    pub zone: String,
    /// Whether the sender is stopping.
    pub draining: bool,
    /// Whether load and demand are those of all entries of the data centre.
    pub for_zone: bool,
    /// How far the sender has read the operators' topic.
    pub operator: TopicPosition,
    /// How far the sender has read the targets' topic.
    pub targets: TopicPosition,
    /// The requests in progress by target.
    pub running: Vec<(u32, u16)>,
    /// The demand by service, in requests a second.
    pub demand: Vec<(u32, f32)>,
}

/// How far a process knows a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicPosition {
    /// The offset after the last record that changed something.
    pub changed_end: u64,
    /// The time since that was confirmed by the store, in milliseconds; the greatest value where
    /// it never was.
    pub age_ms: u32,
}

/// The record by which a process makes itself known in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The address for datagrams and for pulls.
    pub address: SocketAddr,
    /// The data centre.
    pub zone: String,
}

/// A keyed topic of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// The operators' configuration.
    Operator,
    /// The targets' own records.
    Targets,
    /// The records of this system's processes.
    Peers,
}

impl StoreTopic {
    /// Returns the label for logs, metrics and paths.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Targets => "targets",
            Self::Peers => "peers",
        }
    }
}

impl PeerMessage {
    /// Returns the bytes of a datagram.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("messages_have_a_byte_form")
    }

    /// Reads a datagram; `None` where it is no message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

impl TopicPosition {
    /// Creates a position from the time of its confirmation.
    pub fn new(changed_end: u64, confirmed_at: Option<Instant>, now: Instant) -> Self {
        let age = confirmed_at.map(|at| now.saturating_duration_since(at).as_millis());
        Self {
            changed_end,
            age_ms: age
                .and_then(|age| u32::try_from(age).ok())
                .unwrap_or(u32::MAX),
        }
    }
}
