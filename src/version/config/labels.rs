//! Names that records of the configuration stream carry.

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
    /// The name of a batch: one or more patches of one author that are recalled together.
    BatchName
);
record_label!(
    /// The operator who sent a record.
    AuthorName
);
record_label!(
    /// A random value that identifies one record, so that an append whose answer was lost can
    /// be found again.
    RecordNonce
);
