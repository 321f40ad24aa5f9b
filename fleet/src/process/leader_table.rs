//! What the leader of a group knows of the other ranks.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::expert::{RankReport, RankView};
use crate::peers::RankState;
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
    /// When a question was last answered.
    pub(super) told_at: Option<Instant>,
    /// The experts that the rank holds by set, and the version of the map that says so.
    pub(super) held: Option<(u64, Arc<Vec<Vec<u16>>>)>,
    /// The sum of the windows of choices that the agent told.
    pub(super) counts: Arc<Vec<u32>>,
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
                told_at: None,
                held: None,
                counts: Arc::default(),
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
        if let Some(details) = state.details {
            row.told_at = Some(now);
            row.held = Some((state.report.version, details.held.into()));
            add_window(&mut row.counts, &details.window);
        }
        row.view = Some(RankView {
            // The report was made after the last message left, or in the time of one exchange.
            asked_at: now,
            report: state.report,
            life: state.life,
            verdict: state.verdict,
        });
        row.unanswered = 0;
    }

    /// Takes in a report that the leader read from a target itself.
    pub(super) fn read(&mut self, agent: SocketAddr, report: RankReport, now: Instant) {
        if let Some(row) = self.rows.get_mut(&agent) {
            row.view = Some(RankView {
                asked_at: now,
                report,
                life: row.view.as_ref().map_or(0, |view| view.life),
                verdict: None,
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

    /// Returns the agents of all targets, each with the rank that it last told in a formation.
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

/// Adds a window of choices to the counts of a rank; an empty window adds nothing.
pub(super) fn add_window(counts: &mut Arc<Vec<u32>>, window: &[u32]) {
    if window.is_empty() {
        return;
    }
    let counts = Arc::make_mut(counts);
    counts.resize(window.len(), 0);
    for (count, chosen) in counts.iter_mut().zip(window) {
        // The sum wraps after many hours; the window in which it does counts as empty.
        *count = count.wrapping_add(*chosen);
    }
}
