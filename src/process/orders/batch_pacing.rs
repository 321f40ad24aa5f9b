//! How long a record waits for others before its append.

use crate::prelude::*;

/// The share of a new append's time in the average, as a divisor.
const AVERAGE_DIVISOR: u32 = 8;

/// The share of the average by which the floor rises with each append, as a divisor.
const FLOOR_DIVISOR: u32 = 256;

/// How long a record waits for others before its append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchDelay {
    /// Always as long.
    Fixed(Duration),
    /// As the log service's answers ask for, up to a limit.
    Adaptive(Duration),
}

/// Adapts the delay of appends to how busy the log service is.
///
/// The adaptive delay is the time that appends now spend waiting in the log service: their average time
/// beyond the shortest. An idle log service is used at once; a busy one gets fewer, larger appends.
#[derive(Clone, Debug)]
pub struct BatchPacing {
    batch_delay: BatchDelay,
    floor: Option<Duration>,
    average: Duration,
}

impl BatchPacing {
    /// Creates the pacing.
    pub fn new(batch_delay: BatchDelay) -> Self {
        Self {
            batch_delay,
            floor: None,
            average: Duration::ZERO,
        }
    }

    /// Takes in the time that an append took.
    pub fn on_append(&mut self, took: Duration) {
        let Some(floor) = self.floor else {
            self.floor = Some(took);
            self.average = took;
            return;
        };
        let kept = self.average - self.average / AVERAGE_DIVISOR;
        self.average = kept + took / AVERAGE_DIVISOR;
        let risen = floor + self.average.saturating_sub(floor) / FLOOR_DIVISOR;
        self.floor = Some(risen.min(took));
    }

    /// Returns how long the oldest record of a batch waits.
    pub fn delay(&self) -> Duration {
        let floor = self.floor.unwrap_or(Duration::ZERO);
        match self.batch_delay {
            BatchDelay::Fixed(delay) => delay,
            BatchDelay::Adaptive(longest) => self.average.saturating_sub(floor).min(longest),
        }
    }
}
