//! The concurrency limit of a group of ranks, and this entry's share of it.

use crate::prelude::*;

use super::start_limit::StartLimit;

/// The weight of a new sample in the moving average of pauses between events.
const PAUSE_WEIGHT: f64 = 0.04;

/// The fraction of a stream's allowed pause that the limit steers the average pause to, so that
/// single longer passes still stay within the allowed pause.
const TARGET_PAUSE_RATIO: f64 = 0.75;

/// The fraction of the distance to the computed limit that one update covers.
const LIMIT_GAIN: f64 = 0.15;

/// The highest ratio of the computed limit to the current limit in one update.
const MAX_LIMIT_GROWTH: f64 = 2.0;

/// The interval between two updates of the limit.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The lower bound of the limit, as a fraction of the group's slots.
const MIN_LIMIT_RATIO: f64 = 0.25;

/// The fraction of the limit up to which entries may exceed their own share.
const SHARED_LIMIT_RATIO: f64 = 0.9;

/// The time constant of the exponential decay of the arrival rate.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// The age after which the last observed pause no longer reflects the group's speed.
const MAX_PAUSE_AGE: Duration = Duration::from_secs(1);

/// The concurrency limit of a group of ranks, adapted to the pauses between events of its streams.
///
/// All ranks run each pass together, so the pauses of any stream reflect the speed of the group.
#[derive(Debug, Default)]
pub struct GroupLimit {
    pause_s: Option<f64>,
    pause_updated_at: Option<Instant>,
    limit: Option<f64>,
    updated_at: Option<Instant>,
    demand: f64,
    demand_at: Option<Instant>,
    /// The streams of this entry that wait for their first event.
    pub starts: StartLimit,
}

/// The load of a group of ranks, as known to an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// The total slots of all ranks.
    pub slots: u32,
    /// The running streams of all entries.
    pub running: u32,
    /// The running streams of this entry.
    pub own: u32,
    /// The demand of the other entries, in requests per second.
    pub peer_demand: f64,
    /// The shortest time of a pass, which load shedding can't reduce: that of the slowest rank
    /// without any work.
    pub min_pass: Duration,
}

/// Whether a stream may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmitDecision {
    /// The stream may begin.
    Admit,
    /// The group is at its limit; holds the time after which the caller should retry.
    Full(Duration),
    /// The stream would not begin before its caller gives up; holds the time after which the caller
    /// should retry.
    Slow(Duration),
    /// The group does not serve; holds the time after which the caller should retry.
    Broken(Duration),
    /// The group forms again, probably by the given time.
    Forming(Instant),
}

impl GroupLimit {
    /// Records the pause between two events of a stream.
    pub fn observe_pause(&mut self, pause: Duration, now: Instant) {
        let pause = pause.as_secs_f64();
        let smoothed = self
            .pause_s
            .map_or(pause, |old| old + PAUSE_WEIGHT * (pause - old));
        self.pause_s = Some(smoothed);
        self.pause_updated_at = Some(now);
    }

    /// Counts an arriving request.
    pub fn observe_arrival(&mut self, now: Instant) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME_CONSTANT.as_secs_f64();
        self.demand_at = Some(now);
    }

    /// Returns the smoothed arrival rate, in requests per second.
    pub fn demand_at(&self, now: Instant) -> f64 {
        let age = self
            .demand_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.demand * (-age / DEMAND_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the average pause in seconds, or `None` if the last sample is too old.
    pub fn pause_at(&self, now: Instant) -> Option<f64> {
        let updated_at = self.pause_updated_at?;
        self.pause_s.filter(|_| now < updated_at + MAX_PAUSE_AGE)
    }

    /// Returns the number of streams that the group may run at once: all `slots` before the first
    /// update.
    pub fn limit(&self, slots: u32) -> f64 {
        self.limit.unwrap_or(f64::from(slots))
    }

    /// Moves the limit towards the number of streams at which the average pause meets its target.
    pub fn update(&mut self, load: &GroupLoad, allowed_pause: Duration, now: Instant) {
        if self.updated_at.is_some_and(|at| now < at + UPDATE_INTERVAL) {
            return;
        }
        self.updated_at = Some(now);
        let slots = f64::from(load.slots);
        let Some(pause) = self.pause_at(now) else {
            return;
        };
        let target_s = TARGET_PAUSE_RATIO * allowed_pause.as_secs_f64();
        let min_pass_s = load.min_pass.as_secs_f64();
        let limit = self.limit(load.slots);
        let computed = match min_pass_s < target_s {
            true => {
                let running = f64::from(load.running.max(1));
                running * (target_s - min_pass_s) / (pause - min_pass_s).max(1e-3)
            }
            // Shedding load can't bring the pauses down to the target, and late streams are better
            // than none.
            false => slots,
        };
        let computed = computed.min(MAX_LIMIT_GROWTH * limit);
        let moved = limit + LIMIT_GAIN * (computed - limit);
        self.limit = Some(moved.clamp(MIN_LIMIT_RATIO * slots, slots.max(1.0)));
    }

    /// Returns this entry's share of the limit: proportional to its demand, and at least one.
    pub fn own_share(&self, load: &GroupLoad, now: Instant) -> f64 {
        // At least 0.1 requests per second, so that the quotient is defined without any demand.
        let own = self.demand_at(now).max(0.1);
        let share = self.limit(load.slots) * own / (own + load.peer_demand);
        share.max(1.0)
    }

    /// Admits a stream within this entry's share, or while the group has room beyond it.
    pub fn admit(&self, load: &GroupLoad, now: Instant) -> AdmitDecision {
        if let Some(after) = self.starts.full_for(now) {
            return AdmitDecision::Slow(after);
        }
        let limit = self.limit(load.slots);
        let within_share = f64::from(load.own + 1) <= self.own_share(load, now);
        let group_has_room = f64::from(load.running + 1) <= SHARED_LIMIT_RATIO * limit;
        if within_share || group_has_room {
            return AdmitDecision::Admit;
        }
        AdmitDecision::Full(self.time_to_free_slot(load))
    }

    /// Estimates the time until one of this entry's streams ends.
    fn time_to_free_slot(&self, load: &GroupLoad) -> Duration {
        // The streams end evenly spread over their time.
        let wait = self.stream_s() / f64::from(load.own.max(1));
        Duration::from_secs_f64(wait.clamp(0.05, 0.5))
    }

    /// Estimates the time that a stream takes, in seconds.
    pub fn stream_s(&self) -> f64 {
        // A stream has about 30 events. Before the first sample, 0.08 s stands for the pause.
        30.0 * self.pause_s.unwrap_or(0.08)
    }
}
