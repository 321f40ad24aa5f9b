//! The datagrams that processes send to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::expert::{KeeperVerdict, MapOrder, PassQuery, RankReport};
use crate::mirror::StorePosition;
use crate::prelude::*;
use crate::routing::{LimitReport, PermitDecision, ResultCounts, SuspectReport};

use super::copy_span::CopySpans;

/// A datagram from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// An entry's state, sent to the other entries several times a second.
    Beat(PeerHeartbeat),
    /// A query of a group's leader or an entry for the state of an agent's rank.
    Ask(RankQuery),
    /// A query of a group's leader to the pass keeper: may ranks be armed for the pass to hold?
    MayArm(PassQuery),
    /// An order of a group's leader to one agent.
    Order(MapOrder),
    /// An order that the receiving agent executes and forwards to other agents.
    Relayed(RelayedOrder),
    /// The state of an agent's rank.
    State(Box<RankState>),
    /// An agent's report to entries: the target at an address takes this many times as long as
    /// usual.
    Pace(SocketAddr, f32),
    /// An entry's reports of requests that may have ended targets, to the other entries.
    Suspects(Vec<SuspectReport>),
    /// An entry's reports of the limits that targets name, to the other entries.
    Limits(Vec<LimitReport>),
    /// An entry's query of the one that shares out a target's limit.
    AskPermit(PermitQuery),
    /// The reply to it.
    Permit(PermitReply),
    /// An entry's reports of what it knows from the store only of such requests, to the other entries.
    Restored(Vec<SuspectReport>),
}

/// An entry's query for a permit to send one request to a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitQuery {
    /// The number of the query at its sender.
    pub ticket: u32,
    /// The hash of the target's id.
    pub target: u32,
    /// The limit that the sender knows, in requests per second.
    pub rate: f32,
}

/// The reply to a query for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The number of the query.
    pub ticket: u32,
    /// Whether the request may be sent.
    pub decision: PermitDecision,
}

/// The part of a rank's state that is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RankQuery {
    /// The state without expert counts.
    State,
    /// The state, with how often requests chose each expert since the last reply to this query.
    Counts,
    /// The rank's report alone.
    Report,
}

/// An order that the receiving agent executes and forwards to other agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// The leader's address, to which each agent replies.
    pub leader: SocketAddr,
    /// The agents to forward the order to.
    pub receivers: Vec<SocketAddr>,
    /// The order.
    pub order: MapOrder,
}

/// The state of a rank, reported by its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// The rank's report, read by the agent on the same machine.
    pub report: RankReport,
    /// The incarnation number of the agent's process.
    pub life: u16,
    /// The pass and the verdict, where the agent was asked about a held pass.
    pub verdict: Option<(u64, KeeperVerdict)>,
    /// Sent only in reply to a query.
    pub details: Option<RankDetails>,
}

/// The details of a rank's state, sent only in reply to a query.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankDetails {
    /// The experts that the rank has loaded, by layer set.
    pub held: Vec<Vec<u16>>,
    /// How often the rank's requests chose each expert since the last reply, set by set; empty
    /// where the counts are unknown or were not queried.
    pub window: Vec<u32>,
}

/// An entry's state, or that of its data centre, sent periodically to other entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The hash of the sender's name.
    pub sender: u64,
    /// The sender's data centre.
    pub zone: String,
    /// Whether the sender is stopping.
    pub draining: bool,
    /// Whether load and demand are the sums over all entries of the data centre.
    pub for_zone: bool,
    /// The version of the configuration in force at the sender, if any.
    pub version: Option<u64>,
    /// The sender's position in the operators' topic.
    pub operator: TopicPosition,
    /// The sender's position in the targets' topic.
    pub targets: TopicPosition,
    /// The number of requests in progress by target.
    pub running: Vec<(u32, u16)>,
    /// The demand by service, in requests per second.
    pub demand: Vec<(u32, f32)>,
    /// The recent results of the targets at which requests failed.
    pub results: Vec<(u32, ResultCounts)>,
    /// The spans of the sender's copies; `None` from an earlier version, whose copies may lack
    /// removals anywhere. They follow the encoded message, where that version ignores them.
    #[serde(skip)]
    pub spans: Option<CopySpans>,
}

/// How far a process has read a topic, and how recently the store confirmed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicPosition {
    /// The position after the last record that changed the local copy.
    pub changed_end: StorePosition,
    /// The time since the store confirmed the position, in milliseconds; `u32::MAX` where it never
    /// did.
    pub age_ms: u32,
}

/// The record by which a process registers itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The address for datagrams and for pulls of records.
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
    /// The records by which the processes of this system register themselves.
    Peers,
    /// The records of the requests that may have ended targets.
    Suspects,
}

impl StoreTopic {
    /// Returns the label for logs, metrics and paths.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Targets => "targets",
            Self::Peers => "peers",
            Self::Suspects => "suspects",
        }
    }
}

impl PeerMessage {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).expect("peer messages are always serializable");
        if let Self::Beat(heartbeat) = self
            && let Some(spans) = heartbeat.spans
        {
            bytes = postcard::to_extend(&spans, bytes).expect("spans are always serializable");
        }
        bytes
    }

    /// Decodes a datagram; `None` where it holds no valid message.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut message, rest) = postcard::take_from_bytes(bytes).ok()?;
        if let Self::Beat(heartbeat) = &mut message {
            heartbeat.spans = postcard::from_bytes(rest).ok();
        }
        Some(message)
    }
}

impl TopicPosition {
    /// Creates a position that the store confirmed at a time, where it ever did.
    pub fn new(changed_end: StorePosition, confirmed_at: Option<Instant>, now: Instant) -> Self {
        let age = confirmed_at.map(|at| now.saturating_duration_since(at).as_millis());
        Self {
            changed_end,
            age_ms: age
                .and_then(|age| u32::try_from(age).ok())
                .unwrap_or(u32::MAX),
        }
    }

    /// Keeps the confirmation that the same sender stated some time ago, if it is later. A sender
    /// that cannot vouch for its position at the moment does not withdraw what it knew; one whose
    /// position has gone back has started anew.
    pub(super) fn keep_confirmation(&mut self, before: &Self, elapsed: Duration) {
        let is_same_copy = before.changed_end.era == self.changed_end.era
            && before.changed_end <= self.changed_end;
        if is_same_copy && before.age_ms < u32::MAX {
            let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
            self.age_ms = self.age_ms.min(before.age_ms.saturating_add(elapsed_ms));
        }
    }
}
