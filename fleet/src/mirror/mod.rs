//! Local copies of the store's keyed topics, which processes also fetch from each other.

mod keyed_mirror;
mod mirror_delta;

pub use keyed_mirror::KeyedMirror;
pub use mirror_delta::{MirrorDelta, MirrorRecord};
