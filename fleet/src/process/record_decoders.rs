//! The decoding of the records in the store, and where they come from.

use derive_more::Display;
use slog::{Logger, warn};

use crate::mirror::{MirrorDelta, MirrorRecord};
use crate::peers::PeerRecord;
use crate::prelude::*;

/// The functions that decode the platform's records.
#[derive(Clone, Copy, Debug)]
pub struct Decoders {
    /// Decodes a configuration; the error names the field.
    pub catalog: fn(&[u8]) -> Result<RouteCatalog, String>,
    /// Decodes a target's record; the error names the field.
    pub target: fn(&str, &[u8]) -> Result<TargetEntry, String>,
    /// The key of the record that holds the operators' configuration.
    pub catalog_key: &'static str,
}

/// Where records come from.
#[derive(Clone, Copy, Debug, Display)]
pub(super) enum RecordSource {
    /// A read of the store by this process.
    #[display("store")]
    Store,
    /// A pull from a peer.
    #[display("peer")]
    Peer,
}

/// Decodes the records of the entries, and logs each one that cannot be decoded.
pub(super) fn peer_records(delta: &MirrorDelta, log: &Logger) -> Vec<PeerRecord> {
    let read = |record: &MirrorRecord| {
        postcard::from_bytes(record.value.as_ref()?)
            .inspect_err(|err| {
                warn!(log, "unreadable record"; "topic" => "peers", "key" => &record.key,
                    "offset" => record.offset, "reason" => %err);
            })
            .ok()
    };
    delta.records.iter().filter_map(read).collect()
}
