//! Orders: calls that run at most once, by claims, voids and settlements in the order streams.
//!
//! The valid claim or void of a key with the lowest offset decides the key permanently. An agent
//! runs an order only after it has read its own claim back as that record, and uses a claim once.

mod answer;
mod append_queue;
mod batch_delay;
mod digest;
mod entry;
mod fold;
mod holder;
mod key;
mod log_event;
mod operator_finding;
mod order_log;
mod order_try;
mod record;
mod reply;
mod settings;
mod shard;
mod shard_reader;
mod shard_tail;

pub use answer::OrderAnswer;
pub use append_queue::{AppendLimits, AppendQueue, SentBatch};
pub use batch_delay::BatchDelay;
pub use digest::BodyDigest;
pub use entry::{EntryAction, EntryActions, EntryEvent, EntryOrders, TryId};
pub use fold::{KeyState, OpenClaim, RecordEffect, ShardFold};
pub use holder::{
    HolderAction, HolderActions, HolderEvent, HolderIdentity, OrderHolder, OrderRequest,
};
pub use key::{KeyError, OrderKey};
pub use log_event::{AppendFault, BatchId, LogAction, LogEntry, LogEvent, LogPage, ReadId};
pub use operator_finding::{FindingOutcome, OperatorFinding, SettleError};
pub use order_log::{LogStatus, LogUpdate, OrderLog};
pub use order_try::{OrderTry, TryAction, TryEvent, TryRequest};
pub use record::{
    AttemptId, OrderChange, OrderClaim, OrderRecord, OrderSettlement, OrderVoid, RECORD_FORMAT,
    SettlementAuthor, VoidReason,
};
pub use reply::{FIRST_USE_HEADER, KeyHistory, KeyUse, OrderReply, ReplyReason};
pub use settings::{OrderSettings, OrderWindow};
pub use shard::{N_SHARDS, OrderShard, rank_agents, stream_name};
pub use shard_reader::{PageEffect, ReadSize, ReadStep, ShardReader};
pub use shard_tail::ShardTail;
