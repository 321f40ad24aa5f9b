//! One route of a configuration version.

use crate::prelude::*;

/// One route of a configuration version.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// The route's name.
    pub name: Arc<str>,
    /// The start of the paths that take the route; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time to the answer, or to the first event, within which it is of full use.
    pub objective: Duration,
    /// The number of targets that may run one call.
    pub attempts: u32,
    /// The rank of the route; 0 goes first.
    pub priority: u8,
    /// Whether the route needs no key.
    pub public: bool,
    /// The services that share the calls, with their weights.
    pub backends: SmallVec<[Backend; 2]>,
    /// The longest pause between events within which a stream is on time.
    pub pause: Option<Duration>,
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The name of the service.
    pub service: Arc<str>,
    /// The share, relative to those of the route's other services.
    pub weight: u32,
}

impl RouteSpec {
    /// Returns the service for a draw from `0.0..1.0`, or `None` where no service has a weight.
    pub fn pick_service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u32 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = draw * f64::from(total);
        let weighted = self.backends.iter().filter(|backend| 0 < backend.weight);
        let mut last = None;
        for backend in weighted {
            last = Some(&backend.service);
            left -= f64::from(backend.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
