//! Runs the policies over a trace.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use comfreyhead::prelude::Timestamp;
use comfreyhead::version::expert_map::{
    ExpertLoads, ExpertMap, LoadReport, LoadSample, MapNumber, MapShape, PopularityTable,
    place_experts,
};

use super::policy::PolicyKind;
use super::trace::{DriftTrace, TRACE_MINUTES, TraceKind};

/// The number of traces that are measured in parallel.
pub(super) const PARALLEL_RUNS: usize = 4;

/// The minutes between two plans.
const ROUND_MINUTES: usize = 10;

/// The minutes between two samples of a trace, and between two reports of a rank; a report arrives
/// one sample late.
pub(super) const SAMPLE_MINUTES: usize = 2;

/// The seconds between two samples.
const SAMPLE_SECONDS: f64 = SAMPLE_MINUTES as f64 * 60.0;

/// The share of reports that are lost.
const LOST_REPORT_SHARE: f64 = 0.1;

/// The standard deviation of a reported count, relative to the count.
const REPORT_NOISE: f64 = 0.05;

/// The time in which the weight of a sample decays by a factor of e.
const TIME_CONSTANT: Duration = Duration::from_secs(300);

/// The seed of traces and reports.
const SEED: u64 = 8;

/// The map shape of a group and the size of each of its experts.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupSize {
    pub(super) shape: MapShape,
    pub(super) expert_bytes: u64,
}

impl GroupSize {
    pub(super) fn all() -> [Self; 2] {
        let small = MapShape {
            ranks: 16,
            experts: 64,
            layers: 12,
            slots_per_rank: 5,
        };
        let large = MapShape {
            ranks: 64,
            experts: 256,
            layers: 12,
            slots_per_rank: 5,
        };
        [
            Self {
                shape: small,
                expert_bytes: 24_000_000,
            },
            Self {
                shape: large,
                expert_bytes: 44_000_000,
            },
        ]
    }
}

/// The outcome of a policy over a trace.
pub(super) struct PolicyOutcome {
    pub(super) policy: &'static str,
    /// The skew at each sample if the ranks synchronize after each layer.
    pub(super) skews: Vec<f64>,
    /// The slowest rank's time, summed over all layers and divided by the mean, at each sample.
    pub(super) rank_skews: Vec<f64>,
    /// The cumulative number of moved bytes at each sample.
    pub(super) bytes: Vec<u64>,
    pub(super) moves: u64,
    /// The largest number of expert loads in one map switch.
    pub(super) most_moves: u64,
    pub(super) plan_times: Vec<Duration>,
}

/// The outcomes of all policies over one trace.
pub(super) struct TraceRun {
    pub(super) size: GroupSize,
    pub(super) trace: TraceKind,
    pub(super) outcomes: Vec<PolicyOutcome>,
    /// The mean over the trace of a lower bound on the skew of any map.
    pub(super) lower_bound: f64,
}

impl TraceRun {
    pub(super) fn measure(size: GroupSize, kind: TraceKind, policies: &[PolicyKind]) -> Self {
        let trace = DriftTrace::new(kind, size, SEED);
        let first = first_map(size, &trace);
        let mut runs: Vec<PolicyRun> = policies
            .iter()
            .map(|policy| PolicyRun::new(policy, size, &first))
            .collect();
        let mut bounds = Vec::new();
        for minute in (0..TRACE_MINUTES).step_by(SAMPLE_MINUTES) {
            let loads = trace.loads(minute);
            let speeds = trace.speeds(minute);
            bounds.push(skew_bound(size.shape, &loads, &speeds));
            for run in &mut runs {
                run.run_sample(minute, &loads, &speeds);
            }
        }
        let outcomes = runs.into_iter().map(|run| run.outcome).collect();
        let lower_bound = bounds.iter().sum::<f64>() / bounds.len() as f64;
        Self {
            size,
            trace: kind,
            outcomes,
            lower_bound,
        }
    }
}

/// Returns the initial map of all policies, placed for the loads at the start of the trace.
fn first_map(size: GroupSize, trace: &DriftTrace) -> ExpertMap {
    let even = vec![1.0; usize::from(size.shape.ranks)];
    place_experts(MapNumber(1), size.shape, &trace.loads(0), &even).expect("the shape is valid")
}

/// Returns a lower bound on the skew of any map: a replica's load is at least the load of its
/// expert divided by the number of ranks, or by the number of spare slots plus one, and no rank
/// processes it faster than the fastest one.
fn skew_bound(shape: MapShape, loads: &ExpertLoads, speeds: &[f64]) -> f64 {
    let spare = shape.slots_per_layer() - usize::from(shape.experts);
    let most_replicas = (spare + 1).min(usize::from(shape.ranks)) as f64;
    let fastest = speeds.iter().copied().fold(0.0, f64::max);
    let mut slowest = 0.0;
    let mut total = 0.0;
    for layer in 0..shape.layers {
        let rates = loads.layer(layer);
        let ideal = rates.iter().copied().map(f64::from).sum::<f64>() / speeds.iter().sum::<f64>();
        let hottest = rates.iter().copied().map(f64::from).fold(0.0, f64::max);
        slowest += ideal.max(hottest / most_replicas / fastest);
        total += ideal;
    }
    slowest / total
}

