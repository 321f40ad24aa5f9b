//! What processes tell each other: load, demand, and how fresh their copies of the store are.

mod message;
mod peer_table;
mod reader_choice;
mod relay_batches;
mod zone_voice;

pub use message::{
    PeerHeartbeat, PeerMessage, PeerRecord, RankDetails, RankQuery, RankState, RelayedOrder,
    StoreTopic, TopicPosition,
};
pub use peer_table::{HeartbeatReceivers, PeerRow, PeerTable};
pub use reader_choice::{ReaderChoice, ReaderInput, choose_reader};
pub use relay_batches::relay_batches;
