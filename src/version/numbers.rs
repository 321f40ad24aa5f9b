//! Ordered numbers of versions, records, process incarnations and leaders.

/// Defines a number type whose values are totally ordered.
macro_rules! ordered_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            derive_more::Display,
            derive_more::From,
            derive_more::Into,
            schemars::JsonSchema,
            serde::Deserialize,
            serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

pub(crate) use ordered_number;

ordered_number!(
    /// The number of a configuration version; 0 is the empty configuration.
    VersionNumber
);
ordered_number!(
    /// The offset of a record in one stream of the log service.
    LogOffset
);
ordered_number!(
    /// The number of a process incarnation; each restart has a higher number.
    ProcessIncarnation
);
ordered_number!(
    /// A leader's fencing number (fencing token): the log offset of its `Lead` record.
    FencingNumber
);
