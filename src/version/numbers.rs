//! Numbers that order versions, records, incarnations and leaders.

use derive_more::{Display, From, Into};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

macro_rules! ordered_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, JsonSchema, From, Into,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

ordered_number!(
    /// The number of a configuration version; 0 is the empty configuration.
    VersionNumber
);
ordered_number!(
    /// The offset of a record in one stream of the log service.
    LogOffset
);
ordered_number!(
    /// The number of one life of a process, higher for each later life.
    ProcessIncarnation
);
ordered_number!(
    /// A leader's fencing number (fencing token): the log offset of its `Lead` record.
    FencingNumber
);
