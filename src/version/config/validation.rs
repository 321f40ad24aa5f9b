//! Validation rules for configuration content in the first record format.
//!
//! The rules are part of the record format: all software that folds a stream must accept or
//! reject a record alike, so a new or changed rule needs a new format.

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

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The maximum timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// The maximum base delay of retries, in milliseconds.
const MAX_BASE_DELAY_MS: u64 = 60_000;
/// The minimum and maximum validity of idempotency keys, in seconds.
const ORDER_WINDOW_RANGE_S: (u64, u64) = (60, 86_400);
/// The maximum number of attempts for a request.
const MAX_TRIES: u32 = 10;
/// The maximum placement weight.
const MAX_PLACEMENT_WEIGHT: f64 = 1_000_000.0;
/// The scale of a placement weight: three decimals, few enough for a single exact text form.
const WEIGHT_SCALE: f64 = 1_000.0;
/// The length of a SHA-256 hash, in hex digits.
const SHA256_HEX_LEN: usize = 64;

/// A violation of a validation rule.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("{path}: {expected}")]
pub struct ValidationError {
    /// The path of the invalid entry.
    pub path: ConfigPath,
    /// The rule that the entry must satisfy.
    pub expected: String,
}

/// Returns all validation errors of `content`; an empty list means that it is valid.
pub fn validate(content: &ConfigContent) -> Vec<ValidationError> {
    let mut errors = ErrorList::default();
    check_accounts(content, &mut errors);
    for (name, model) in &content.models {
        check_model(name, model, &mut errors);
    }
    for (name, service) in &content.services {
        check_service(name, service, &mut errors);
    }
    for (name, target) in &content.targets {
        check_target(name, target, content, &mut errors);
    }
    check_groups(content, &mut errors);
    check_retries(&content.retries, &mut errors);
    check_placement(&content.placement, &mut errors);
    errors.0
}

#[derive(Default)]
struct ErrorList(Vec<ValidationError>);

impl ErrorList {
    fn require(&mut self, holds: bool, path: &ConfigPath, expected: impl fmt::Display) {
        if holds {
            return;
        }
        self.0.push(ValidationError {
            path: path.clone(),
            expected: expected.to_string(),
        });
    }

    fn require_name(&mut self, name: &str, path: &ConfigPath) {
        let printable = name.bytes().all(|byte| byte.is_ascii_graphic());
        self.require(
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && printable,
            path,
            format_args!("a name has 1 to {MAX_NAME_BYTES} printable ASCII characters, no space"),
        );
    }

    fn require_timeout(&mut self, timeout_ms: u64, path: &ConfigPath) {
        self.require(
            (1..=MAX_TIMEOUT_MS).contains(&timeout_ms),
            path,
            format_args!("timeout_ms lies between 1 and {MAX_TIMEOUT_MS}"),
        );
    }
}

fn check_accounts(content: &ConfigContent, errors: &mut ErrorList) {
    let mut holders: BTreeMap<&str, &AccountName> = BTreeMap::new();
    for (name, account) in &content.accounts {
        let path = ConfigPath::Account(name.clone());
        errors.require_name(name, &path);
        check_account(account, &path, errors);
        for token in &account.token_sha256 {
            let holder = holders.insert(token, name);
            errors.require(
                holder.is_none(),
                &path,
                format_args!("a token belongs to one account, and is listed once: {token}"),
            );
        }
    }
}

fn check_account(account: &AccountConfig, path: &ConfigPath, errors: &mut ErrorList) {
    let all_hashed = account.token_sha256.iter().all(|token| is_sha256(token));
    errors.require(
        all_hashed,
        path,
        "token_sha256 holds SHA-256 hashes of tokens as 64 lower-case hex digits, never tokens",
    );
    errors.require(
        1 <= account.tokens_per_second,
        path,
        "tokens_per_second is at least 1",
    );
    errors.require(1 <= account.in_flight, path, "in_flight is at least 1");
    errors.require(1 <= account.weight, path, "weight is at least 1");
}

fn is_sha256(token: &str) -> bool {
    let hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    token.len() == SHA256_HEX_LEN && token.bytes().all(hex)
}

fn check_model(name: &ModelName, model: &ModelConfig, errors: &mut ErrorList) {
    let path = ConfigPath::Model(name.clone());
    errors.require_name(name, &path);
    errors.require(1 <= model.max_tokens, &path, "max_tokens is at least 1");
    errors.require_timeout(model.timeout_ms, &path);
}

