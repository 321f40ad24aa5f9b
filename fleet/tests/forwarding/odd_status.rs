//! Targets whose answers have a status that the protocol does not have.

use comfreyhead_fleet::prelude::*;

use crate::wire::{Entry, Reply, ScriptedTarget};

/// Statuses that a target in trouble may send.
const ODD_STATUSES: [&str; 12] = [
    "000", "001", "099", "0", "20", "2000", "-200", "abc", "", "600", "799", "999",
];

/// Answers with these statuses that look sound otherwise, and such as state that nothing ran.
fn odd_answers() -> impl Iterator<Item = Reply> {
    ODD_STATUSES.into_iter().flat_map(|status| {
        let whole = Reply::whole(&format!("{status} Odd"), "bad");
        let refusal = Reply::Raw(format!(
            "HTTP/1.1 {status} Odd\r\nx-seal: s1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
        ));
        [whole, refusal]
    })
}

// Guards against an answer that is none in the protocol being passed on as the target's (MIXED), and
// against a call that may run once only being sent again after it.
#[tokio::test]
async fn unsafe_call_gets_502_for_an_odd_status_and_is_not_sent_again() {
    for odd in odd_answers() {
        let targets = [
            ScriptedTarget::start(vec![odd.clone()]).await,
            ScriptedTarget::start(vec![odd.clone()]).await,
        ];
        let entry = Entry::start(CallKind::Unsafe, &[&targets[0], &targets[1]]).await;

        let answer = entry.call("r1").await;

        let n_sent: usize = targets.iter().map(|target| target.requests().len()).sum();
        assert_eq!((answer.status, n_sent), (502, 1), "{odd:?}");
        assert!(!answer.head.contains("x-seal"), "{odd:?}");
        assert!(!answer.body.contains("bad"), "{odd:?}");
    }
}

// Guards against a call that could have been answered by another target.
#[tokio::test]
async fn safe_call_is_sent_again_after_an_odd_status() {
    for odd in odd_answers() {
        let targets = [
            ScriptedTarget::start(vec![odd.clone()]).await,
            ScriptedTarget::start(vec![Reply::whole("200 OK", "hello")]).await,
        ];
        let entry = Entry::start(CallKind::Safe, &[&targets[0], &targets[1]]).await;
        entry.disfavour(1);

        let answer = entry.call("r1").await;

        assert_eq!((answer.status, &*answer.body), (200, "hello"), "{odd:?}");
        assert_eq!(targets[0].requests().len(), 1, "{odd:?}");
    }
}

// The same for streams.
#[tokio::test]
async fn stream_gets_502_for_an_odd_status() {
    for odd in odd_answers() {
        let target = ScriptedTarget::start(vec![odd.clone()]).await;
        let entry = Entry::start(CallKind::SingleStream, &[&target]).await;

        let answer = entry.call("r1").await;

        assert_eq!(answer.status, 502, "{odd:?}");
        assert!(!answer.head.contains("x-seal"), "{odd:?}");
    }
}

// Guards against an odd status on a kept connection that becomes the answer to the next request.
#[tokio::test]
async fn connection_is_not_kept_after_an_odd_status() {
    for status in ["000", "600", "999"] {
        let odd = Reply::whole(&format!("{status} Odd"), "bad");
        let hello = Reply::whole("200 OK", "hello");
        let target = ScriptedTarget::start(vec![hello.clone(), odd, hello]).await;
        let entry = Entry::start(CallKind::Unsafe, &[&target]).await;
        entry.call("r1").await;
        entry.call("r2").await;

        let answer = entry.call("r3").await;

        assert_eq!(answer.status, 200, "{status}");
        assert_eq!(target.n_connections(), 2, "{status}");
    }
}
