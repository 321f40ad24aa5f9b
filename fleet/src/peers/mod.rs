//! What processes tell each other: load, demand, and how fresh their copies of the store are.

mod message;
mod peer_table;
mod reader_choice;

pub use message::{
    PeerBeat, PeerMessage, PeerRecord, RankDetails, RankState, StoreTopic, TopicPosition,
};
pub use peer_table::{PeerRow, PeerTable};
pub use reader_choice::{ReaderChoice, ReaderInput, choose_reader};