fn check_service(name: &ServiceName, service: &ServiceConfig, errors: &mut ErrorList) {
    let path = ConfigPath::Service(name.clone());
    errors.require_name(name, &path);
    errors.require(
        !service.calls.is_empty(),
        &path,
        "a service has at least one call",
    );
    for (call, config) in &service.calls {
        errors.require_name(call, &path);
        errors.require_timeout(config.timeout_ms, &path);
    }
}

fn check_target(
    name: &TargetName,
    target: &TargetConfig,
    content: &ConfigContent,
    errors: &mut ErrorList,
) {
    let path = ConfigPath::Target(name.clone());
    errors.require_name(name, &path);
    errors.require_name(&target.agent, &path);
    errors.require_name(&target.data_centre, &path);
    errors.require(1 <= target.slots, &path, "slots is at least 1");
    for address in [target.work_address, target.control_address] {
        errors.require(
            address.port() != 0 && !address.ip().is_unspecified(),
            &path,
            format_args!("an address names an IP number and a port, not {address}"),
        );
    }
    match &target.serves {
        TargetRole::Model(model) => errors.require(
            content.models.contains_key(model),
            &path,
            format_args!("the model {model} that it serves is in the version"),
        ),
        TargetRole::Service(service) => errors.require(
            content.services.contains_key(service),
            &path,
            format_args!("the service {service} that it serves is in the version"),
        ),
    }
}

fn check_groups(content: &ConfigContent, errors: &mut ErrorList) {
    let mut members: BTreeMap<&TargetName, &GroupName> = BTreeMap::new();
    for (name, group) in &content.groups {
        let path = ConfigPath::Group(name.clone());
        errors.require_name(name, &path);
        check_group(group, content, &path, errors);
        let ranks: BTreeSet<&TargetName> = group.ranks.iter().collect();
        errors.require(
            ranks.len() == group.ranks.len(),
            &path,
            "each rank has a target of its own",
        );
        for rank in ranks {
            if let Some(other) = members.insert(rank, name) {
                let expected = format_args!("the target {rank} is in one group, not also {other}");
                errors.require(false, &path, expected);
            }
        }
    }
}

fn check_group(
    group: &GroupConfig,
    content: &ConfigContent,
    path: &ConfigPath,
    errors: &mut ErrorList,
) {
    errors.require(
        content.models.contains_key(&group.model),
        path,
        format_args!("the model {} that it runs is in the version", group.model),
    );
    let role = TargetRole::Model(group.model.clone());
    for rank in &group.ranks {
        let serves = content.targets.get(rank).map(|target| &target.serves);
        errors.require(
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
    errors.require(
        !sizes.contains(&0),
        path,
        "ranks, layers, experts, slots_per_rank and window_steps are at least 1",
    );
    let slots = group.ranks.len() as u64 * u64::from(group.slots_per_rank);
    errors.require(
        u64::from(group.experts) <= slots,
        path,
        format_args!(
            "all ranks together have a slot for each of the {} experts",
            group.experts
        ),
    );
}

fn check_retries(retries: &RetryConfig, errors: &mut ErrorList) {
    let path = ConfigPath::Retries;
    errors.require(
        retries.budget_percent <= 100,
        &path,
        "budget_percent is at most 100",
    );
    errors.require(
        (1..=MAX_TRIES).contains(&retries.max_tries),
        &path,
        format_args!("max_tries lies between 1 and {MAX_TRIES}"),
    );
    errors.require(
        (1..=MAX_BASE_DELAY_MS).contains(&retries.base_delay_ms),
        &path,
        format_args!("base_delay_ms lies between 1 and {MAX_BASE_DELAY_MS}"),
    );
    let (shortest, longest) = ORDER_WINDOW_RANGE_S;
    errors.require(
        (shortest..=longest).contains(&retries.order_window_s),
        &path,
        format_args!("order_window_s lies between {shortest} and {longest}"),
    );
}

fn check_placement(placement: &PlacementConfig, errors: &mut ErrorList) {
    let path = ConfigPath::Placement;
    for weight in [placement.skew_weight, placement.move_weight] {
        let in_range = (0.0..=MAX_PLACEMENT_WEIGHT).contains(&weight);
        let has_three_decimals = (weight * WEIGHT_SCALE).round() / WEIGHT_SCALE == weight;
        errors.require(
            in_range && has_three_decimals,
            &path,
            format_args!("a weight lies between 0 and {MAX_PLACEMENT_WEIGHT} with three decimals"),
        );
    }
    errors.require(1 <= placement.max_moves, &path, "max_moves is at least 1");
    errors.require(1 <= placement.horizon_s, &path, "horizon_s is at least 1");
}
