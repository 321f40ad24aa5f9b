//! The assignment of experts to ranks.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::expert_loads::ExpertLoads;
use super::expert_move::ExpertMove;
use super::map_number::{MapId, MapNumber};
use super::map_shape::{ExpertId, MapShape, RankId};

/// The assignment of experts, with their replicas, to ranks.
///
/// The tokens of an expert are split evenly among its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    number: MapNumber,
    shape: MapShape,
    slots: Vec<ExpertId>,
}

impl ExpertMap {
    /// Marks a slot without an expert.
    pub const EMPTY_SLOT: ExpertId = ExpertId::MAX;

    /// Creates a map that assigns the experts, and then replicas in the spare slots, round-robin.
    pub fn round_robin(number: MapNumber, shape: MapShape) -> Result<Self> {
        shape.validate()?;
        let ranks = usize::from(shape.ranks);
        let experts = usize::from(shape.experts);
        let layer_slots: Vec<ExpertId> = (0..shape.slots_per_layer())
            .map(|slot_idx| {
                let rank = slot_idx / usize::from(shape.slots_per_rank);
                let slot = slot_idx % usize::from(shape.slots_per_rank);
                let position = slot * ranks + rank;
                // The shift puts extra replicas on other ranks than the first ones.
                ((position + position / experts) % experts) as ExpertId
            })
            .collect();
        let slots = layer_slots.repeat(usize::from(shape.layers));
        let mut map = Self {
            number,
            shape,
            slots,
        };
        map.clear_duplicates();
        Ok(map)
    }

    /// Creates a map from the slots of all layers, rank by rank.
    ///
    /// Returns an error if the map is not valid; see [`Self::validate`].
    pub fn from_slots(number: MapNumber, shape: MapShape, slots: Vec<ExpertId>) -> Result<Self> {
        shape.validate()?;
        let map = Self {
            number,
            shape,
            slots,
        };
        map.validate()?;
        Ok(map)
    }

    /// Returns an error if the number of slots is wrong, or an expert is on no rank, unknown, or
    /// twice on one rank.
    pub fn validate(&self) -> Result<()> {
        let expected = usize::from(self.shape.layers) * self.shape.slots_per_layer();
        if self.slots.len() != expected {
            let reason = format!(
                "map {}: {} slots, not {expected}",
                self.number,
                self.slots.len()
            );
            return Err(Error::Invalid(reason));
        }
        for layer in 0..self.shape.layers {
            self.validate_layer(layer)?;
        }
        Ok(())
    }

    /// Returns the number of the map.
    pub fn number(&self) -> MapNumber {
        self.number
    }

    /// Returns the number of the map together with a hash of the placement.
    pub fn id(&self) -> MapId {
        let bytes: Vec<u8> = self
            .slots
            .iter()
            .flat_map(|expert| expert.to_le_bytes())
            .collect();
        let digest = xxhash_rust::xxh3::xxh3_64(&bytes);
        MapId {
            number: self.number,
            digest,
        }
    }

    /// Returns the same placement under another number, to return to an earlier map.
    pub fn renumbered(&self, number: MapNumber) -> Self {
        Self {
            number,
            ..self.clone()
        }
    }

    /// Returns the dimensions of the map.
    pub fn shape(&self) -> MapShape {
        self.shape
    }

    /// Returns the slots of one layer, rank by rank.
    pub fn layer(&self, layer: u16) -> &[ExpertId] {
        let len = self.shape.slots_per_layer();
        let start = usize::from(layer) * len;
        &self.slots[start..start + len]
    }

