//! Limits on request bodies and on the duration of a graceful stop.

use crate::prelude::*;

use super::SectionNeed;
use super::section_reader::FileReader;

/// The upper bound of `max_body_bytes`, in bytes.
const MAX_BODY_BYTES: usize = 1 << 30;
/// The upper bound of `drain_seconds`, in seconds.
const MAX_DRAIN_SECONDS: u64 = 86_400;

/// The optional section `[limits]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum duration of a graceful stop, in seconds.
    pub drain_seconds: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            drain_seconds: 600,
        }
    }
}

impl LimitSettings {
    pub(super) fn read(file: &FileReader<'_>) -> Result<Self> {
        let keys = ["max_body_bytes", "drain_seconds"];
        let section = file.section("limits", SectionNeed::Optional, &keys)?;
        let defaults = Self::default();
        Ok(Self {
            max_body_bytes: section.number(
                "max_body_bytes",
                defaults.max_body_bytes,
                1..=MAX_BODY_BYTES,
            )?,
            drain_seconds: section.number(
                "drain_seconds",
                defaults.drain_seconds,
                1..=MAX_DRAIN_SECONDS,
            )?,
        })
    }
}
