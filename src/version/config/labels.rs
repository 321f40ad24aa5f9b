//! Names and identifiers in records of the configuration stream.

use derive_more::{AsRef, Deref, Display, From};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

macro_rules! record_label {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            JsonSchema, Deref, AsRef, From,
        )]
        #[serde(transparent)]
        #[from(String, &str, Arc<str>)]
        pub struct $name(Arc<str>);
    };
}

record_label!(
    /// The name of a batch: one or more patches by one author that are recalled together.
    BatchName
);
record_label!(
    /// The operator who sent a record.
    AuthorName
);
record_label!(
    /// A random value that identifies a record, so that an append whose response was lost can
    /// be found in the log.
    RecordNonce
);
