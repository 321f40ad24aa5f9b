//! The last known state of a group's other ranks, as its leader sees it.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::expert::{RankReport, RankView};
use crate::peers::RankState;
use crate::prelude::*;

/// The last known state of a group's other ranks, by the address of their agents.
#[derive(Debug, Default)]
pub(super) struct LeaderTable {
    rows: HashMap<SocketAddr, LeaderRow>,
}

/// The last known state of one target and its agent.
#[derive(Clone, Debug)]
pub(super) struct LeaderRow {
    /// The target's address.
    pub(super) target: SocketAddr,
    /// The last report.
    pub(super) view: Option<RankView>,
    /// The time of the last answer to a query.
    pub(super) answered_at: Option<Instant>,
    /// The version of the map in force at the rank, and the experts that it holds by set.
    pub(super) held: Option<(u64, Arc<Vec<Vec<u16>>>)>,
    /// The sum of the windows of expert counts that the agent reported.
    pub(super) counts: Arc<Vec<u32>>,
    /// The time of the last order to the agent.
    pub(super) sent_at: Option<Instant>,
    /// The number of orders since the agent's last message.
    pub(super) n_unanswered: u32,
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
                answered_at: None,
                held: None,
                counts: Arc::default(),
                sent_at: None,
                n_unanswered: 0,
            });
        }
    }

    /// Records the state that an agent reports of its rank.
    pub(super) fn record_state(&mut self, agent: SocketAddr, state: RankState, now: Instant) {
        let Some(row) = self.rows.get_mut(&agent) else {
            return;
        };
        if let Some(details) = state.details {
            row.answered_at = Some(now);
            row.held = Some((state.report.version, details.held.into()));
            add_window(&mut row.counts, &details.window);
        }
        row.view = Some(RankView {
            // The agent read the report after the last order was sent, or within one round trip.
            asked_at: now,
            report: state.report,
            life: state.life,
            verdict: state.verdict,
        });
        row.n_unanswered = 0;
    }

    /// Records a report that the leader read from a target directly.
    pub(super) fn record_report(&mut self, agent: SocketAddr, report: RankReport, now: Instant) {
        if let Some(row) = self.rows.get_mut(&agent) {
            row.view = Some(RankView {
                asked_at: now,
                report,
                life: row.view.as_ref().map_or(0, |view| view.life),
                verdict: None,
            });
        }
    }

    /// Counts an order to an agent and returns the orders since its last message; `None` if the
    /// agent is unknown or the previous order was sent less than `interval` ago.
    pub(super) fn count_order(
        &mut self,
        agent: SocketAddr,
        interval: Duration,
        now: Instant,
    ) -> Option<u32> {
        let row = self.rows.get_mut(&agent)?;
        if row.sent_at.is_some_and(|at| now < at + interval) {
            return None;
        }
        row.sent_at = Some(now);
        row.n_unanswered += 1;
        Some(row.n_unanswered)
    }

    /// Returns the agents of all targets, each with the rank that it last reported for an epoch of
    /// the group.
    pub(super) fn agents(&self, epoch: u64) -> Vec<(SocketAddr, Option<u16>)> {
        let rank = |row: &LeaderRow| {
            let report = &row.view.as_ref()?.report;
            (report.epoch == epoch).then_some(report.rank)
        };
        self.rows
            .iter()
            .map(|(agent, row)| (*agent, rank(row)))
            .collect()
    }

    /// Returns the rows of a group's ranks, by rank; `None` for the leader's own rank and for ranks
    /// that have not reported.
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

/// Adds a window of expert counts to a rank's sums; an empty window adds nothing.
pub(super) fn add_window(counts: &mut Arc<Vec<u32>>, window: &[u32]) {
    if window.is_empty() {
        return;
    }
    let counts = Arc::make_mut(counts);
    counts.resize(window.len(), 0);
    for (count, chosen) in counts.iter_mut().zip(window) {
        // The sum wraps after many hours; the window in which it wraps counts as empty.
        *count = count.wrapping_add(*chosen);
    }
}
