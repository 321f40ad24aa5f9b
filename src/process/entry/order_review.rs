//! Review and settlement by operators of orders without a known outcome.

use serde_json::Value;

use crate::prelude::*;
use crate::process::operator::{OpenOrder, OpenOrders, PatchResult, SettleOrder, SettleReport};
use crate::process::order_io::order_page;
use crate::process::orders::{
    OpenClaim, OperatorFinding, OrderShard, OrderWindow, ReadSize, ShardFold, ShardReader,
    stream_name,
};
use crate::process::platform::{AppendFailure, LogClient};

/// The maximum number of records per read.
const MAX_RECORDS_PER_READ: usize = 1_024;
/// The maximum number of pages read from a shard before its review fails.
const MAX_PAGES: usize = 4_096;

/// Lists the claims without a settlement, the oldest first.
///
/// # Errors
/// Fails if the log service cannot be read or a shard is too long.
pub(super) async fn open_orders(log: &LogClient) -> Result<OpenOrders> {
    let now = Timestamp::now();
    let reads = OrderShard::all().map(|shard| read_shard(log, shard));
    let readers = futures::future::try_join_all(reads).await?;
    let claims = readers
        .iter()
        .filter_map(ShardReader::fold)
        .flat_map(|fold| fold.open_claims());
    let mut orders: Vec<OpenOrder> = claims.map(|claim| open_order(now, claim)).collect();
    orders.sort_by_key(|order| std::cmp::Reverse(order.age_s));
    Ok(OpenOrders { orders })
}

/// Records an operator's finding on the outcome of an order.
///
/// The report is a rejection if there is no such open claim or the claim is too young.
///
/// # Errors
/// Fails if the log service cannot be read or the shard is too long.
pub(super) async fn settle_order(log: &LogClient, order: SettleOrder) -> Result<SettleReport> {
    let shard = order.key.shard();
    let reader = read_shard(log, shard).await?;
    let claims = reader
        .fold()
        .map(ShardFold::open_claims)
        .unwrap_or_default();
    let is_requested =
        |claim: &&OpenClaim| claim.key == order.key && claim.attempt == order.attempt;
    let Some(claim) = claims.iter().find(is_requested) else {
        let reason = "the key has no open claim of this attempt".to_owned();
        return Ok(SettleReport {
            result: PatchResult::Rejected,
            reason,
        });
    };
    let finding = OperatorFinding {
        operator: Arc::clone(&order.author),
        outcome: order.outcome,
        note: Arc::from(order.note.as_str()),
    };
    let record = match claim.settle(Timestamp::now(), &finding) {
        Ok(record) => record,
        Err(err) => {
            let (result, reason) = (PatchResult::Rejected, err.to_string());
            return Ok(SettleReport { result, reason });
        }
    };
    let result = append_record(log, shard, record.to_value()).await;
    let reason = format!("{}", finding.outcome);
    Ok(SettleReport { result, reason })
}

async fn append_record(log: &LogClient, shard: OrderShard, record: Value) -> PatchResult {
    match log.append(&stream_name(shard), &[record]).await {
        Ok(_) => PatchResult::Accepted,
        Err(AppendFailure::Unknown(_)) => PatchResult::Unknown,
        Err(_) => PatchResult::NotWritten,
    }
}

/// Reads all records of a shard that the log service keeps.
async fn read_shard(log: &LogClient, shard: OrderShard) -> Result<ShardReader> {
    let mut reader = ShardReader::covering(OrderWindow::default(), Timestamp(0));
    for _ in 0..MAX_PAGES {
        if reader.fold().is_some() {
            return Ok(reader);
        }
        let step = reader.next_read();
        let max = match step.size {
            ReadSize::One => 1,
            ReadSize::Many | ReadSize::Tail => MAX_RECORDS_PER_READ,
        };
        let page = log
            .read(&stream_name(shard), step.from, max, Duration::ZERO)
            .await?;
        reader.on_page(Timestamp::now(), &order_page(page));
    }
    Err(Error::Platform(format!(
        "the shard {shard} is too long to review"
    )))
}

fn open_order(now: Timestamp, claim: OpenClaim) -> OpenOrder {
    OpenOrder {
        key: claim.key,
        attempt: claim.attempt,
        agent: claim.claim.agent,
        target: claim.claim.target,
        age_s: now.since(claim.at).as_secs(),
    }
}
