//! Seeded traces of expert popularity.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use comfreyhead::version::expert_map::ExpertLoads;

use super::run::GroupSize;

/// The length of a trace, in minutes.
pub(super) const TRACE_MINUTES: usize = 1_440;

/// The tokens that a group processes in each layer per second.
const TOKENS_PER_SECOND: f64 = 200_000.0;

/// The Zipf exponent of popularity for all traces except the Zipf trace.
const MILD_EXPONENT: f64 = 0.6;

/// The Zipf exponent of the Zipf trace.
const ZIPF_EXPONENT: f64 = 1.0;

/// The share of all tokens that the hot expert of a layer receives at its peak.
const HOT_SHARE: f64 = 0.25;

/// The speed of the slow rank, relative to 1.0 for the others.
const SLOW_SPEED: f64 = 0.7;

/// The way in which popularity or rank speed changes over a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TraceKind {
    DailyDrift,
    SuddenSwap,
    HotExpert,
    SlowRank,
    Zipf,
}

impl TraceKind {
    pub(super) const ALL: [Self; 5] = [
        Self::DailyDrift,
        Self::SuddenSwap,
        Self::HotExpert,
        Self::SlowRank,
        Self::Zipf,
    ];

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::DailyDrift => "daily-drift",
            Self::SuddenSwap => "sudden-swap",
            Self::HotExpert => "hot-expert",
            Self::SlowRank => "slow-rank",
            Self::Zipf => "zipf",
        }
    }
}

/// The popularity of all experts over a day.
pub(super) struct DriftTrace {
    kind: TraceKind,
    size: GroupSize,
    layers: Vec<LayerDrift>,
}

/// The popularity of one layer's experts: two rankings, and a phase for each expert.
struct LayerDrift {
    first: Vec<f64>,
    second: Vec<f64>,
    phases: Vec<f64>,
    /// The expert that becomes hot in the hot-expert trace.
    hot: usize,
    /// When the second ranking replaces the first in the sudden-swap trace.
    swap_minute: usize,
}

impl DriftTrace {
    pub(super) fn new(kind: TraceKind, size: GroupSize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let exponent = match kind {
            TraceKind::Zipf => ZIPF_EXPONENT,
            _ => MILD_EXPONENT,
        };
        let layers = (0..size.shape.layers)
            .map(|_| LayerDrift {
                first: zipf_shares(usize::from(size.shape.experts), exponent, &mut rng),
                second: zipf_shares(usize::from(size.shape.experts), exponent, &mut rng),
                phases: (0..size.shape.experts)
                    .map(|_| rng.random_range(0.0..1.0))
                    .collect(),
                hot: rng.random_range(0..usize::from(size.shape.experts)),
                // The workload changes in all layers at the same time.
                swap_minute: TRACE_MINUTES / 2,
            })
            .collect();
        Self { kind, size, layers }
    }

    /// Returns the true loads at a minute.
    pub(super) fn loads(&self, minute: usize) -> ExpertLoads {
        let rates = self.layers.iter().flat_map(|layer| {
            let shares = self.shares(layer, minute);
            let total: f64 = shares.iter().sum();
            shares
                .into_iter()
                .map(move |share| (share / total * TOKENS_PER_SECOND) as f32)
        });
        ExpertLoads::new(self.size.shape.experts, rates.collect())
    }

    /// Returns the true speed of each rank at a minute.
    pub(super) fn speeds(&self, minute: usize) -> Vec<f64> {
        let mut speeds = vec![1.0; usize::from(self.size.shape.ranks)];
        if self.kind == TraceKind::SlowRank && TRACE_MINUTES / 4 <= minute {
            speeds[3] = SLOW_SPEED;
        }
        speeds
    }

    fn shares(&self, layer: &LayerDrift, minute: usize) -> Vec<f64> {
        let day = minute as f64 / TRACE_MINUTES as f64;
        match self.kind {
            TraceKind::DailyDrift | TraceKind::SlowRank | TraceKind::Zipf => layer.daily(day),
            TraceKind::SuddenSwap if layer.swap_minute <= minute => layer.second.clone(),
            TraceKind::SuddenSwap => layer.first.clone(),
            TraceKind::HotExpert => layer.with_hot_expert(day),
        }
    }
}

impl LayerDrift {
    /// Fades between two rankings over the day, each expert with its own phase.
    fn daily(&self, day: f64) -> Vec<f64> {
        let fade = |phase: f64| 0.5 - 0.5 * (std::f64::consts::TAU * (day + 0.2 * phase)).cos();
        self.first
            .iter()
            .zip(&self.second)
            .zip(&self.phases)
            .map(|((first, second), &phase)| {
                let fade = fade(phase);
                first * (1.0 - fade) + second * fade
            })
            .collect()
    }

    /// Raises one expert to `HOT_SHARE` over an hour, holds it there and lowers it again over an hour.
    fn with_hot_expert(&self, day: f64) -> Vec<f64> {
        let hours = day * 24.0;
        let rise = (hours - 6.0).clamp(0.0, 1.0) - (hours - 16.0).clamp(0.0, 1.0);
        let mut shares = self.first.clone();
        let others: f64 = shares.iter().sum::<f64>() - shares[self.hot];
        let hot = HOT_SHARE / (1.0 - HOT_SHARE) * others;
        shares[self.hot] += (hot - shares[self.hot]).max(0.0) * rise;
        shares
    }
}

fn zipf_shares(experts: usize, exponent: f64, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut shares: Vec<f64> = (1..=experts)
        .map(|place| (place as f64).powf(-exponent))
        .collect();
    for idx in (1..experts).rev() {
        shares.swap(idx, rng.random_range(0..=idx));
    }
    shares
}
