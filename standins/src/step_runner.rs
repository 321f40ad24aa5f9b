//! The step windows of an engine, each of which runs on one expert map.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// An order to run a step window on an expert map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExpertMapOrder {
    /// The fencing number of the leader that sent the order.
    pub fencing_number: u64,
    /// The number of the step window.
    pub window: u64,
    /// The expert map, as sent in the order.
    pub map: Value,
}

/// A window that has started.
#[derive(Clone, Debug)]
struct StartedWindow {
    order: ExpertMapOrder,
    at: Instant,
}

/// An expert map whose experts for one rank are loaded.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct LoadedMap {
    rank: usize,
    map: Value,
}

/// The step windows of an engine: one runs, and one may be queued after it.
#[derive(Debug)]
pub(crate) struct StepRunner {
    window_time: Duration,
    min_fencing_number: u64,
    running: Option<StartedWindow>,
    queued: Option<ExpertMapOrder>,
    loaded: Vec<LoadedMap>,
    /// The tokens per second of each expert of each layer, summed over the group.
    rates: Vec<Vec<f64>>,
    started: Vec<ExpertMapOrder>,
}

impl StepRunner {
    /// Creates a runner whose windows last `window_time`.
    pub(crate) fn new(window_time: Duration) -> Self {
        Self {
            window_time,
            min_fencing_number: 0,
            running: None,
            queued: None,
            loaded: Vec::new(),
            rates: Vec::new(),
            started: Vec::new(),
        }
    }

    /// Clears the windows, the loaded maps and the minimum fencing number, as a crash does.
    pub(crate) fn crash(&mut self) {
        let started = std::mem::take(&mut self.started);
        let rates = std::mem::take(&mut self.rates);
        *self = Self {
            started,
            rates,
            ..Self::new(self.window_time)
        };
    }

    /// Starts the ordered window, or queues it when a window already runs.
    pub(crate) fn order(
        &mut self,
        order: ExpertMapOrder,
        checks_fencing: bool,
    ) -> Result<(), &'static str> {
        if checks_fencing && order.fencing_number < self.min_fencing_number {
            return Err("old fencing number");
        }
        self.advance(Instant::now());
        self.min_fencing_number = self.min_fencing_number.max(order.fencing_number);
        if self.running.is_none() {
            self.start(order, Instant::now());
        } else {
            self.queued = Some(order);
        }
        Ok(())
    }

    /// Raises the minimum fencing number for later orders.
    pub(crate) fn fence(&mut self, fencing_number: u64) {
        self.min_fencing_number = self.min_fencing_number.max(fencing_number);
    }

    /// Records that the experts of a map are loaded.
    pub(crate) fn load(&mut self, map: LoadedMap) {
        if !self.loaded.contains(&map) {
            self.loaded.push(map);
        }
    }

    /// Removes the loaded maps with this number.
    pub(crate) fn drop_map(&mut self, number: u64) {
        self.loaded.retain(|loaded| loaded.map["number"] != number);
    }

    /// Returns the running window, the queued window and the loaded maps.
    pub(crate) fn report(&mut self) -> Value {
        self.advance(Instant::now());
        let running = self.running.as_ref().map(|started| &started.order);
        let loaded: Vec<&Value> = self.loaded.iter().map(|loaded| &loaded.map).collect();
        json!({ "running": running, "queued": self.queued, "loaded": loaded })
    }

    /// Sets the tokens per second of each expert of each layer, summed over the group.
    pub(crate) fn set_rates(&mut self, rates: Vec<Vec<f64>>) {
        self.rates = rates;
    }

    /// Returns the loads of the experts that the running map places on this rank.
    pub(crate) fn loads(&mut self) -> Value {
        self.advance(Instant::now());
        let number = self
            .running
            .as_ref()
            .map(|started| &started.order.map["number"]);
        let loaded = self
            .loaded
            .iter()
            .find(|loaded| Some(&loaded.map["number"]) == number);
        let samples = loaded.map_or_else(Vec::new, |loaded| loaded.samples(&self.rates));
        let n_tokens: u64 = samples
            .iter()
            .filter_map(|sample| sample["tokens"].as_u64())
            .sum();
        // The rank is busy for one millisecond per ten tokens.
        json!({ "interval_ms": 1_000, "busy_ms": n_tokens.div_ceil(10), "samples": samples })
    }

    /// Returns the orders of all windows started, in order.
    pub(crate) fn started(&mut self) -> Vec<ExpertMapOrder> {
        self.advance(Instant::now());
        self.started.clone()
    }

    /// Starts the queued window once the running one has ended.
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

impl LoadedMap {
    /// Returns the load of each expert of this rank over one second.
    fn samples(&self, rates: &[Vec<f64>]) -> Vec<Value> {
        let shape = &self.map["shape"];
        let size = |field: &str| shape[field].as_u64().unwrap_or(0) as usize;
        let (n_ranks, n_slots) = (size("ranks"), size("slots_per_rank"));
        let slots: Vec<usize> = self.map["slots"]
            .as_array()
            .map(|slots| {
                slots
                    .iter()
                    .filter_map(Value::as_u64)
                    .map(|slot| slot as usize)
                    .collect()
            })
            .unwrap_or_default();
        let mut samples = Vec::new();
        for (layer, slots) in slots.chunks(n_ranks * n_slots).enumerate() {
            for expert in slots.iter().skip(self.rank * n_slots).take(n_slots) {
                let Some(rate) = rates.get(layer).and_then(|rates| rates.get(*expert)) else {
                    continue;
                };
                let replicas = slots.iter().filter(|slot| *slot == expert).count();
                let tokens = (rate / replicas as f64) as u64;
                samples.push(json!({
                    "layer": layer, "expert": expert, "replicas": replicas, "tokens": tokens,
                }));
            }
        }
        samples
    }
}
