//! The difference of two contents, for people.

use std::collections::BTreeMap;

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ConfigContent, ConfigPath};

/// One entry that differs.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[display("{kind} {path}")]
pub struct ContentDifference {
    /// The entry.
    pub path: ConfigPath,
    /// How it differs.
    pub kind: DifferenceKind,
}

/// How an entry differs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// Only the second content has it.
    #[display("added")]
    Added,
    /// Only the first content has it.
    #[display("removed")]
    Removed,
    /// Both have it with different settings.
    #[display("changed")]
    Changed,
}

/// Returns what changes from `before` to `after`, sorted by path.
pub fn diff(before: &ConfigContent, after: &ConfigContent) -> Vec<ContentDifference> {
    let mut found = Vec::new();
    compare(
        &before.accounts,
        &after.accounts,
        ConfigPath::Account,
        &mut found,
    );
    compare(&before.models, &after.models, ConfigPath::Model, &mut found);
    compare(
        &before.services,
        &after.services,
        ConfigPath::Service,
        &mut found,
    );
    compare(
        &before.targets,
        &after.targets,
        ConfigPath::Target,
        &mut found,
    );
    compare(&before.groups, &after.groups, ConfigPath::Group, &mut found);
    let changed = |path| ContentDifference {
        path,
        kind: DifferenceKind::Changed,
    };
    if before.retries != after.retries {
        found.push(changed(ConfigPath::Retries));
    }
    if before.placement != after.placement {
        found.push(changed(ConfigPath::Placement));
    }
    found.sort_by(|left, right| left.path.cmp(&right.path));
    found
}

fn compare<K: Ord + Clone, V: PartialEq>(
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    path: impl Fn(K) -> ConfigPath,
    found: &mut Vec<ContentDifference>,
) {
    for (name, old) in before {
        let kind = match after.get(name) {
            None => DifferenceKind::Removed,
            Some(new) if new != old => DifferenceKind::Changed,
            Some(_) => continue,
        };
        found.push(ContentDifference {
            path: path(name.clone()),
            kind,
        });
    }
    let added = after.keys().filter(|name| !before.contains_key(*name));
    found.extend(added.map(|name| ContentDifference {
        path: path(name.clone()),
        kind: DifferenceKind::Added,
    }));
}
