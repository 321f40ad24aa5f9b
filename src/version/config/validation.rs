//! What makes a content valid, by the rules of the first format.
//!
//! The rules belong to the format of records: every software that folds a stream must judge
//! a record alike, so a new or changed rule needs a new format.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{
    AccountConfig, ConfigContent, ConfigPath, GroupConfig, ModelConfig, PlacementConfig,
    RetryConfig, ServiceConfig, TargetConfig, TargetRole,
};

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The longest timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// The longest base delay of retries, in milliseconds.
const MAX_BASE_DELAY_MS: u64 = 60_000;
/// The shortest and longest window of idempotency keys, in seconds.
const ORDER_WINDOW_S: (u64, u64) = (60, 86_400);
/// The most tries of one request.
const MAX_TRIES: u32 = 10;
/// The largest weight of the placement.
const MAX_PLACEMENT_WEIGHT: f64 = 1_000_000.0;
/// The decimals of a placement weight, as a factor; few enough for one exact spelling.
const WEIGHT_STEPS: f64 = 1_000.0;
/// The length of a SHA-256 in hex.
const SHA256_HEX: usize = 64;

/// One fault of a content.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("{path}: {expected}")]
pub struct ValidationError {
    /// Where the fault is.
    pub path: ConfigPath,
    /// What is expected there.
    pub expected: String,
}

/// Returns every fault of `content`; none means that it is valid.
pub fn validate(content: &ConfigContent) -> Vec<ValidationError> {
    let mut faults = FaultList::default();
    check_accounts(content, &mut faults);
    for (name, model) in &content.models {
        check_model(name, model, &mut faults);
    }
    for (name, service) in &content.services {
        check_service(name, service, &mut faults);
    }
    for (name, target) in &content.targets {
        check_target(name, target, content, &mut faults);
    }
    check_groups(content, &mut faults);
    check_retries(&content.retries, &mut faults);
    check_placement(&content.placement, &mut faults);
    faults.0
}

#[derive(Default)]
struct FaultList(Vec<ValidationError>);

impl FaultList {
    fn expect(&mut self, holds: bool, path: &ConfigPath, expected: impl fmt::Display) {
        if holds {
            return;
        }
        self.0.push(ValidationError {
            path: path.clone(),
            expected: expected.to_string(),
        });
    }

    fn expect_name(&mut self, name: &str, path: &ConfigPath) {
        let printable = name.bytes().all(|byte| byte.is_ascii_graphic());
        self.expect(
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && printable,
            path,
            format_args!("a name has 1 to {MAX_NAME_BYTES} printable ASCII characters, no space"),
        );
    }

    fn expect_timeout(&mut self, timeout_ms: u64, path: &ConfigPath) {
        self.expect(
            (1..=MAX_TIMEOUT_MS).contains(&timeout_ms),
            path,
            format_args!("timeout_ms lies between 1 and {MAX_TIMEOUT_MS}"),
        );
    }
}

fn check_accounts(content: &ConfigContent, faults: &mut FaultList) {
    let mut holders: BTreeMap<&str, &AccountName> = BTreeMap::new();
    for (name, account) in &content.accounts {
        let path = ConfigPath::Account(name.clone());
        faults.expect_name(name, &path);
        check_account(account, &path, faults);
        for token in &account.token_sha256 {
            let holder = holders.insert(token, name);
            faults.expect(
                holder.is_none(),
                &path,
                format_args!("a token belongs to one account, and is listed once: {token}"),
            );
        }
    }
}

fn check_account(account: &AccountConfig, path: &ConfigPath, faults: &mut FaultList) {
    let hashed = account.token_sha256.iter().all(|token| is_sha256(token));
    faults.expect(
        hashed,
        path,
        "token_sha256 holds SHA-256 hashes of tokens as 64 lower-case hex digits, never tokens",
    );
    faults.expect(
        1 <= account.tokens_per_second,
        path,
        "tokens_per_second is at least 1",
    );
    faults.expect(1 <= account.in_flight, path, "in_flight is at least 1");
    faults.expect(1 <= account.weight, path, "weight is at least 1");
}

fn is_sha256(token: &str) -> bool {
    let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    token.len() == SHA256_HEX && token.bytes().all(hex)
}

fn check_model(name: &ModelName, model: &ModelConfig, faults: &mut FaultList) {
    let path = ConfigPath::Model(name.clone());
    faults.expect_name(name, &path);
    faults.expect(1 <= model.max_tokens, &path, "max_tokens is at least 1");
    faults.expect_timeout(model.timeout_ms, &path);
}

