//! Local copies of the store's keyed topics, which processes also fetch from each other.

mod keyed_mirror;
mod mirror_change;
mod mirror_delta;
mod store_era;

pub use keyed_mirror::KeyedMirror;
pub use mirror_change::{MirrorChange, ReplacedCopy};
pub use mirror_delta::{MAX_COPY_BYTES, MirrorDelta, MirrorRecord};
pub use store_era::{StoreEra, StorePosition};
