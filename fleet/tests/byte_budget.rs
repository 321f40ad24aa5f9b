//! The budget of the bytes that all reads of a process buffer together.

use std::sync::Arc;

use bytes::Bytes;
use comfreyhead_fleet::forward::{BodyBuffer, ByteBudget, ByteLease, CutScope};
use prometheus::IntGauge;

const LIMIT: usize = 1_000;

fn budget() -> (Arc<ByteBudget>, IntGauge) {
    let gauge = IntGauge::new("bytes", "Bytes").unwrap();
    (Arc::new(ByteBudget::new(LIMIT, gauge.clone())), gauge)
}

#[test]
fn small_reads_draw_nothing() {
    let (budget, gauge) = budget();
    let mut lease = ByteLease::new(&budget, 100);
    lease.cover(100).unwrap();
    assert_eq!((budget.drawn(), gauge.get()), (0, 0));
    lease.cover(150).unwrap();
    assert_eq!((budget.drawn(), gauge.get()), (50, 50));
}

#[test]
fn no_read_holds_more_than_it_leaves() {
    let (budget, _) = budget();
    let mut first = ByteLease::new(&budget, 0);
    first.cover(LIMIT / 2).unwrap();
    let cut = first.cover(LIMIT / 2 + 1).unwrap_err();
    assert_eq!((cut.scope, cut.limit), (CutScope::Sum, LIMIT));
    let mut second = ByteLease::new(&budget, 0);
    second.cover(LIMIT / 4).unwrap();
    second.cover(LIMIT / 4 + 1).unwrap_err();
    assert_eq!(budget.drawn(), LIMIT / 4 * 3);
}

#[test]
fn bytes_are_given_back_when_a_read_shrinks_fails_or_ends() {
    let (budget, gauge) = budget();
    let mut lease = ByteLease::new(&budget, 0);
    lease.cover(400).unwrap();
    lease.cover(100).unwrap();
    assert_eq!(budget.drawn(), 100);
    lease.cover(LIMIT).unwrap_err();
    assert_eq!(budget.drawn(), 100);
    drop(lease);
    assert_eq!((budget.drawn(), gauge.get()), (0, 0));
}

#[test]
fn bytes_stay_drawn_until_their_last_reference_is_dropped() {
    let (budget, _) = budget();
    let mut lease = ByteLease::new(&budget, 0);
    lease.cover(5).unwrap();
    let bytes = lease.attach(Bytes::from_static(b"hello"));
    let part = bytes.slice(1..2);
    drop(bytes);
    assert_eq!(budget.drawn(), 5);
    drop(part);
    assert_eq!(budget.drawn(), 0);
}

#[test]
fn body_over_its_own_limit_is_cut() {
    let (budget, _) = budget();
    let mut buffer = BodyBuffer::new(&budget, 10);
    buffer.push(b"0123456789").unwrap();
    let cut = buffer.push(b"x").unwrap_err();
    assert_eq!((cut.scope, cut.limit, cut.n_read), (CutScope::Body, 10, 11));
    assert_eq!(&buffer.finish()[..], b"0123456789");
}