    /// Returns the experts that a rank holds in one layer.
    pub fn experts_of(&self, layer: u16, rank: RankId) -> impl Iterator<Item = ExpertId> + '_ {
        let len = usize::from(self.shape.slots_per_rank);
        let start = usize::from(rank) * len;
        let slots = &self.layer(layer)[start..start + len];
        slots
            .iter()
            .copied()
            .filter(|&expert| expert != Self::EMPTY_SLOT)
    }

    /// Returns the ranks that hold an expert of one layer.
    pub fn ranks_of(&self, layer: u16, expert: ExpertId) -> SmallVec<[RankId; 4]> {
        (0..self.shape.ranks)
            .filter(|&rank| self.experts_of(layer, rank).any(|held| held == expert))
            .collect()
    }

    /// Returns the number of replicas of each expert of one layer.
    pub fn replicas(&self, layer: u16) -> Vec<u16> {
        let mut replicas = vec![0; usize::from(self.shape.experts)];
        for &expert in self.layer(layer) {
            if expert != Self::EMPTY_SLOT {
                replicas[usize::from(expert)] += 1;
            }
        }
        replicas
    }

    /// Returns the experts that the ranks must load to switch from `earlier` to this map.
    pub fn moves_from(&self, earlier: &Self) -> Vec<ExpertMove> {
        let mut moves = Vec::new();
        for layer in 0..self.shape.layers {
            for rank in 0..self.shape.ranks {
                let added = self
                    .experts_of(layer, rank)
                    .filter(|&expert| !earlier.experts_of(layer, rank).any(|held| held == expert));
                moves.extend(added.map(|expert| ExpertMove {
                    rank,
                    layer,
                    expert,
                }));
            }
        }
        moves
    }

    /// Returns the relative time of each rank in a layer: its tokens a second over its speed.
    pub fn layer_times(&self, layer: u16, loads: &ExpertLoads, speeds: &[f64]) -> Vec<f64> {
        let replicas = self.replicas(layer);
        let rates = loads.layer(layer);
        let share = |expert: ExpertId| {
            let expert = usize::from(expert);
            f64::from(rates[expert]) / f64::from(replicas[expert])
        };
        (0..self.shape.ranks)
            .zip(speeds)
            .map(|(rank, speed)| self.experts_of(layer, rank).map(share).sum::<f64>() / speed)
            .collect()
    }

    /// Returns the step-time skew: the slowest rank's time, summed over the layers because all
    /// ranks wait for each other in each layer, over the mean rank time. The minimum is 1.0.
    pub fn skew(&self, loads: &ExpertLoads, speeds: &[f64]) -> f64 {
        let mut slowest = 0.0;
        let mut mean = 0.0;
        for layer in 0..self.shape.layers {
            let times = self.layer_times(layer, loads, speeds);
            slowest += times.iter().copied().fold(0.0, f64::max);
            mean += times.iter().sum::<f64>() / times.len() as f64;
        }
        if mean <= 0.0 { 1.0 } else { slowest / mean }
    }

    fn validate_layer(&self, layer: u16) -> Result<()> {
        let known = |expert: ExpertId| expert < self.shape.experts;
        let fail = |reason: &str| {
            let reason = format!("map {}: layer {layer}: {reason}", self.number);
            Err(Error::Invalid(reason))
        };
        for rank in 0..self.shape.ranks {
            let mut held: SmallVec<[ExpertId; 16]> = self.experts_of(layer, rank).collect();
            if !held.iter().copied().all(known) {
                return fail("unknown expert");
            }
            held.sort_unstable();
            if held.windows(2).any(|pair| pair[0] == pair[1]) {
                return fail("expert twice on one rank");
            }
        }
        if self.replicas(layer).contains(&0) {
            return fail("expert on no rank");
        }
        Ok(())
    }

    /// Empties the slots with an expert that an earlier slot of the same rank already holds.
    fn clear_duplicates(&mut self) {
        let len = usize::from(self.shape.slots_per_rank);
        for slots in self.slots.chunks_mut(len) {
            for slot_idx in 1..len {
                if slots[..slot_idx].contains(&slots[slot_idx]) {
                    slots[slot_idx] = Self::EMPTY_SLOT;
                }
            }
        }
    }
}
