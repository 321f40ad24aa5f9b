//! Probes of agents: admission, answer buffering and order records.

use comfreyhead::prelude::*;
use comfreyhead::process::orders::{
    AttemptId, BodyDigest, OrderAnswer, OrderChange, OrderClaim, OrderKey, OrderRecord,
    OrderSettlement, OrderWindow, SettlementAuthor, ShardFold,
};
use comfreyhead::process::routing::{AgentAdmission, WorkOffer, WorkSharing};
use comfreyhead::request::{AnswerBuffer, ResumePoint, WorkId};

use super::entry::token_chunk;
use super::fixtures::{START, account_name, entry_name, target_name, uuid_v7};
use super::probe::{Probe, ProbeUsage, measure};

pub(super) fn probes() -> Vec<Probe> {
    vec![
        Probe {
            name: "agent-work",
            per: "request admitted, ended and remembered",
            sizes: &[3_500, 7_000, 14_000, 28_000],
            run: ended_work,
        },
        Probe {
            name: "agent-token-event",
            per: "token event numbered, kept for a resume and encoded",
            sizes: &[50_000, 100_000, 150_000, 200_000],
            run: buffered_events,
        },
        Probe {
            name: "order-key",
            per: "order in the window: claim and settlement decoded and folded",
            sizes: &[7_000, 14_000, 28_000, 56_000],
            run: order_keys,
        },
    ]
}

fn ended_work(n: usize) -> ProbeUsage {
    let incarnation = ProcessIncarnation(1);
    let mut admission = AgentAdmission::new(incarnation, 8);
    measure(|| {
        for idx in 0..n {
            let now = START + Duration::from_millis(idx as u64);
            let work = WorkId {
                request: RequestId(uuid_v7(0, idx)),
                attempt: 1,
            };
            let offer = WorkOffer {
                work,
                incarnation,
                entry: entry_name(idx % 18),
                accepted_at: now,
                remaining_ms: 60_000,
                account: account_name(idx % 100),
                weight: 1,
                lane: WorkLane::Interactive,
                cost: 500,
                sharing: WorkSharing::Shared,
            };
            admission.admit(now, offer);
            admission.finished(now + Duration::from_millis(1), work);
        }
        admission
    })
}

fn buffered_events(n: usize) -> ProbeUsage {
    let mut buffer = AnswerBuffer::new(1, ResumePoint::default(), usize::MAX);
    measure(|| {
        let mut n_bytes = 0;
        for idx in 0..n {
            let event = buffer.push(token_chunk(idx));
            n_bytes += serde_json::to_string(&event).expect("event encodes").len();
        }
        (buffer, n_bytes)
    })
}

fn order_keys(n: usize) -> ProbeUsage {
    let records: Vec<String> = (0..n).flat_map(order_records).collect();
    let wire_bytes = records.iter().map(|record| record.len() as u64).sum();
    let mut fold = ShardFold::starting_at(OrderWindow::default(), LogOffset(1));
    let mut usage = measure(|| {
        for (idx, record) in records.iter().enumerate() {
            let value = serde_json::from_str(record).expect("record decodes");
            fold.apply(LogOffset(idx as u64 + 1), START, &value);
        }
        assert_eq!(fold.n_keys(), n, "the order window dropped keys");
        fold
    });
    usage.wire_bytes = wire_bytes;
    usage
}

/// Returns the encoded claim and settlement of one order.
fn order_records(idx: usize) -> [String; 2] {
    let key = OrderKey {
        account: account_name(idx % 100),
        id: uuid_v7(idx as u64 % 1_000, idx),
    };
    let attempt = AttemptId(uuid_v7(0, idx + 1));
    let claim = OrderChange::Claim(OrderClaim {
        digest: BodyDigest::of("ledger", "bill", key.id.as_bytes()),
        agent: "agent-ledger-1".into(),
        incarnation: ProcessIncarnation(START.0),
        target: target_name(1),
        service: "ledger".into(),
        call: "bill".into(),
    });
    let body = br#"{"ok":true,"call":"bill","number":123456}"#;
    let settlement = OrderChange::Settle(OrderSettlement {
        outcome: RequestOutcome::Answered,
        answer: Some(OrderAnswer::bounded(200, "application/json", body, 4_096)),
        by: SettlementAuthor::Agent {
            agent: "agent-ledger-1".into(),
            incarnation: ProcessIncarnation(START.0),
        },
    });
    [claim, settlement].map(|change| {
        let record = OrderRecord::new(key.clone(), attempt, change);
        record.to_value().to_string()
    })
}
