//! Probes to every process whose version a report needs.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::start_probes::REPLY_TIMEOUT;
use super::{PeerName, PeerTable};

/// How long a survey probes processes.
const SURVEY_DURATION: Duration = Duration::from_secs(60);

/// A survey of the processes that are not known to have a version in force.
#[derive(Clone, Debug)]
pub(super) struct VersionSurvey {
    number: VersionNumber,
    until: Timestamp,
    probed_at: BTreeMap<PeerName, Timestamp>,
}

impl VersionSurvey {
    pub(super) fn new(now: Timestamp, number: VersionNumber) -> Self {
        Self {
            number,
            until: now + SURVEY_DURATION,
            probed_at: BTreeMap::new(),
        }
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.until < now
    }

    /// Returns up to `limit` processes to probe now and records the probes.
    pub(super) fn next_probes(
        &mut self,
        now: Timestamp,
        peers: &PeerTable,
        limit: usize,
    ) -> Vec<PeerName> {
        let due: Vec<PeerName> = peers
            .iter()
            .filter(|peer| peer.number().is_none_or(|known| known < self.number))
            .filter(|peer| !peer.is_unreachable())
            .map(|peer| peer.info.name.clone())
            .filter(|name| {
                let probed_at = self.probed_at.get(name);
                probed_at.is_none_or(|at| REPLY_TIMEOUT <= now.since(*at))
            })
            .take(limit)
            .collect();
        self.probed_at
            .extend(due.iter().map(|name| (name.clone(), now)));
        due
    }
}
