//! What a caller is told that sends another body under the key of an order.

use comfreyhead::prelude::*;
use comfreyhead::process::orders::{
    AttemptId, BodyDigest, OrderChange, OrderClaim, OrderKey, OrderRecord, OrderReply,
    OrderSettlement, OrderWindow, SettlementAuthor, ShardFold,
};
use uuid::{Builder, Uuid};

const T0: Timestamp = Timestamp::from_millis(1_700_000_000_000);

fn key() -> OrderKey {
    let id = Builder::from_unix_timestamp_millis(T0.as_millis(), &[1; 10]).into_uuid();
    OrderKey {
        account: AccountName::from("guild"),
        id,
    }
}

fn record(change: OrderChange) -> OrderRecord {
    OrderRecord::new(key(), AttemptId(Uuid::from_u128(1)), change)
}

fn claim(body: &[u8]) -> OrderRecord {
    record(OrderChange::Claim(OrderClaim {
        digest: BodyDigest::of("ledger", "post", body),
        agent: AgentName::from("agent-1"),
        incarnation: ProcessIncarnation(1),
        target: TargetName::from("ledger-1"),
        service: ServiceName::from("ledger"),
        call: "post".into(),
    }))
}

fn settle(outcome: RequestOutcome) -> OrderRecord {
    record(OrderChange::Settle(OrderSettlement {
        outcome,
        answer: None,
        by: SettlementAuthor::Agent {
            agent: AgentName::from("agent-1"),
            incarnation: ProcessIncarnation(1),
        },
    }))
}

/// Guards against a not-run that a reader behind the settlement takes back as a mismatch.
#[test]
fn another_body_is_told_the_same_before_and_after_the_settlement() {
    let outcomes = [
        RequestOutcome::Answered,
        RequestOutcome::Failed,
        RequestOutcome::NotRun,
        RequestOutcome::Unknown,
    ];
    for outcome in outcomes {
        let mut fold = ShardFold::starting_at(OrderWindow::default(), LogOffset(1));
        let other = BodyDigest::of("ledger", "post", b"strings");
        let reply_of = |fold: &ShardFold| fold.state_of(&key()).reply_to(other, Duration::ZERO);

        fold.apply(LogOffset(1), T0, &claim(b"quills").to_value());
        let before = reply_of(&fold);
        fold.apply(LogOffset(2), T0, &settle(outcome).to_value());

        assert_eq!(before, Some(OrderReply::mismatch()));
        assert_eq!(reply_of(&fold), before, "{outcome}");
    }
}
