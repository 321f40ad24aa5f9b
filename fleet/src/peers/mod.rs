//! Messages between processes, and the load, demand and store positions known of other entries.

mod copy_span;
mod limit_holders;
mod message;
mod peer_copy;
mod peer_table;
mod reader_choice;
mod relay_batches;
mod zone_heartbeat;

pub use copy_span::{CopySpan, CopySpans};
pub use limit_holders::{LimitHolder, LimitHolders};
pub use message::{
    PeerHeartbeat, PeerMessage, PeerRecord, PermitQuery, PermitReply, RankDetails, RankQuery,
    RankState, RelayedOrder, StoreTopic, TopicPosition,
};
pub use peer_copy::PeerCopy;
pub use peer_table::{HeartbeatReceivers, PeerRow, PeerTable};
pub use reader_choice::{ReaderChoice, ReaderInput, choose_reader, confirmed_until};
pub use relay_batches::relay_batches;
