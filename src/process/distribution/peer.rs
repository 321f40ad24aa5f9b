//! The processes that take part in the distribution.

use std::collections::BTreeMap;

use derive_more::{Deref, Display, From};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::VersionAnnouncement;

/// Consecutive unanswered probes after which a process counts as unreachable.
const UNREACHABLE_PROBES: u32 = 3;

/// The name of a process: an entry VM or an agent.
#[derive(
    Clone,
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
    Deref,
    From,
)]
#[serde(transparent)]
#[from(String, &str, Arc<str>)]
pub struct PeerName(Arc<str>);

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum PeerRole {
    /// Serves callers and operators on an entry VM.
    Entry,
    /// Controls access to a target on the target's VM.
    Agent,
}

/// A process that takes part in the distribution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct PeerInfo {
    /// The name.
    pub name: PeerName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The role.
    pub role: PeerRole,
}

/// The last known state of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerState {
    /// Its name, data centre and role.
    pub info: PeerInfo,
    /// Its latest announcement; `None` until the first one arrives.
    pub announced: Option<VersionAnnouncement>,
    /// When its last message arrived.
    pub heard_at: Option<Timestamp>,
    /// The number of probes sent to it since then.
    pub unanswered: u32,
}

impl PeerState {
    /// Returns the version that the peer last announced.
    pub fn number(&self) -> Option<VersionNumber> {
        self.announced
            .as_ref()
            .map(|announcement| announcement.number)
    }

    /// Whether the last probes all went unanswered.
    pub fn is_unreachable(&self) -> bool {
        UNREACHABLE_PROBES <= self.unanswered
    }

    /// Whether the peer accepted work as of its latest announcement.
    pub fn is_serving(&self) -> bool {
        self.announced
            .as_ref()
            .is_some_and(|announcement| announcement.serving)
    }

    /// Whether the peer followed the log's tail as of its latest announcement.
    pub fn is_following(&self) -> bool {
        self.announced
            .as_ref()
            .is_some_and(|announcement| announcement.following)
    }
}

/// The known peers.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<PeerName, PeerState>,
}

impl PeerTable {
    /// Returns the peers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns one peer.
    pub fn get(&self, name: &PeerName) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// Replaces the list of peers and keeps the state of those that remain.
    pub(super) fn set_members(&mut self, members: Vec<PeerInfo>) {
        let mut known = std::mem::take(&mut self.peers);
        for info in members {
            let name = info.name.clone();
            let state = match known.remove(&name) {
                Some(state) => PeerState { info, ..state },
                None => PeerState {
                    info,
                    announced: None,
                    heard_at: None,
                    unanswered: 0,
                },
            };
            self.peers.insert(name, state);
        }
    }

    /// Records that a peer answered, and its announcement unless that is older than the known one.
    ///
    /// An announcement is older if its incarnation, or its version in that incarnation, is lower.
    pub(super) fn record_announcement(
        &mut self,
        now: Timestamp,
        from: &PeerName,
        announcement: &VersionAnnouncement,
    ) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.heard_at = Some(now);
        peer.unanswered = 0;
        let known = peer.announced.as_ref();
        if known.is_none_or(|known| known.order() <= announcement.order()) {
            peer.announced = Some(announcement.clone());
        }
    }

    pub(super) fn record_probe(&mut self, name: &PeerName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.unanswered += 1;
        }
    }
}
