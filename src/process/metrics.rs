//! The metrics that a process exposes at `/metrics`.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::prelude::*;

/// The upper bounds of the duration buckets, in seconds.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.038, 0.075, 0.15, 0.3, 0.75, 1.5, 3.0, 10.0, 60.0,
];

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    /// Completed requests by outcome.
    pub requests: IntCounterVec,
    /// Refused requests by reason.
    pub refusals: IntCounterVec,
    /// Retried attempts.
    pub retries: IntCounter,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Time to the first event of a response, in seconds.
    pub first_event_s: Histogram,
    /// Time to the end of a response, in seconds.
    pub whole_answer_s: Histogram,
    /// The number of the configuration version in force.
    pub version: IntGauge,
    /// Control messages sent or replied to.
    pub control_messages: IntCounter,
    /// Step windows granted by a leader in this process.
    pub windows_granted: IntCounter,
    /// Appends to the log service by result.
    pub appends: IntCounterVec,
}

impl ProcessMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// A metric is invalid, or its name is registered twice.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let requests = counter_family(
            "comfreyhead_requests_total",
            "Requests by outcome",
            "outcome",
        )?;
        let refusals =
            counter_family("comfreyhead_refusals_total", "Refusals by reason", "reason")?;
        let appends = counter_family(
            "comfreyhead_log_appends_total",
            "Appends by result",
            "result",
        )?;
        let retries =
            IntCounter::new("comfreyhead_retries_total", "Retries").map_err(registration_error)?;
        let windows_granted = IntCounter::new(
            "comfreyhead_step_windows_granted_total",
            "Step windows granted",
        )
        .map_err(registration_error)?;
        let control_messages =
            IntCounter::new("comfreyhead_control_messages_total", "Control messages")
                .map_err(registration_error)?;
        let in_flight = IntGauge::new("comfreyhead_requests_in_flight", "Requests in progress")
            .map_err(registration_error)?;
        let version = IntGauge::new(
            "comfreyhead_config_version",
            "Configuration version in force",
        )
        .map_err(registration_error)?;
        let first_event_s =
            duration_histogram("comfreyhead_first_event_seconds", "Time to the first event")?;
        let whole_answer_s = duration_histogram(
            "comfreyhead_whole_answer_seconds",
            "Time to the whole answer",
        )?;
        let collectors: [Box<dyn prometheus::core::Collector>; 10] = [
            Box::new(requests.clone()),
            Box::new(refusals.clone()),
            Box::new(appends.clone()),
            Box::new(retries.clone()),
            Box::new(control_messages.clone()),
            Box::new(windows_granted.clone()),
            Box::new(in_flight.clone()),
            Box::new(version.clone()),
            Box::new(first_event_s.clone()),
            Box::new(whole_answer_s.clone()),
        ];
        for collector in collectors {
            registry.register(collector).map_err(registration_error)?;
        }
        Ok(Self {
            registry,
            requests,
            refusals,
            retries,
            in_flight,
            first_event_s,
            whole_answer_s,
            version,
            control_messages,
            windows_granted,
            appends,
        })
    }

    /// Counts one request that ended with `outcome`.
    pub fn count_outcome(&self, outcome: RequestOutcome) {
        self.requests
            .with_label_values(&[outcome.to_string().as_str()])
            .inc();
    }

    /// Renders the metrics in the Prometheus text format; empty if they cannot be encoded.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded
            .map(|()| String::from_utf8_lossy(&text).into_owned())
            .unwrap_or_default()
    }
}

fn counter_family(name: &str, help: &str, label: &str) -> Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), &[label]).map_err(registration_error)
}

fn duration_histogram(name: &str, help: &str) -> Result<Histogram> {
    let opts = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS_S.to_vec());
    Histogram::with_opts(opts).map_err(registration_error)
}

fn registration_error(err: impl std::fmt::Display) -> Error {
    Error::Invalid(format!("metrics: {err}"))
}
