//! Copies of the store's keyed records, passed on between processes.

mod keyed_mirror;
mod mirror_delta;

pub use keyed_mirror::KeyedMirror;
pub use mirror_delta::{MirrorDelta, MirrorRecord};