fn check_service(name: &ServiceName, service: &ServiceConfig, faults: &mut FaultList) {
    let path = ConfigPath::Service(name.clone());
    faults.expect_name(name, &path);
    faults.expect(
        !service.calls.is_empty(),
        &path,
        "a service has at least one call",
    );
    for (call, config) in &service.calls {
        faults.expect_name(call, &path);
        faults.expect_timeout(config.timeout_ms, &path);
    }
}

fn check_target(
    name: &TargetName,
    target: &TargetConfig,
    content: &ConfigContent,
    faults: &mut FaultList,
) {
    let path = ConfigPath::Target(name.clone());
    faults.expect_name(name, &path);
    faults.expect_name(&target.agent, &path);
    faults.expect_name(&target.data_centre, &path);
    faults.expect(1 <= target.slots, &path, "slots is at least 1");
    for address in [target.work_address, target.control_address] {
        faults.expect(
            address.port() != 0 && !address.ip().is_unspecified(),
            &path,
            format_args!("an address names an IP number and a port, not {address}"),
        );
    }
    match &target.serves {
        TargetRole::Model(model) => faults.expect(
            content.models.contains_key(model),
            &path,
            format_args!("the model {model} that it serves is in the version"),
        ),
        TargetRole::Service(service) => faults.expect(
            content.services.contains_key(service),
            &path,
            format_args!("the service {service} that it serves is in the version"),
        ),
    }
}

fn check_groups(content: &ConfigContent, faults: &mut FaultList) {
    let mut members: BTreeMap<&TargetName, &GroupName> = BTreeMap::new();
    for (name, group) in &content.groups {
        let path = ConfigPath::Group(name.clone());
        faults.expect_name(name, &path);
        check_group(group, content, &path, faults);
        let ranks: BTreeSet<&TargetName> = group.ranks.iter().collect();
        faults.expect(
            ranks.len() == group.ranks.len(),
            &path,
            "each rank has a target of its own",
        );
        for rank in ranks {
            if let Some(other) = members.insert(rank, name) {
                let expected = format_args!("the target {rank} is in one group, not also {other}");
                faults.expect(false, &path, expected);
            }
        }
    }
}

fn check_group(
    group: &GroupConfig,
    content: &ConfigContent,
    path: &ConfigPath,
    faults: &mut FaultList,
) {
    faults.expect(
        content.models.contains_key(&group.model),
        path,
        format_args!("the model {} that it runs is in the version", group.model),
    );
    let role = TargetRole::Model(group.model.clone());
    for rank in &group.ranks {
        let serves = content.targets.get(rank).map(|target| &target.serves);
        faults.expect(
            serves == Some(&role),
            path,
            format_args!(
                "the target {rank} is in the version and serves {}",
                group.model
            ),
        );
    }
    let sizes = [
        group.ranks.len() as u64,
        group.layers.into(),
        group.experts.into(),
        group.slots_per_rank.into(),
        group.window_steps.into(),
    ];
    faults.expect(
        !sizes.contains(&0),
        path,
        "ranks, layers, experts, slots_per_rank and window_steps are at least 1",
    );
    let slots = group.ranks.len() as u64 * u64::from(group.slots_per_rank);
    faults.expect(
        u64::from(group.experts) <= slots,
        path,
        format_args!(
            "all ranks together have a slot for each of the {} experts",
            group.experts
        ),
    );
}

fn check_retries(retries: &RetryConfig, faults: &mut FaultList) {
    let path = ConfigPath::Retries;
    faults.expect(
        retries.budget_percent <= 100,
        &path,
        "budget_percent is at most 100",
    );
    faults.expect(
        (1..=MAX_TRIES).contains(&retries.max_tries),
        &path,
        format_args!("max_tries lies between 1 and {MAX_TRIES}"),
    );
    faults.expect(
        (1..=MAX_BASE_DELAY_MS).contains(&retries.base_delay_ms),
        &path,
        format_args!("base_delay_ms lies between 1 and {MAX_BASE_DELAY_MS}"),
    );
    let (shortest, longest) = ORDER_WINDOW_S;
    faults.expect(
        (shortest..=longest).contains(&retries.order_window_s),
        &path,
        format_args!("order_window_s lies between {shortest} and {longest}"),
    );
}

fn check_placement(placement: &PlacementConfig, faults: &mut FaultList) {
    let path = ConfigPath::Placement;
    for weight in [placement.skew_weight, placement.move_weight] {
        let in_range = (0.0..=MAX_PLACEMENT_WEIGHT).contains(&weight);
        let short = (weight * WEIGHT_STEPS).round() / WEIGHT_STEPS == weight;
        faults.expect(
            in_range && short,
            &path,
            format_args!("a weight lies between 0 and {MAX_PLACEMENT_WEIGHT} with three decimals"),
        );
    }
    faults.expect(1 <= placement.max_moves, &path, "max_moves is at least 1");
    faults.expect(1 <= placement.horizon_s, &path, "horizon_s is at least 1");
}