/// The state of one policy during its run over a trace.
struct PolicyRun<'a> {
    policy: &'a PolicyKind,
    size: GroupSize,
    map: ExpertMap,
    table: PopularityTable,
    rng: ChaCha8Rng,
    delayed_reports: Vec<LoadReport>,
    outcome: PolicyOutcome,
}

impl<'a> PolicyRun<'a> {
    fn new(policy: &'a PolicyKind, size: GroupSize, first: &ExpertMap) -> Self {
        let outcome = PolicyOutcome {
            policy: policy.name(),
            skews: Vec::new(),
            rank_skews: Vec::new(),
            bytes: Vec::new(),
            moves: 0,
            most_moves: 0,
            plan_times: Vec::new(),
        };
        Self {
            policy,
            size,
            map: first.clone(),
            table: PopularityTable::new(size.shape, TIME_CONSTANT),
            rng: ChaCha8Rng::seed_from_u64(SEED),
            delayed_reports: Vec::new(),
            outcome,
        }
    }

    fn run_sample(&mut self, minute: usize, loads: &ExpertLoads, speeds: &[f64]) {
        if 0 < minute && minute.is_multiple_of(ROUND_MINUTES) {
            self.plan();
        }
        self.outcome.skews.push(self.map.skew(loads, speeds));
        self.outcome
            .rank_skews
            .push(rank_skew(&self.map, loads, speeds));
        self.outcome
            .bytes
            .push(self.outcome.moves * self.size.expert_bytes);
        if matches!(self.policy, PolicyKind::None) {
            return;
        }
        // A report is either lost or arrives one sample late.
        for report in std::mem::take(&mut self.delayed_reports) {
            self.table.on_report(&report);
        }
        for rank in 0..self.size.shape.ranks {
            let report = self.report(minute, rank, loads, speeds);
            if LOST_REPORT_SHARE <= self.rng.random_range(0.0..1.0) {
                self.delayed_reports.push(report);
            }
        }
    }

    fn plan(&mut self) {
        let loads = self.table.loads();
        let speeds = self.table.speeds();
        let start = Instant::now();
        let next = self
            .policy
            .next_map(&self.map, &loads, &speeds, self.size.expert_bytes);
        self.outcome.plan_times.push(start.elapsed());
        if let Some(next) = next {
            let moves = next.moves_from(&self.map).len() as u64;
            self.outcome.moves += moves;
            self.outcome.most_moves = self.outcome.most_moves.max(moves);
            self.map = next;
        }
    }

    fn report(
        &mut self,
        minute: usize,
        rank: u16,
        loads: &ExpertLoads,
        speeds: &[f64],
    ) -> LoadReport {
        let mut samples = Vec::with_capacity(self.size.shape.slots_of_rank());
        let mut tokens_total = 0.0;
        for layer in 0..self.size.shape.layers {
            let replicas = self.map.replicas(layer);
            for expert in self.map.experts_of(layer, rank) {
                let replicas = replicas[usize::from(expert)];
                let rate = f64::from(loads.layer(layer)[usize::from(expert)]);
                let tokens = rate * SAMPLE_SECONDS / f64::from(replicas) * noise(&mut self.rng);
                tokens_total += tokens;
                samples.push(LoadSample {
                    layer,
                    expert,
                    replicas,
                    tokens: tokens as u32,
                });
            }
        }
        LoadReport {
            rank,
            until: Timestamp::from_millis(minute as u64 * 60_000),
            interval_ms: SAMPLE_MINUTES as u32 * 60_000,
            busy_ms: busy_ms(tokens_total, speeds[usize::from(rank)], self.size.shape),
            samples,
        }
    }
}

/// Returns a noise factor around 1; a sum of four uniform numbers approximates a normal one.
fn noise(rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..4).map(|_| rng.random_range(-1.0..1.0)).sum();
    1.0 + REPORT_NOISE * sum * (3.0_f64 / 4.0).sqrt()
}

/// Returns the busy time for `tokens`, in milliseconds: a rank of speed 1 is busy for half of the
/// sample interval if all ranks have the same load.
fn busy_ms(tokens: f64, speed: f64, shape: MapShape) -> u32 {
    // The traces have 200,000 tokens per second in each layer.
    let even_tokens = 200_000.0 * SAMPLE_SECONDS * f64::from(shape.layers) / f64::from(shape.ranks);
    (tokens / even_tokens * SAMPLE_SECONDS * 500.0 / speed) as u32
}

/// Returns the slowest rank's time, summed over all layers, divided by the mean of all ranks.
fn rank_skew(map: &ExpertMap, loads: &ExpertLoads, speeds: &[f64]) -> f64 {
    let mut totals = vec![0.0; speeds.len()];
    for layer in 0..map.shape().layers {
        for (total, time) in totals.iter_mut().zip(map.layer_times(layer, loads, speeds)) {
            *total += time;
        }
    }
    let slowest = totals.iter().copied().fold(0.0, f64::max);
    slowest * totals.len() as f64 / totals.iter().sum::<f64>()
}
