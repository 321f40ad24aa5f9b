//! The processes that take part in the distribution.

use std::collections::BTreeMap;

use derive_more::{Deref, Display, From};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::VersionAnnouncement;

/// Unanswered probes in a row after which a process counts as unreachable.
const UNREACHABLE_PROBES: u32 = 3;

/// The name of a process: an entry VM's or an agent's.
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
    /// Guards a target on its VM.
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

/// What is known of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerState {
    /// Who it is.
    pub info: PeerInfo,
    /// Its last announcement; none before it was heard.
    pub announced: Option<VersionAnnouncement>,
    /// When it was last heard.
    pub heard_at: Option<Timestamp>,
    /// Probes since then.
    pub unanswered: u32,
}

impl PeerState {
    /// Returns the version that the peer last announced.
    pub fn number(&self) -> Option<VersionNumber> {
        self.announced
            .as_ref()
            .map(|announcement| announcement.number)
    }

    /// Whether the last probes got no answer.
    pub fn is_unreachable(&self) -> bool {
        UNREACHABLE_PROBES <= self.unanswered
    }

    /// Whether the peer followed the log's tail when it was last heard.
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
    /// Returns the peers by name.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns one peer.
    pub fn get(&self, name: &PeerName) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// Replaces the list of peers and keeps what is known of those that stay.
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

    /// Notes an announcement; one of an earlier life or version of the peer changes nothing.
    pub(super) fn hear(&mut self, now: Timestamp, from: &PeerName, heard: &VersionAnnouncement) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.heard_at = Some(now);
        peer.unanswered = 0;
        let known = peer.announced.as_ref();
        if known.is_none_or(|known| known.order() <= heard.order()) {
            peer.announced = Some(heard.clone());
        }
    }

    pub(super) fn note_probe(&mut self, name: &PeerName) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.unanswered += 1;
        }
    }
}
