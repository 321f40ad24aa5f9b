//! One route of a configuration version.

use crate::prelude::*;

/// One route of a configuration version.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// The route's name.
    pub name: Arc<str>,
    /// The prefix of the paths that the route matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a call may run more than once.
    pub kind: CallKind,
    /// The longest time for which a caller waits.
    pub timeout: Duration,
    /// The latency objective: the time to the response, or to the first event of a stream.
    pub objective: Duration,
    /// The most targets that may run one call.
    pub attempts: u32,
    /// The priority of the route's calls; 0 is the highest.
    pub priority: u8,
    /// Whether the route needs no key.
    pub public: bool,
    /// The services that the calls are distributed over, with their weights.
    pub backends: SmallVec<[Backend; 2]>,
    /// The latency objective of a stream: the longest pause between two events.
    pub pause: Option<Duration>,
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The name of the service.
    pub service: Arc<str>,
    /// The share, relative to those of the route's other services.
    pub weight: f64,
}

/// The shortest time without an event after which callers give up a stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// The number of latency objectives and of allowed pauses after which they do, if that is longer.
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

impl RouteSpec {
    /// Returns the time without an event after which callers give up a stream.
    pub fn patience(&self) -> Duration {
        let pause = self.pause.unwrap_or_default();
        MIN_PATIENCE
            .max(self.objective * PATIENCE_OBJECTIVES)
            .max(pause * PATIENCE_PAUSES)
    }

    /// Returns the service for a random number from `0.0..1.0`; `None` where all weights are zero.
    pub fn pick_service(&self, random: f64) -> Option<&Arc<str>> {
        let total: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = random * total;
        let weighted = self.backends.iter().filter(|backend| 0.0 < backend.weight);
        let mut last = None;
        for backend in weighted {
            last = Some(&backend.service);
            left -= backend.weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
