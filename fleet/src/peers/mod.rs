//! What processes tell each other: load, demand, and how fresh their copies of the store are.

mod message;
mod peer_table;
mod reader_choice;
mod relay_batches;
mod zone_voice;

pub use message::{
    PeerBeat, PeerMessage, PeerRecord, RankDetails, RankQuestion, RankState, RelayedOrder,
    StoreTopic, TopicPosition,
};
pub use peer_table::{BeatReceivers, PeerRow, PeerTable};
pub use reader_choice::{ReaderChoice, ReaderInput, choose_reader};
pub use relay_batches::relay_batches;
