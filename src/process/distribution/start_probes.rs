//! Probes that a starting process sends to its peers.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::{PeerName, PeerState, PeerTable};

/// The longest wait for a peer's reply to a probe.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// The most probes sent to one peer during start-up.
const MAX_START_PROBES: u32 = 2;
/// How long an announcement of a peer that follows the log confirms a starting process's version.
const MAX_FOLLOWER_AGE: Duration = Duration::from_secs(2);

/// The probes that a starting process sent to the peers of its data centre, by peer.
#[derive(Clone, Debug, Default)]
pub(super) struct StartProbes {
    probed: BTreeMap<PeerName, PeerProbe>,
}

#[derive(Clone, Copy, Debug)]
struct PeerProbe {
    tries: u32,
    at: Timestamp,
    answered: bool,
}

impl StartProbes {
    pub(super) fn len(&self) -> usize {
        self.probed.len()
    }

    pub(super) fn record_probe(&mut self, now: Timestamp, name: &PeerName) {
        let probe = self.probed.entry(name.clone()).or_insert(PeerProbe {
            tries: 0,
            at: now,
            answered: false,
        });
        probe.tries += 1;
        probe.at = now;
    }

    pub(super) fn record_reply(&mut self, name: &PeerName) {
        if let Some(probe) = self.probed.get_mut(name) {
            probe.answered = true;
        }
    }

    /// Whether the peer should be probed now.
    pub(super) fn is_due(&self, now: Timestamp, name: &PeerName) -> bool {
        self.probed.get(name).is_none_or(|probe| {
            !probe.answered
                && probe.tries < MAX_START_PROBES
                && REPLY_TIMEOUT <= now.since(probe.at)
        })
    }

    /// Whether the peer answered, or the last probe to it timed out.
    pub(super) fn is_done(&self, now: Timestamp, name: &PeerName) -> bool {
        self.probed.get(name).is_some_and(|probe| {
            let gave_up = MAX_START_PROBES <= probe.tries && REPLY_TIMEOUT <= now.since(probe.at);
            probe.answered || gave_up
        })
    }

    /// Returns the state of the peers that answered.
    pub(super) fn answered<'a>(
        &'a self,
        peers: &'a PeerTable,
    ) -> impl Iterator<Item = &'a PeerState> + Clone {
        let answered = self.probed.iter().filter(|(_, probe)| probe.answered);
        answered.filter_map(|(name, _)| peers.get(name))
    }

    /// Returns a recently heard peer that follows the log's tail and has at most version `own`.
    pub(super) fn follower(
        &self,
        now: Timestamp,
        own: VersionNumber,
        peers: &PeerTable,
    ) -> Option<PeerName> {
        let mut fresh = self.answered(peers).filter(|peer| {
            peer.heard_at
                .is_some_and(|at| now.since(at) <= MAX_FOLLOWER_AGE)
        });
        let follower = fresh.find(|peer| peer.is_following() && peer.number() <= Some(own));
        follower.map(|peer| peer.info.name.clone())
    }
}
