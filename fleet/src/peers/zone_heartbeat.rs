//! The heartbeat that represents a whole data centre to the entries of the others.
//!
//! Each entry sends its state to those of its own data centre several times a second. Across data
//! centres, one entry represents all of its own, so that what an entry sends and receives grows
//! with its data centre, not with the fleet.

use std::collections::BTreeMap;

use crate::mirror::StorePosition;
use crate::prelude::*;
use crate::routing::ResultCounts;

use super::message::{PeerHeartbeat, StoreTopic, TopicPosition};
use super::peer_table::PeerTable;

impl PeerTable {
    /// Returns whether an entry represents its data centre: it is not stopping, and has the lowest
    /// name hash of the entries there that are alive and not stopping.
    pub fn represents_zone(&self, own: &PeerHeartbeat, now: Instant) -> bool {
        let is_lower =
            |heartbeat: &PeerHeartbeat| heartbeat.sender < own.sender && !heartbeat.draining;
        !own.draining
            && !self
                .zone_heartbeats(own, now)
                .any(|(_, heartbeat)| is_lower(heartbeat))
    }

    /// Returns the heartbeat for other data centres: the own one, with the sums of load and demand
    /// over the data centre.
    pub fn zone_heartbeat(&self, own: &PeerHeartbeat, now: Instant) -> PeerHeartbeat {
        let mut running: BTreeMap<u32, u16> = own.running.iter().copied().collect();
        let mut demand: BTreeMap<u32, f32> = own.demand.iter().copied().collect();
        let mut results: BTreeMap<u32, ResultCounts> = own.results.iter().copied().collect();
        for (_, heartbeat) in self.zone_heartbeats(own, now) {
            for (target, counts) in &heartbeat.results {
                results.entry(*target).or_default().add(*counts);
            }
            for (target, n_running) in &heartbeat.running {
                let sum = running.entry(*target).or_default();
                *sum = sum.saturating_add(*n_running);
            }
            for (service, rate) in &heartbeat.demand {
                *demand.entry(*service).or_default() += rate;
            }
        }
        PeerHeartbeat {
            for_zone: true,
            operator: self.zone_position(StoreTopic::Operator, own, now),
            targets: self.zone_position(StoreTopic::Targets, own, now),
            running: running.into_iter().collect(),
            demand: demand.into_iter().collect(),
            results: results.into_iter().collect(),
            ..own.clone()
        }
    }

    /// Returns the own position in a topic, with the latest confirmation of the data centre.
    ///
    /// A confirmation by another entry also holds for the own copy where that entry has read the
    /// same era, knew of no later change, and lacks no change from the end of the own copy on.
    fn zone_position(&self, topic: StoreTopic, own: &PeerHeartbeat, now: Instant) -> TopicPosition {
        let own_position = own.position(topic).unwrap_or_default();
        let own_span = own.spans.and_then(|spans| spans.span(topic));
        let own_end = StorePosition {
            era: own_position.changed_end.era,
            offset: own_span.unwrap_or_default().end,
        };
        let ages = self
            .zone_heartbeats(own, now)
            .filter(|(_, heartbeat)| heartbeat.covers(topic, own_end))
            .filter_map(|(at, heartbeat)| {
                let position = heartbeat.position(topic)?;
                let elapsed = now.saturating_duration_since(at).as_millis();
                let age = position
                    .age_ms
                    .saturating_add(u32::try_from(elapsed).unwrap_or(u32::MAX));
                let is_same_era = position.changed_end.era == own_position.changed_end.era;
                (is_same_era && position.changed_end <= own_position.changed_end).then_some(age)
            });
        TopicPosition {
            age_ms: ages.min().unwrap_or(u32::MAX).min(own_position.age_ms),
            ..own_position
        }
    }

    fn zone_heartbeats<'a>(
        &'a self,
        own: &'a PeerHeartbeat,
        now: Instant,
    ) -> impl Iterator<Item = (Instant, &'a PeerHeartbeat)> {
        self.recent_heartbeats(now)
            .filter(|(_, _, heartbeat)| heartbeat.zone == own.zone && !heartbeat.for_zone)
            .map(|(_, at, heartbeat)| (at, heartbeat))
    }
}
