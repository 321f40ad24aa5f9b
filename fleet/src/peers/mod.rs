//! Messages between processes, and the load, demand and store positions known of other entries.

mod message;
mod peer_copy;
mod peer_table;
mod reader_choice;
mod relay_batches;
mod zone_heartbeat;

pub use message::{
    PeerHeartbeat, PeerMessage, PeerRecord, RankDetails, RankQuery, RankState, RelayedOrder,
    StoreTopic, TopicPosition,
};
pub use peer_copy::PeerCopy;
pub use peer_table::{HeartbeatReceivers, PeerRow, PeerTable};
pub use reader_choice::{ReaderChoice, ReaderInput, choose_reader};
pub use relay_batches::relay_batches;
