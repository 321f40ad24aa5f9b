//! Counters and latency histograms of an entry.

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::prelude::*;

/// The upper bounds of the latency buckets, in seconds; they cover the latency objectives of plain
/// calls and streams, and their deadlines.
const LATENCY_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// The upper bounds of the buckets of ages and delays of copies, in seconds; they cover the bounds on
/// configurations and on targets that leave.
const AGE_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0];

/// Counters and latency histograms of an entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Dispatches to targets by outcome.
    pub dispatches: IntCounterVec,
    /// The time to a response or a first event by kind of call, in seconds.
    pub latency: HistogramVec,
    /// The connections of callers that ended, by reason.
    pub connection_ends: IntCounterVec,
    /// The time since the store held nothing newer than a copy, by topic, in seconds.
    copy_ages: HistogramVec,
    /// The longest time that a change may have taken from the store to this entry, by topic, in
    /// seconds.
    change_delays: HistogramVec,
    /// Calls to the platform's store by topic and result.
    pub store_calls: IntCounterVec,
    /// The configuration version in force.
    pub version: IntGauge,
    /// Whether the newest configuration in the store cannot be read: 1 or 0.
    pub unread_config: IntGauge,
    /// The named fields of the configuration in force whose values are not used as they are.
    pub replaced_fields: IntGauge,
    /// The newest era of the store that is known.
    pub store_era: IntGauge,
    /// Copies of topics that were replaced as the store came back from an older copy.
    pub replaced_copies: IntCounterVec,
    /// The bytes of large bodies and events that are buffered.
    pub buffered_bytes: IntGauge,
    /// Inputs that exceeded a limit, by the kind of their sender.
    pub cut_reads: IntCounterVec,
    /// The number of targets that may receive requests.
    pub targets: IntGauge,
    /// Targets that ended while they ran a request of this entry, once for each request.
    pub target_ends: IntCounter,
    /// The targets that name a limit, as known to this entry.
    pub limited_targets: IntGauge,
    /// Permits to send requests to targets with a limit, by result and source.
    pub permits: IntCounterVec,
    /// The requests that may have ended targets, as known to this entry.
    pub crash_suspects: IntGauge,
    /// Those that this entry keeps in the store.
    pub kept_suspects: IntGauge,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Creates the metrics in a new registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let histograms = |name: &str, help: &str, label: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            register(&registry, HistogramVec::new(options, &[label]))
        };
        let target_ends = IntCounter::new("comfrey_target_ends", "Runs during which targets ended");
        let target_ends = register(&registry, target_ends);
        Self {
            requests: counters("comfrey_requests", "Requests", &["kind", "outcome"]),
            dispatches: counters("comfrey_dispatches", "Dispatches to targets", &["outcome"]),
            connection_ends: counters(
                "comfrey_connection_ends",
                "Connections of callers that ended",
                &["reason"],
            ),
            store_calls: counters("comfrey_store_calls", "Store calls", &["topic", "result"]),
            version: gauge("comfrey_config_version", "Configuration version in force"),
            unread_config: gauge(
                "comfrey_config_unread",
                "Whether the newest configuration cannot be read",
            ),
            replaced_fields: gauge(
                "comfrey_config_replaced_fields",
                "Fields of the configuration with other values in force",
            ),
            store_era: gauge("comfrey_store_era", "Era of the store"),
            replaced_copies: counters(
                "comfrey_replaced_copies",
                "Copies replaced after a restore of the store",
                &["topic"],
            ),
            buffered_bytes: gauge("comfrey_buffered_bytes", "Large bodies and events buffered"),
            cut_reads: counters("comfrey_cut_reads", "Inputs over a limit", &["sender"]),
            targets: gauge("comfrey_targets", "Targets that may get work"),
            target_ends,
            limited_targets: gauge("comfrey_limited_targets", "Targets that name a limit"),
            permits: counters(
                "comfrey_limit_permits",
                "Permits for targets with a limit",
                &["result", "source"],
            ),
            kept_suspects: gauge("comfrey_kept_suspects", "Such requests kept in the store"),
            crash_suspects: gauge("comfrey_crash_suspects", "Requests that may end targets"),
            latency: histograms(
                "comfrey_answer_seconds",
                "Time to an answer or a first event",
                "kind",
                &LATENCY_BUCKETS,
            ),
            copy_ages: histograms(
                "comfrey_copy_age_seconds",
                "Time since the store held nothing newer than a copy",
                "topic",
                &AGE_BUCKETS,
            ),
            change_delays: histograms(
                "comfrey_change_delay_seconds",
                "Longest time that a change may have taken from the store",
                "topic",
                &AGE_BUCKETS,
            ),
            registry,
        }
    }

    /// Records the time since a copy of a topic was confirmed.
    pub fn observe_age(&self, topic: &str, age: Duration) {
        let ages = self.copy_ages.with_label_values(&[topic]);
        ages.observe(age.as_secs_f64());
    }

    /// Records that a copy of a topic has changed, this long after it was last confirmed.
    pub fn observe_change(&self, topic: &str, delay: Duration) {
        let delays = self.change_delays.with_label_values(&[topic]);
        delays.observe(delay.as_secs_f64());
    }

    /// Counts an input that exceeded a limit.
    pub fn count_cut(&self, sender: &str) {
        self.cut_reads.with_label_values(&[sender]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut text)
            .expect("metrics_have_a_text_form");
        text
    }
}

/// Adds a metric to a registry; returns it.
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<T>,
) -> T {
    let metric = metric.expect("metric_names_are_valid");
    registry
        .register(Box::new(metric.clone()))
        .expect("metrics_differ");
    metric
}
