//! The policies that are compared.

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{RouteQuery, TargetTable};
use derive_more::Display;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// How a target is chosen.
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

/// What one entry VM knows, for each policy.
pub(crate) struct EntryView {
    pub(crate) table: TargetTable,
    pub(crate) next_target: usize,
}

/// What the baselines see of one target.
#[derive(Clone, Copy)]
pub(crate) struct ReportedTarget {
    pub(crate) load: u32,
    pub(crate) is_listed: bool,
}

/// A choice by one of the policies.
pub(crate) enum PolicyChoice {
    Target(usize),
    Refused,
}

/// Takes the listed targets in turn.
pub(crate) fn choose_in_turn(
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
    PolicyChoice::Refused
}

/// Takes the target with the least reported load; one at random of equals.
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
        .map_or(PolicyChoice::Refused, PolicyChoice::Target)
}

/// Asks the product.
pub(crate) fn choose_by_product(
    view: &EntryView,
    now: Timestamp,
    query: &RouteQuery<'_>,
    rng: &mut ChaCha8Rng,
) -> PolicyChoice {
    match view.table.choose(now, query, rng) {
        Ok(decision) => PolicyChoice::Target(target_idx(&decision.target)),
        Err(_) => PolicyChoice::Refused,
    }
}

/// The name of a target of the model.
pub(crate) fn target_name(target: usize) -> TargetName {
    format!("target-{target}").into()
}

fn target_idx(name: &TargetName) -> usize {
    name.as_str()
        .strip_prefix("target-")
        .and_then(|number| number.parse().ok())
        .expect("a name of the model")
}
