//! How many streams a group of ranks may run at once, and the part of them of this entry.

use crate::prelude::*;

/// The weight of one pause between events in the smoothed pause.
const PAUSE_WEIGHT: f64 = 0.04;

/// The part of a stream's allowed pause that the smoothed pause is steered to, so that single
/// longer passes stay within it.
const PAUSE_TARGET: f64 = 0.75;

/// The part of the way to the computed limit that one update goes.
const LIMIT_STEP: f64 = 0.15;

/// The factor by which one update may see the limit too low.
const MOST_GROWTH: f64 = 2.0;

/// The time between two updates of the limit.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// The least part of a group's slots that the limit falls to.
const LEAST_PART: f64 = 0.25;

/// The part of the limit up to which entries may go beyond their own share.
const SHARED_PART: f64 = 0.9;

/// The time over which the rate of arrivals is smoothed.
const DEMAND_TIME: Duration = Duration::from_secs(2);

/// The age at which the last seen pause no longer tells the group's speed.
const PAUSE_AGE: Duration = Duration::from_secs(1);

/// How many streams a group of ranks may run at once, from the pauses between events that streams
/// show: all ranks run each pass together, so any stream shows the group's speed.
#[derive(Debug, Default)]
pub struct GroupLimit {
    pause_s: Option<f64>,
    pause_seen_at: Option<Instant>,
    limit: Option<f64>,
    updated_at: Option<Instant>,
    demand: f64,
    demand_at: Option<Instant>,
}

/// The load of a group of ranks, as an entry knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// The slots of all ranks.
    pub slots: u32,
    /// The streams of all entries in progress.
    pub running: u32,
    /// The streams of this entry in progress.
    pub own: u32,
    /// The demand of the other entries, in requests a second.
    pub peer_demand: f64,
    /// The time of a pass that no shedding shortens: that of the slowest rank without any work.
    pub least_pass: Duration,
}

/// Whether a stream may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmitDecision {
    /// It may begin.
    Admit,
    /// There is no room now; the time after which there may be.
    Full(Duration),
    /// The group does not serve; the time after which it may.
    Broken(Duration),
}

impl GroupLimit {
    /// Takes in the pause between two events of a stream.
    pub fn observe_pause(&mut self, pause: Duration, now: Instant) {
        let pause = pause.as_secs_f64();
        let smoothed = self
            .pause_s
            .map_or(pause, |old| old + PAUSE_WEIGHT * (pause - old));
        self.pause_s = Some(smoothed);
        self.pause_seen_at = Some(now);
    }

    /// Counts an arrival.
    pub fn observe_arrival(&mut self, now: Instant) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = Some(now);
    }

    /// Returns the smoothed rate of arrivals, in requests a second.
    pub fn demand_at(&self, now: Instant) -> f64 {
        let age = self
            .demand_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.demand * (-age / DEMAND_TIME.as_secs_f64()).exp()
    }

    /// Returns the smoothed pause, where streams show one now.
    pub fn pause_at(&self, now: Instant) -> Option<f64> {
        let seen_at = self.pause_seen_at?;
        self.pause_s.filter(|_| now < seen_at + PAUSE_AGE)
    }

    /// Returns the streams that the group may run at once.
    pub fn limit(&self, slots: u32) -> f64 {
        self.limit.unwrap_or(f64::from(slots))
    }

    /// Moves the limit towards the number of streams at which pauses meet their target.
    pub fn update(&mut self, load: &GroupLoad, allowed_pause: Duration, now: Instant) {
        if self.updated_at.is_some_and(|at| now < at + UPDATE_PERIOD) {
            return;
        }
        self.updated_at = Some(now);
        let slots = f64::from(load.slots);
        let Some(pause) = self.pause_at(now) else {
            return;
        };
        let target = PAUSE_TARGET * allowed_pause.as_secs_f64();
        let least = load.least_pass.as_secs_f64();
        let limit = self.limit(load.slots);
        let fitting = match least < target {
            true => {
                let running = f64::from(load.running.max(1));
                running * (target - least) / (pause - least).max(1e-3)
            }
            // No shedding brings the pauses down to the target: late streams are better than none.
            false => slots,
        };
        let fitting = fitting.min(MOST_GROWTH * limit);
        let moved = limit + LIMIT_STEP * (fitting - limit);
        self.limit = Some(moved.clamp(LEAST_PART * slots, slots.max(1.0)));
    }

    /// Returns this entry's share of the limit: by demand, and one at least.
    pub fn own_share(&self, load: &GroupLoad, now: Instant) -> f64 {
        let own = self.demand_at(now).max(0.1);
        let share = self.limit(load.slots) * own / (own + load.peer_demand);
        share.max(1.0)
    }

    /// Decides whether a stream may begin: within this entry's share, or while the group has room.
    pub fn admit(&self, load: &GroupLoad, now: Instant) -> AdmitDecision {
        let limit = self.limit(load.slots);
        let within_share = f64::from(load.own + 1) <= self.own_share(load, now);
        let group_has_room = f64::from(load.running + 1) <= SHARED_PART * limit;
        if within_share || group_has_room {
            return AdmitDecision::Admit;
        }
        AdmitDecision::Full(self.time_to_room(load))
    }

    /// Estimates the time until one of this entry's streams ends.
    fn time_to_room(&self, load: &GroupLoad) -> Duration {
        // An answer takes some thirty events; places free up evenly over that time.
        let stream_s = 30.0 * self.pause_s.unwrap_or(0.08);
        let wait = stream_s / f64::from(load.own.max(1));
        Duration::from_secs_f64(wait.clamp(0.05, 0.5))
    }
}
