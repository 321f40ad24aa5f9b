//! The human-readable difference between two configuration contents.

use std::collections::BTreeMap;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ConfigContent, ConfigPath};

/// An entry that differs between two contents.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("{kind} {path}")]
pub struct ContentDifference {
    /// The path of the entry.
    pub path: ConfigPath,
    /// How it differs.
    pub kind: DifferenceKind,
}

/// How an entry differs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// Only the second content has the entry.
    #[display("added")]
    Added,
    /// Only the first content has the entry.
    #[display("removed")]
    Removed,
    /// Both contents have the entry, with different settings.
    #[display("changed")]
    Changed,
}

/// Returns the entries that differ between `before` and `after`, sorted by path.
pub fn diff(before: &ConfigContent, after: &ConfigContent) -> Vec<ContentDifference> {
    let mut differences = Vec::new();
    compare_entries(
        &before.accounts,
        &after.accounts,
        ConfigPath::Account,
        &mut differences,
    );
    compare_entries(
        &before.models,
        &after.models,
        ConfigPath::Model,
        &mut differences,
    );
    compare_entries(
        &before.services,
        &after.services,
        ConfigPath::Service,
        &mut differences,
    );
    compare_entries(
        &before.targets,
        &after.targets,
        ConfigPath::Target,
        &mut differences,
    );
    compare_entries(
        &before.groups,
        &after.groups,
        ConfigPath::Group,
        &mut differences,
    );
    let changed = |path| ContentDifference {
        path,
        kind: DifferenceKind::Changed,
    };
    if before.retries != after.retries {
        differences.push(changed(ConfigPath::Retries));
    }
    if before.placement != after.placement {
        differences.push(changed(ConfigPath::Placement));
    }
    differences.sort_by(|left, right| left.path.cmp(&right.path));
    differences
}

fn compare_entries<K: Ord + Clone, V: PartialEq>(
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    path: impl Fn(K) -> ConfigPath,
    differences: &mut Vec<ContentDifference>,
) {
    for (name, old) in before {
        let kind = match after.get(name) {
            None => DifferenceKind::Removed,
            Some(new) if new != old => DifferenceKind::Changed,
            Some(_) => continue,
        };
        differences.push(ContentDifference {
            path: path(name.clone()),
            kind,
        });
    }
    let added = after.keys().filter(|name| !before.contains_key(*name));
    differences.extend(added.map(|name| ContentDifference {
        path: path(name.clone()),
        kind: DifferenceKind::Added,
    }));
}
