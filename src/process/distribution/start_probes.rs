//! What a starting process asked its peers.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::{PeerName, PeerState, PeerTable};

/// The longest wait for the answer of a peer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a peer is asked.
const START_TRIES: u32 = 2;
/// How long what a follower of the log said vouches for a starting process's version.
const HEARD_FRESH: Duration = Duration::from_secs(2);

/// What a starting process asked the peers of its data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct StartAsks {
    asked: BTreeMap<PeerName, PeerAsk>,
}

#[derive(Clone, Copy, Debug)]
struct PeerAsk {
    tries: u32,
    at: Timestamp,
    answered: bool,
}

impl StartAsks {
    pub(super) fn len(&self) -> usize {
        self.asked.len()
    }

    pub(super) fn note_ask(&mut self, now: Timestamp, name: &PeerName) {
        let ask = self.asked.entry(name.clone()).or_insert(PeerAsk {
            tries: 0,
            at: now,
            answered: false,
        });
        ask.tries += 1;
        ask.at = now;
    }

    pub(super) fn note_answer(&mut self, name: &PeerName) {
        if let Some(ask) = self.asked.get_mut(name) {
            ask.answered = true;
        }
    }

    /// Whether the peer should be asked now.
    pub(super) fn is_due(&self, now: Timestamp, name: &PeerName) -> bool {
        self.asked.get(name).is_none_or(|ask| {
            !ask.answered && ask.tries < START_TRIES && ANSWER_TIMEOUT <= now.since(ask.at)
        })
    }

    /// Whether the peer answered or let the last try pass.
    pub(super) fn is_done(&self, now: Timestamp, name: &PeerName) -> bool {
        self.asked.get(name).is_some_and(|ask| {
            let gave_up = START_TRIES <= ask.tries && ANSWER_TIMEOUT <= now.since(ask.at);
            ask.answered || gave_up
        })
    }

    /// Returns the peers that answered.
    pub(super) fn answered<'a>(
        &'a self,
        peers: &'a PeerTable,
    ) -> impl Iterator<Item = &'a PeerState> + Clone {
        let answered = self.asked.iter().filter(|(_, ask)| ask.answered);
        answered.filter_map(|(name, _)| peers.get(name))
    }

    /// Returns a peer that follows the log's tail at a version up to `own`.
    pub(super) fn follower(
        &self,
        now: Timestamp,
        own: VersionNumber,
        peers: &PeerTable,
    ) -> Option<PeerName> {
        let mut fresh = self
            .answered(peers)
            .filter(|peer| peer.heard_at.is_some_and(|at| now.since(at) <= HEARD_FRESH));
        let follower = fresh.find(|peer| peer.is_following() && peer.number() <= Some(own));
        follower.map(|peer| peer.info.name.clone())
    }
}
