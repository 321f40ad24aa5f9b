//! A single change in a configuration patch.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{
    AccountConfig, ConfigContent, ConfigPath, GroupConfig, ModelConfig, PlacementConfig,
    RetryConfig, ServiceConfig, TargetConfig,
};

/// One change of a patch: it sets or removes one whole entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "change", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ConfigChange {
    /// Adds or replaces a client account.
    SetAccount {
        /// The account.
        name: AccountName,
        /// Its new settings.
        account: AccountConfig,
    },
    /// Removes a client account.
    RemoveAccount {
        /// The account.
        name: AccountName,
    },
    /// Adds or replaces a model.
    SetModel {
        /// The model.
        name: ModelName,
        /// Its new settings.
        model: ModelConfig,
    },
    /// Removes a model.
    RemoveModel {
        /// The model.
        name: ModelName,
    },
    /// Adds or replaces a plain service.
    SetService {
        /// The service.
        name: ServiceName,
        /// Its new settings.
        service: ServiceConfig,
    },
    /// Removes a plain service.
    RemoveService {
        /// The service.
        name: ServiceName,
    },
    /// Adds or replaces a target.
    SetTarget {
        /// The target.
        name: TargetName,
        /// Its new settings.
        target: TargetConfig,
    },
    /// Removes a target.
    RemoveTarget {
        /// The target.
        name: TargetName,
    },
    /// Adds or replaces a group of ranks.
    SetGroup {
        /// The group.
        name: GroupName,
        /// Its new settings.
        group: GroupConfig,
    },
    /// Removes a group of ranks.
    RemoveGroup {
        /// The group.
        name: GroupName,
    },
    /// Replaces retries and timeouts.
    SetRetries {
        /// The new settings.
        retries: RetryConfig,
    },
    /// Replaces the weights of the placement of experts.
    SetPlacement {
        /// The new settings.
        placement: PlacementConfig,
    },
}

impl ConfigChange {
    /// Returns the path of the entry that the change sets or removes.
    pub fn path(&self) -> ConfigPath {
        match self {
            Self::SetAccount { name, .. } | Self::RemoveAccount { name } => {
                ConfigPath::Account(name.clone())
            }
            Self::SetModel { name, .. } | Self::RemoveModel { name } => {
                ConfigPath::Model(name.clone())
            }
            Self::SetService { name, .. } | Self::RemoveService { name } => {
                ConfigPath::Service(name.clone())
            }
            Self::SetTarget { name, .. } | Self::RemoveTarget { name } => {
                ConfigPath::Target(name.clone())
            }
            Self::SetGroup { name, .. } | Self::RemoveGroup { name } => {
                ConfigPath::Group(name.clone())
            }
            Self::SetRetries { .. } => ConfigPath::Retries,
            Self::SetPlacement { .. } => ConfigPath::Placement,
        }
    }

    /// Applies the change and returns its inverse, or the path if the entry to remove is absent.
    pub fn apply(&self, content: &mut ConfigContent) -> Result<ConfigChange, ConfigPath> {
        match self {
            Self::SetAccount { name, account } => {
                let old = content.accounts.insert(name.clone(), account.clone());
                Ok(inverse_account(name, old))
            }
            Self::RemoveAccount { name } => {
                let old = remove_entry(&mut content.accounts, name, self)?;
                Ok(inverse_account(name, Some(old)))
            }
            Self::SetModel { name, model } => {
                let old = content.models.insert(name.clone(), model.clone());
                Ok(inverse_model(name, old))
            }
            Self::RemoveModel { name } => {
                let old = remove_entry(&mut content.models, name, self)?;
                Ok(inverse_model(name, Some(old)))
            }
            Self::SetService { name, service } => {
                let old = content.services.insert(name.clone(), service.clone());
                Ok(inverse_service(name, old))
            }
            Self::RemoveService { name } => {
                let old = remove_entry(&mut content.services, name, self)?;
                Ok(inverse_service(name, Some(old)))
            }
            Self::SetTarget { name, target } => {
                let old = content.targets.insert(name.clone(), target.clone());
                Ok(inverse_target(name, old))
            }
            Self::RemoveTarget { name } => {
                let old = remove_entry(&mut content.targets, name, self)?;
                Ok(inverse_target(name, Some(old)))
            }
            Self::SetGroup { name, group } => {
                let old = content.groups.insert(name.clone(), group.clone());
                Ok(inverse_group(name, old))
            }
            Self::RemoveGroup { name } => {
                let old = remove_entry(&mut content.groups, name, self)?;
                Ok(inverse_group(name, Some(old)))
            }
            Self::SetRetries { retries } => Ok(Self::SetRetries {
                retries: std::mem::replace(&mut content.retries, retries.clone()),
            }),
            Self::SetPlacement { placement } => Ok(Self::SetPlacement {
                placement: std::mem::replace(&mut content.placement, placement.clone()),
            }),
        }
    }
}

fn remove_entry<K: Ord, V>(
    entries: &mut BTreeMap<K, V>,
    name: &K,
    change: &ConfigChange,
) -> Result<V, ConfigPath> {
    entries.remove(name).ok_or_else(|| change.path())
}

fn inverse_account(name: &AccountName, old: Option<AccountConfig>) -> ConfigChange {
    let name = name.clone();
    match old {
        Some(account) => ConfigChange::SetAccount { name, account },
        None => ConfigChange::RemoveAccount { name },
    }
}

fn inverse_model(name: &ModelName, old: Option<ModelConfig>) -> ConfigChange {
    let name = name.clone();
    match old {
        Some(model) => ConfigChange::SetModel { name, model },
        None => ConfigChange::RemoveModel { name },
    }
}

fn inverse_service(name: &ServiceName, old: Option<ServiceConfig>) -> ConfigChange {
    let name = name.clone();
    match old {
        Some(service) => ConfigChange::SetService { name, service },
        None => ConfigChange::RemoveService { name },
    }
}

fn inverse_target(name: &TargetName, old: Option<TargetConfig>) -> ConfigChange {
    let name = name.clone();
    match old {
        Some(target) => ConfigChange::SetTarget { name, target },
        None => ConfigChange::RemoveTarget { name },
    }
}

fn inverse_group(name: &GroupName, old: Option<GroupConfig>) -> ConfigChange {
    let name = name.clone();
    match old {
        Some(group) => ConfigChange::SetGroup { name, group },
        None => ConfigChange::RemoveGroup { name },
    }
}
