//! How an engine runs step windows, each on one expert map.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The order to run a step window on an expert map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExpertMapOrder {
    /// The fencing number of the leader that gives the order.
    pub fencing_number: u64,
    /// The step window.
    pub window: u64,
    /// The map, as the order names it.
    pub map: Value,
}

/// A window that runs, or ran.
#[derive(Clone, Debug)]
struct StartedWindow {
    order: ExpertMapOrder,
    at: Instant,
}

/// The step windows of an engine: one runs, one may wait for its end.
#[derive(Debug)]
pub(crate) struct StepRunner {
    window_time: Duration,
    floor: u64,
    running: Option<StartedWindow>,
    queued: Option<ExpertMapOrder>,
    loaded: Vec<Value>,
    started: Vec<ExpertMapOrder>,
}

impl StepRunner {
    /// Makes a runner whose windows take `window_time`.
    pub(crate) fn new(window_time: Duration) -> Self {
        Self {
            window_time,
            floor: 0,
            running: None,
            queued: None,
            loaded: Vec::new(),
            started: Vec::new(),
        }
    }

    /// Forgets what runs and what is loaded, as a crash does.
    pub(crate) fn crash(&mut self) {
        let started = std::mem::take(&mut self.started);
        *self = Self {
            started,
            ..Self::new(self.window_time)
        };
    }

    /// Takes an order for the window after the one that runs.
    pub(crate) fn order(
        &mut self,
        order: ExpertMapOrder,
        checks_fencing: bool,
    ) -> Result<(), &'static str> {
        if checks_fencing && order.fencing_number < self.floor {
            return Err("old fencing number");
        }
        self.advance(Instant::now());
        self.floor = self.floor.max(order.fencing_number);
        if self.running.is_none() {
            self.start(order, Instant::now());
        } else {
            self.queued = Some(order);
        }
        Ok(())
    }

    /// Refuses orders with a lower fencing number from now on.
    pub(crate) fn fence(&mut self, fencing_number: u64) {
        self.floor = self.floor.max(fencing_number);
    }

    /// Notes that the experts of a map are loaded.
    pub(crate) fn load(&mut self, map: Value) {
        if !self.loaded.contains(&map) {
            self.loaded.push(map);
        }
    }

    /// Drops the maps with a number.
    pub(crate) fn drop_map(&mut self, number: u64) {
        self.loaded.retain(|map| map["number"] != number);
    }

    /// Returns what runs, what waits and what is loaded.
    pub(crate) fn report(&mut self) -> Value {
        self.advance(Instant::now());
        let running = self.running.as_ref().map(|started| &started.order);
        json!({ "running": running, "queued": self.queued, "loaded": self.loaded })
    }

    /// Returns every window that was started, in order.
    pub(crate) fn started(&mut self) -> Vec<ExpertMapOrder> {
        self.advance(Instant::now());
        self.started.clone()
    }

    /// Starts the waiting window where the running one has ended.
    fn advance(&mut self, now: Instant) {
        let Some(running) = &self.running else { return };
        if now.duration_since(running.at) < self.window_time {
            return;
        }
        if let Some(queued) = self.queued.take() {
            self.start(queued, now);
        }
    }

    fn start(&mut self, order: ExpertMapOrder, at: Instant) {
        self.started.push(order.clone());
        self.running = Some(StartedWindow { order, at });
    }
}
