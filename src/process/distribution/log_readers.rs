//! Choice of the entry VMs that read the log.

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

use super::{PeerName, PeerRole, PeerTable};

/// The number of entry VMs of a data centre that read the log.
pub const N_LOG_READERS: usize = 3;

/// Returns the entry VMs of `data_centre` that should read the log, by rendezvous hashing.
///
/// `own` counts as reachable. Processes with different member lists may choose differently; then
/// more or fewer of them read the log, which affects only the number of messages.
pub fn log_readers(
    data_centre: &DataCentreName,
    own: Option<&PeerName>,
    peers: &PeerTable,
) -> SmallVec<[PeerName; N_LOG_READERS]> {
    let reachable = peers.iter().filter(|peer| {
        peer.info.role == PeerRole::Entry
            && &peer.info.data_centre == data_centre
            && !peer.is_unreachable()
    });
    let names = reachable.map(|peer| &peer.info.name).chain(own);
    let mut ranked: Vec<(u64, &PeerName)> =
        names.map(|name| (rank(data_centre, name), name)).collect();
    ranked.sort_unstable();
    ranked.dedup();
    let chosen = ranked.into_iter().take(N_LOG_READERS);
    chosen.map(|(_, name)| name.clone()).collect()
}

fn rank(data_centre: &DataCentreName, name: &PeerName) -> u64 {
    xxh3_64(format!("{data_centre}/{name}").as_bytes())
}
