//! Names and values of realistic length, shared by the probes.

use comfreyhead::prelude::*;
use comfreyhead::process::routing::{LoadReport, ServiceTime};
use comfreyhead::version::config::{
    AccountConfig, ConfigChange, ConfigRecord, TargetConfig, TargetRole,
};
use uuid::Uuid;

/// The base time of generated keys and reports.
pub(super) const START: Timestamp = Timestamp::from_millis(1_800_000_000_000);

/// Returns the name of a client account.
pub(super) fn account_name(idx: usize) -> AccountName {
    format!("account-{idx:05}").into()
}

/// Returns the name of a target.
pub(super) fn target_name(idx: usize) -> TargetName {
    format!("target-{idx:05}").into()
}

/// Returns the name of an entry VM.
pub(super) fn entry_name(idx: usize) -> EntryName {
    format!("entry-{idx:04}").into()
}

/// Returns the role of serving one of four models.
pub(super) fn model_role(idx: usize) -> TargetRole {
    TargetRole::Model(format!("model-{}", idx % 4).into())
}

/// Returns a UUIDv7 at `START` plus `millis`, with its random bits derived from `idx`.
pub(super) fn uuid_v7(millis: u64, idx: usize) -> Uuid {
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(
        &(idx as u64)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .to_be_bytes(),
    );
    uuid::Builder::from_unix_timestamp_millis(START.as_millis() + millis, &bytes).into_uuid()
}

/// Returns a load report with the given sequence number.
pub(super) fn load_report(sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: ProcessIncarnation(START.0),
        sequence,
        made_at: START + Duration::from_secs(sequence),
        running: 6,
        waiting: 1,
        limit: 8,
        tokens_per_second: 208,
        step_time_us: 37_500 + sequence as u32 % 997,
        service_time: ServiceTime {
            mean_s: 9.731,
            deviation_s: 2.113,
            mean_cost: 812.5,
        },
    }
}

/// Returns the settings of a client account.
pub(super) fn account_config(idx: usize) -> AccountConfig {
    AccountConfig {
        token_sha256: vec![format!("{idx:064x}")],
        tokens_per_second: 1_000,
        in_flight: 32,
        weight: 1,
    }
}

/// Returns the settings of a target.
pub(super) fn target_config(idx: usize) -> TargetConfig {
    let ip = [10, 10, (idx / 250) as u8, (idx % 250) as u8 + 1];
    TargetConfig {
        data_centre: format!("sofia-{}", idx % 6 + 1).into(),
        agent: format!("agent-{idx:05}").into(),
        work_address: (ip, 7_002).into(),
        control_address: (ip, 7_000).into(),
        serves: model_role(idx),
        checks_fencing: true,
        slots: 8,
    }
}

/// Returns an encoded patch against version `base`.
pub(super) fn patch(base: u64, changes: Vec<ConfigChange>) -> serde_json::Value {
    let record = ConfigRecord::Patch {
        base: VersionNumber(base),
        batch: format!("batch-{base:06}").into(),
        author: "operator-1".into(),
        changes,
        nonce: uuid_v7(base, base as usize).to_string().into(),
    };
    record.encode()
}

/// Returns the change that sets a client account.
pub(super) fn set_account(idx: usize) -> ConfigChange {
    ConfigChange::SetAccount {
        name: account_name(idx),
        account: account_config(idx),
    }
}
