//! Asking every process for its version, for a report.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::start::ANSWER_TIMEOUT;
use super::{PeerName, PeerTable};

/// How long processes are asked.
const SURVEY_SPAN: Duration = Duration::from_secs(60);

/// The processes that were asked whether a version is in force.
#[derive(Clone, Debug)]
pub(super) struct VersionSurvey {
    number: VersionNumber,
    until: Timestamp,
    asked: BTreeMap<PeerName, Timestamp>,
}

impl VersionSurvey {
    pub(super) fn new(now: Timestamp, number: VersionNumber) -> Self {
        Self {
            number,
            until: now + SURVEY_SPAN,
            asked: BTreeMap::new(),
        }
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.until < now
    }

    /// Returns up to `limit` processes to ask now, and notes that they are asked.
    pub(super) fn next_asks(
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
                let asked = self.asked.get(name);
                asked.is_none_or(|at| ANSWER_TIMEOUT <= now.since(*at))
            })
            .take(limit)
            .collect();
        self.asked
            .extend(due.iter().map(|name| (name.clone(), now)));
        due
    }
}
