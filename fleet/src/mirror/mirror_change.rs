//! The effect of a delta on a local copy.

use super::mirror_delta::MirrorRecord;
use super::store_era::StoreEra;

/// The effect of a delta on a local copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MirrorChange {
    /// Records of the copy's own era; holds those that are newer than the stored ones.
    Updated(Vec<MirrorRecord>),
    /// The delta is a whole copy of a newer era and has replaced the local copy.
    Replaced(ReplacedCopy),
    /// The delta is a part of a newer era, whose other records are not known: a whole copy is
    /// needed.
    Incomplete,
    /// The delta is of an older era and was ignored.
    Outdated,
}

/// A local copy that a copy of a newer era has replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplacedCopy {
    /// The era of the copy that was replaced.
    pub old_era: StoreEra,
    /// Whether that copy held nothing yet, as at the start of a process.
    pub is_first: bool,
    /// All records of the new copy.
    pub records: Vec<MirrorRecord>,
    /// Tombstones of the keys that only the old copy had.
    pub dropped: Vec<MirrorRecord>,
    /// The number of keys whose value is the same in both copies.
    pub n_kept: usize,
}
