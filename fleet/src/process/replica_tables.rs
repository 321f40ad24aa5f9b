//! The tables of a store replica.

use crate::mirror::StoreEra;
use crate::peers::{PeerTable, StoreTopic};
use crate::prelude::*;
use crate::roster::TargetRoster;

use super::store_status::StoreStatus;
use super::topic_copy::TopicCopy;
use super::unread_config::UnreadConfig;

/// The tables of a store replica, behind its lock.
#[derive(Debug, Default)]
pub(super) struct ReplicaTables {
    pub(super) operator: TopicCopy,
    pub(super) targets: TopicCopy,
    pub(super) roster: TargetRoster,
    pub(super) peers: PeerTable,
    pub(super) status: StoreStatus,
    /// When this entry first learned of the present era; `None` in a store's first era.
    pub(super) era_seen_at: Option<Instant>,
    /// The configuration in force, while the copy of the store holds an older one.
    pub(super) retained_catalog: Option<Vec<u8>>,
    /// Whether the newest configuration in the store cannot be read.
    pub(super) unread_config: UnreadConfig,
}

impl ReplicaTables {
    /// Returns the copy of a topic; `None` for one that is not kept.
    pub(super) fn copy(&self, topic: StoreTopic) -> Option<&TopicCopy> {
        match topic {
            StoreTopic::Operator => Some(&self.operator),
            StoreTopic::Targets => Some(&self.targets),
            StoreTopic::Peers | StoreTopic::Suspects => None,
        }
    }

    /// Returns the copy of a topic for updates.
    pub(super) fn copy_mut(&mut self, topic: StoreTopic) -> Option<&mut TopicCopy> {
        match topic {
            StoreTopic::Operator => Some(&mut self.operator),
            StoreTopic::Targets => Some(&mut self.targets),
            StoreTopic::Peers | StoreTopic::Suspects => None,
        }
    }

    /// Takes over the latest confirmation of a topic's copy by a peer, unless a peer is ahead of it;
    /// returns the latest one.
    pub(super) fn confirm_copy(
        &mut self,
        topic: StoreTopic,
        era: StoreEra,
        now: Instant,
    ) -> Option<Instant> {
        let copy = self.copy(topic)?;
        let is_behind = self
            .peers
            .ahead_of(topic, copy.changed_end(), now)
            .is_some();
        let end = copy.mirror.end();
        let confirmed_at = self.peers.confirmed_copy_at(topic, era, end, now);
        let copy = self.copy_mut(topic)?;
        match is_behind {
            true => copy.fall_behind(now),
            false => copy.confirm(confirmed_at),
        }
        copy.confirmed_at
    }
}
