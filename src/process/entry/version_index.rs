//! Look-ups into one configuration version.

use std::collections::HashMap;

use crate::connection::token_digest;
use crate::prelude::*;
use crate::version::config::{AccountConfig, ConfigVersion, TargetRole};

/// Look-ups that live as long as a configuration version.
#[derive(Debug, Default)]
pub(super) struct VersionIndex {
    /// The version.
    pub(super) version: Arc<ConfigVersion>,
    by_token: HashMap<String, AccountName>,
}

impl VersionIndex {
    /// Makes the look-ups of a version.
    pub(super) fn new(version: Arc<ConfigVersion>) -> Self {
        let mut by_token = HashMap::new();
        for (name, account) in &version.content.accounts {
            for digest in &account.token_sha256 {
                by_token.insert(digest.clone(), name.clone());
            }
        }
        Self { version, by_token }
    }

    /// Finds the client account of a bearer token.
    pub(super) fn account(&self, token: &str) -> Option<(&AccountName, &AccountConfig)> {
        let name = self.by_token.get(&token_digest(token))?;
        self.version.content.accounts.get_key_value(name)
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
