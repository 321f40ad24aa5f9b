//! Who tells the entries of other data centres how one data centre stands.
//!
//! Each entry tells those of its own data centre several times a second what it does. Across data
//! centres one entry speaks for all of its own, so that what an entry sends and hears grows with
//! its data centre, not with the fleet.

use std::collections::BTreeMap;

use crate::prelude::*;

use super::message::{PeerHeartbeat, StoreTopic, TopicPosition};
use super::peer_table::PeerTable;

impl PeerTable {
    /// Returns whether an entry speaks for its data centre: it has the lowest name of those that
    /// it hears there and that are not stopping.
    pub fn represents_zone(&self, own: &PeerHeartbeat, now: Instant) -> bool {
        let lower = |beat: &PeerHeartbeat| beat.sender < own.sender && !beat.draining;
        !own.draining && !self.zone_beats(own, now).any(|(_, beat)| lower(beat))
    }

    /// Returns what the speaker of a data centre tells: its own beat with the sums of all.
    pub fn zone_heartbeat(&self, own: &PeerHeartbeat, now: Instant) -> PeerHeartbeat {
        let mut running: BTreeMap<u32, u16> = own.running.iter().copied().collect();
        let mut demand: BTreeMap<u32, f32> = own.demand.iter().copied().collect();
        for (_, beat) in self.zone_beats(own, now) {
            for (target, n_running) in &beat.running {
                let sum = running.entry(*target).or_default();
                *sum = sum.saturating_add(*n_running);
            }
            for (service, rate) in &beat.demand {
                *demand.entry(*service).or_default() += rate;
            }
        }
        PeerHeartbeat {
            for_zone: true,
            operator: self.zone_position(StoreTopic::Operator, own, now),
            targets: self.zone_position(StoreTopic::Targets, own, now),
            running: running.into_iter().collect(),
            demand: demand.into_iter().collect(),
            ..own.clone()
        }
    }

    /// Returns how far the speaker knows a topic. What a neighbour confirmed with the store holds
    /// for the speaker as well where the neighbour knew of no later change.
    fn zone_position(&self, topic: StoreTopic, own: &PeerHeartbeat, now: Instant) -> TopicPosition {
        let own_position = own.position(topic).unwrap_or_default();
        let ages = self.zone_beats(own, now).filter_map(|(at, beat)| {
            let position = beat.position(topic)?;
            let waited = now.saturating_duration_since(at).as_millis();
            let age = position
                .age_ms
                .saturating_add(u32::try_from(waited).unwrap_or(u32::MAX));
            (position.changed_end <= own_position.changed_end).then_some(age)
        });
        TopicPosition {
            age_ms: ages.min().unwrap_or(u32::MAX).min(own_position.age_ms),
            ..own_position
        }
    }

    fn zone_beats<'a>(
        &'a self,
        own: &'a PeerHeartbeat,
        now: Instant,
    ) -> impl Iterator<Item = (Instant, &'a PeerHeartbeat)> {
        self.heard(now)
            .filter(|(_, _, beat)| beat.zone == own.zone && !beat.for_zone)
            .map(|(_, at, beat)| (at, beat))
    }
}
