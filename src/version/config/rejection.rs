//! Why a record was rejected, and what mends it.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{AuthorName, BatchName, ConfigPath, ValidationError};

/// Why a record was rejected; its text tells the operator what mends it.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "rejection", rename_all = "kebab-case")]
pub enum ConfigRejection {
    /// Another record was accepted since the base.
    #[display(
        "conflict: version {current} is current, not {base}; since then: {}; \
         look at these and send the patch again against {current}",
        list(changed)
    )]
    Conflict {
        /// The base that the record names.
        base: VersionNumber,
        /// The current version.
        current: VersionNumber,
        /// What was accepted since the base, as far as the history reaches back.
        changed: Vec<ChangeSummary>,
    },
    /// The base does not exist.
    #[display("base {base} does not exist yet: version {current} is current")]
    BaseAhead {
        /// The base that the record names.
        base: VersionNumber,
        /// The current version.
        current: VersionNumber,
    },
    /// The patch holds no change.
    #[display("the patch holds no change")]
    Empty,
    /// A change removes what is not there.
    #[display("{path} cannot be removed: it is not in the version")]
    Absent {
        /// The missing entry.
        path: ConfigPath,
    },
    /// The content would not be valid.
    #[display("the version would not be valid: {}", list(faults))]
    Invalid {
        /// Each fault, with what is expected.
        faults: Vec<ValidationError>,
    },
    /// The batch name belongs to another author.
    #[display("batch {batch} belongs to {author}: choose another batch name")]
    BatchTaken {
        /// The batch.
        batch: BatchName,
        /// Its author.
        author: AuthorName,
    },
    /// The batch was recalled before.
    #[display("batch {batch} was recalled by version {by}: choose another batch name")]
    BatchRecalled {
        /// The batch.
        batch: BatchName,
        /// The version that recalled it.
        by: VersionNumber,
    },
    /// The history holds no such batch.
    #[display(
        "batch {batch} is not in the history, which begins at version {oldest}: \
         undo its changes by a patch"
    )]
    BatchUnknown {
        /// The batch.
        batch: BatchName,
        /// The oldest version in the history.
        oldest: VersionNumber,
    },
    /// Later versions depend on the batch.
    #[display(
        "batch {batch} cannot be recalled alone, later versions depend on it: {}; \
         recall these first or change the entries by a patch",
        list(later)
    )]
    Depended {
        /// The batch.
        batch: BatchName,
        /// The later versions, with the entries that depend.
        later: Vec<ChangeSummary>,
    },
    /// An upgrade that is not the next format.
    #[display("format {to} cannot follow format {present}: upgrade one format at a time")]
    FormatOrder {
        /// The format that the stream allows.
        present: u32,
        /// The format that the record names.
        to: u32,
    },
}

/// One accepted version in short.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize, JsonSchema)]
#[display(
    "version {number} (batch {}, by {}) changed {}",
    text(batch.as_deref()),
    text(author.as_deref()),
    list(paths)
)]
pub struct ChangeSummary {
    /// The version.
    pub number: VersionNumber,
    /// The batch that it belongs to or recalls; none for a format upgrade.
    pub batch: Option<BatchName>,
    /// Its author.
    pub author: Option<AuthorName>,
    /// The entries that it changed.
    pub paths: Vec<ConfigPath>,
}

/// The most items that a text lists.
const LISTED: usize = 8;

fn text(name: Option<&Arc<str>>) -> &str {
    name.map_or("-", |name| name)
}

fn list<T: std::fmt::Display>(items: &[T]) -> String {
    let mut texts: Vec<String> = items.iter().take(LISTED).map(T::to_string).collect();
    if LISTED < items.len() {
        texts.push(format!("and {} more", items.len() - LISTED));
    }
    texts.join("; ")
}
