//! Names as shared, immutable strings.

use std::sync::Arc;

use derive_more::{AsRef, Deref, Display, From};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Defines a name type that is a shared, immutable string.
macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            JsonSchema, Deref, AsRef, From,
        )]
        #[serde(transparent)]
        #[from(String, &str, Arc<str>)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

shared_name!(
    /// The name of a client account.
    AccountName
);
shared_name!(
    /// The name of an agent process; each target VM runs one.
    AgentName
);
shared_name!(
    /// The name of a data centre.
    DataCentreName
);
shared_name!(
    /// The name of an entry VM.
    EntryName
);
shared_name!(
    /// The name of a group of ranks that run in lock-step.
    GroupName
);
shared_name!(
    /// The name of a model.
    ModelName
);
shared_name!(
    /// The name of a plain service beside the model engines.
    ServiceName
);
shared_name!(
    /// The name of a target.
    TargetName
);
