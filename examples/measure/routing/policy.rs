//! The routing policies under comparison.

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{RouteQuery, TargetTable};
use derive_more::Display;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// The retry delay that the baseline policies give to a refused client.
const BASELINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The rule that selects a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RoutePolicy {
    #[display("round-robin")]
    RoundRobin,
    #[display("least-reported")]
    LeastReported,
    #[display("product")]
    Product,
}

impl RoutePolicy {
    pub(crate) const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastReported, Self::Product];
}

/// The routing state of one entry VM: a table for the product, a cursor for round robin.
pub(crate) struct EntryView {
    pub(crate) table: TargetTable,
    pub(crate) next_target: usize,
}

/// The reported state of one target, as the baseline policies see it.
#[derive(Clone, Copy)]
pub(crate) struct ReportedTarget {
    pub(crate) load: u32,
    pub(crate) is_listed: bool,
}

/// The result of one routing decision.
pub(crate) enum PolicyChoice {
    Target(usize),
    /// No target is available; the client may retry after this delay.
    Refused(Duration),
}

/// Chooses the next listed target that was not tried yet, in round-robin order.
pub(crate) fn choose_round_robin(
    view: &mut EntryView,
    reported: &[ReportedTarget],
    tried: &[usize],
) -> PolicyChoice {
    for _ in 0..reported.len() {
        let target = view.next_target % reported.len();
        view.next_target += 1;
        if reported[target].is_listed && !tried.contains(&target) {
            return PolicyChoice::Target(target);
        }
    }
    PolicyChoice::Refused(BASELINE_RETRY_AFTER)
}

/// Chooses the target with the least reported load; a random start offset breaks ties.
pub(crate) fn choose_least_reported(
    reported: &[ReportedTarget],
    tried: &[usize],
    rng: &mut ChaCha8Rng,
) -> PolicyChoice {
    let offset = rng.random_range(0..reported.len());
    (0..reported.len())
        .map(|step| (offset + step) % reported.len())
        .filter(|&target| reported[target].is_listed && !tried.contains(&target))
        .min_by_key(|&target| reported[target].load)
        .map_or(
            PolicyChoice::Refused(BASELINE_RETRY_AFTER),
            PolicyChoice::Target,
        )
}

/// Chooses a target with the product's own `TargetTable`.
pub(crate) fn choose_by_product(
    view: &EntryView,
    now: Timestamp,
    query: &RouteQuery<'_>,
    rng: &mut ChaCha8Rng,
) -> PolicyChoice {
    match view.table.choose(now, query, rng) {
        Ok(decision) => PolicyChoice::Target(target_idx(&decision.target)),
        Err(refusal) => PolicyChoice::Refused(refusal.retry_after),
    }
}

/// The name of the simulated target with this index.
pub(crate) fn target_name(target: usize) -> TargetName {
    format!("target-{target}").into()
}

fn target_idx(name: &TargetName) -> usize {
    name.as_str()
        .strip_prefix("target-")
        .and_then(|number| number.parse().ok())
        .expect("a name of the model")
}
