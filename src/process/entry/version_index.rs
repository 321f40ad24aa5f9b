//! The index of one configuration version.

use std::collections::HashMap;

use crate::connection::token_digest;
use crate::prelude::*;
use crate::version::config::{AccountConfig, ConfigVersion, TargetRole};

/// An index of a configuration version, rebuilt for each version.
#[derive(Debug, Default)]
pub(super) struct VersionIndex {
    /// The indexed version.
    pub(super) version: Arc<ConfigVersion>,
    accounts_by_digest: HashMap<String, AccountName>,
}

impl VersionIndex {
    /// Builds the index of a version.
    pub(super) fn new(version: Arc<ConfigVersion>) -> Self {
        let mut accounts_by_digest = HashMap::new();
        for (name, account) in &version.content.accounts {
            for digest in &account.token_sha256 {
                accounts_by_digest.insert(digest.clone(), name.clone());
            }
        }
        Self {
            version,
            accounts_by_digest,
        }
    }

    /// Returns the client account of a bearer token.
    pub(super) fn account(&self, token: &str) -> Option<(&AccountName, &AccountConfig)> {
        let name = self.accounts_by_digest.get(&token_digest(token))?;
        self.version.content.accounts.get_key_value(name)
    }

    /// Returns the targets of a model or service.
    pub(super) fn targets_of(&self, role: &TargetRole) -> impl Iterator<Item = &TargetName> {
        let targets = self.version.content.targets.iter();
        targets
            .filter(move |(_, config)| config.serves == *role)
            .map(|(target, _)| target)
    }

    /// Returns the targets of a plain service with their agents.
    pub(super) fn service_agents(&self, service: &ServiceName) -> Vec<(TargetName, AgentName)> {
        let role = TargetRole::Service(service.clone());
        let targets = self.version.content.targets.iter();
        targets
            .filter(|(_, config)| config.serves == role)
            .map(|(target, config)| (target.clone(), config.agent.clone()))
            .collect()
    }
}
