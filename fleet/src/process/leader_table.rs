//! What the leader of a group knows of the other ranks.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::expert::{RankReport, RankView};
use crate::peers::{RankDetails, RankState};
use crate::prelude::*;

/// What the leader of a group knows of the other ranks, by the address of their agents.
#[derive(Debug, Default)]
pub(super) struct LeaderTable {
    rows: HashMap<SocketAddr, LeaderRow>,
}

/// What the leader knows of one target and its agent.
#[derive(Clone, Debug)]
pub(super) struct LeaderRow {
    /// The target's address.
    pub(super) target: SocketAddr,
    /// The last report.
    pub(super) view: Option<RankView>,
    /// The last answer to a question.
    pub(super) details: Option<(Instant, RankDetails)>,
    /// The last message to the agent.
    pub(super) sent_at: Option<Instant>,
    /// The messages since the agent's last word.
    pub(super) unanswered: u32,
}

impl LeaderTable {
    /// Sets the targets of the service, each with the address of its agent.
    pub(super) fn set_targets(&mut self, targets: &[(SocketAddr, SocketAddr)]) {
        self.rows
            .retain(|agent, row| targets.contains(&(*agent, row.target)));
        for (agent, target) in targets {
            self.rows.entry(*agent).or_insert(LeaderRow {
                target: *target,
                view: None,
                details: None,
                sent_at: None,
                unanswered: 0,
            });
        }
    }

    /// Takes in what an agent tells of its rank.
    pub(super) fn hear(&mut self, agent: SocketAddr, state: RankState, now: Instant) {
        let Some(row) = self.rows.get_mut(&agent) else {
            return;
        };
        row.view = Some(RankView {
            // The report was made after the last message left, or in the time of one exchange.
            asked_at: now,
            report: state.report,
        });
        if let Some(details) = state.details {
            row.details = Some((now, details));
        }
        row.unanswered = 0;
    }

    /// Takes in a report that the leader read from a target itself.
    pub(super) fn read(&mut self, agent: SocketAddr, report: RankReport, now: Instant) {
        if let Some(row) = self.rows.get_mut(&agent) {
            row.view = Some(RankView {
                asked_at: now,
                report,
            });
        }
    }

    /// Counts a message to an agent, where none was sent for a time; returns the messages since
    /// its last word.
    pub(super) fn note_sent(
        &mut self,
        agent: SocketAddr,
        gap: Duration,
        now: Instant,
    ) -> Option<u32> {
        let row = self.rows.get_mut(&agent)?;
        if row.sent_at.is_some_and(|at| now < at + gap) {
            return None;
        }
        row.sent_at = Some(now);
        row.unanswered += 1;
        Some(row.unanswered)
    }

    /// Returns the agents of all targets.
    pub(super) fn agents(&self) -> Vec<SocketAddr> {
        self.rows.keys().copied().collect()
    }

    /// Returns the rows of a group's ranks; the first is left out, as the leader is beside it.
    pub(super) fn ranks(&self, own: &RankReport) -> Vec<Option<(SocketAddr, LeaderRow)>> {
        let mut ranks = vec![None; usize::from(own.size)];
        for (agent, row) in &self.rows {
            let Some(view) = &row.view else { continue };
            let report = &view.report;
            let is_member = report.group == own.group && report.epoch == own.epoch;
            if let Some(slot) = ranks.get_mut(usize::from(report.rank))
                && is_member
                && report.rank != own.rank
            {
                *slot = Some((*agent, row.clone()));
            }
        }
        ranks
    }
}
