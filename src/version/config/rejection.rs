//! Why a record was rejected and how to correct it.

use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

use super::{AuthorName, BatchName, ConfigPath, ValidationError};

/// Why a record was rejected; the text tells the operator how to correct it.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "rejection", rename_all = "kebab-case")]
pub enum ConfigRejection {
    /// Another record was accepted after the base.
    #[display(
        "conflict: version {current} is current, not {base}; since then: {}; \
         look at these and send the patch again against {current}",
        format_list(changed)
    )]
    Conflict {
        /// The base that the record names.
        base: VersionNumber,
        /// The current version.
        current: VersionNumber,
        /// The versions accepted after the base, as far as the history reaches back.
        changed: Vec<ChangeSummary>,
    },
    /// The base does not exist yet.
    #[display("base {base} does not exist yet: version {current} is current")]
    BaseAhead {
        /// The base that the record names.
        base: VersionNumber,
        /// The current version.
        current: VersionNumber,
    },
    /// The patch has no changes.
    #[display("the patch holds no change")]
    Empty,
    /// A change removes an entry that does not exist.
    #[display("{path} cannot be removed: it is not in the version")]
    Absent {
        /// The missing entry.
        path: ConfigPath,
    },
    /// The resulting content would not be valid.
    #[display("the version would not be valid: {}", format_list(faults))]
    Invalid {
        /// Each validation error, with what is expected.
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
    /// The batch was already recalled.
    #[display("batch {batch} was recalled by version {by}: choose another batch name")]
    BatchRecalled {
        /// The batch.
        batch: BatchName,
        /// The version that recalled it.
        by: VersionNumber,
    },
    /// The history does not have the whole batch.
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
    /// Later versions depend on the batch, so it cannot be recalled alone.
    #[display(
        "batch {batch} cannot be recalled alone, later versions depend on it: {}; \
         recall these first or change the entries by a patch",
        format_list(later)
    )]
    Depended {
        /// The batch.
        batch: BatchName,
        /// The later versions, with the dependent entries.
        later: Vec<ChangeSummary>,
    },
    /// The upgrade is not to the next format.
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
    name_or_dash(batch.as_deref()),
    name_or_dash(author.as_deref()),
    format_list(paths)
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

/// The maximum number of items listed in a message.
const MAX_LISTED_ITEMS: usize = 8;

fn name_or_dash(name: Option<&Arc<str>>) -> &str {
    name.map_or("-", |name| name)
}

fn format_list<T: std::fmt::Display>(items: &[T]) -> String {
    let mut texts: Vec<String> = items
        .iter()
        .take(MAX_LISTED_ITEMS)
        .map(T::to_string)
        .collect();
    if MAX_LISTED_ITEMS < items.len() {
        texts.push(format!("and {} more", items.len() - MAX_LISTED_ITEMS));
    }
    texts.join("; ")
}
