//! Reports for operators on where versions are in force.

use std::collections::BTreeMap;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{PeerName, PeerTable};

/// Where a version is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct InForceReport {
    /// Processes that have the version or a later one in force.
    pub in_force: Vec<PeerName>,
    /// Processes that answered with an earlier version.
    pub lagging: Vec<LaggingPeer>,
    /// Processes that do not answer, with the last version heard.
    pub unreachable: Vec<UnreachablePeer>,
    /// Processes that have not been asked long enough.
    pub pending: Vec<PeerName>,
}

impl InForceReport {
    /// Whether every known process has the version in force.
    pub fn is_everywhere(&self) -> bool {
        self.lagging.is_empty() && self.unreachable.is_empty() && self.pending.is_empty()
    }
}

/// A process that answered with an earlier version.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize, JsonSchema)]
#[display("{name} at version {number}")]
pub struct LaggingPeer {
    /// The process.
    pub name: PeerName,
    /// Its version.
    pub number: VersionNumber,
}

/// A process that does not answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct UnreachablePeer {
    /// The process.
    pub name: PeerName,
    /// The last version heard from it.
    pub number: Option<VersionNumber>,
    /// When it was last heard.
    pub heard_at: Option<Timestamp>,
}

/// One data centre as this process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct DataCentreReport {
    /// The data centre.
    pub name: DataCentreName,
    /// Its known processes.
    pub members: usize,
    /// Those whose last probes went unanswered.
    pub unreachable: usize,
    /// The highest version heard from it: at least this is what it serves.
    pub highest: Option<VersionNumber>,
    /// When it was last heard.
    pub heard_at: Option<Timestamp>,
    /// Whether the last probes into it all went unanswered.
    pub cut_off: bool,
}

/// Groups the peers by whether version `number` or a later one is in force there.
pub fn in_force(number: VersionNumber, peers: &PeerTable) -> InForceReport {
    let mut report = InForceReport::default();
    for peer in peers.iter() {
        let name = peer.info.name.clone();
        match peer.number() {
            Some(known) if number <= known => report.in_force.push(name),
            known if peer.is_unreachable() => report.unreachable.push(UnreachablePeer {
                name,
                number: known,
                heard_at: peer.heard_at,
            }),
            Some(number) => report.lagging.push(LaggingPeer { name, number }),
            None => report.pending.push(name),
        }
    }
    report
}

/// Summarises the data centres of the peers.
///
/// `unanswered_probes` holds the consecutive unanswered probes of each data centre; one with
/// `cut_off_probes` or more counts as cut off.
pub(super) fn data_centres(
    peers: &PeerTable,
    unanswered_probes: &BTreeMap<DataCentreName, u32>,
    cut_off_probes: u32,
) -> Vec<DataCentreReport> {
    let mut reports: BTreeMap<&DataCentreName, DataCentreReport> = BTreeMap::new();
    for peer in peers.iter() {
        let name = &peer.info.data_centre;
        let report = reports.entry(name).or_insert_with(|| DataCentreReport {
            name: name.clone(),
            members: 0,
            unreachable: 0,
            highest: None,
            heard_at: None,
            cut_off: unanswered_probes
                .get(name)
                .is_some_and(|probes| cut_off_probes <= *probes),
        });
        report.members += 1;
        report.unreachable += usize::from(peer.is_unreachable());
        report.highest = report.highest.max(peer.number());
        report.heard_at = report.heard_at.max(peer.heard_at);
    }
    reports.into_values().collect()
}
