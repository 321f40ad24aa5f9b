//! Tests targets that send more than any answer may have.

use comfreyhead_standins::expected_tokens;

use crate::caller::read_stream;
use crate::fleet::{Fleet, FleetShape};
use crate::requests::{bearer, completion};

/// The memory of an agent while it serves, far below what the target sends.
const MAX_AGENT_KIB: u64 = 100 << 10;

#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_costs_no_answer_and_no_memory() {
    let fleet = Fleet::start(FleetShape {
        entries: 1,
        engines: 2,
        services: 0,
    })
    .await;
    let entry = fleet.callers()[0];
    fleet.engines[0].set_endless_events(true);
    let bearer = bearer();
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-request-timeout-ms", "20000"),
    ];

    for idx in 0.. {
        if !fleet.engines[0].started().is_empty() {
            break;
        }
        let body = completion(&format!("kit history {idx}"), 40);
        let streamed = read_stream(entry, "/v1/completions", &headers, &body, usize::MAX).await;

        let peak = fleet.agents[0].peak_memory_kib();
        assert!(peak < MAX_AGENT_KIB, "the agent took {peak} KiB");
        let streamed = streamed.expect("a stream");
        assert!(streamed.is_whole, "{streamed:?}");
        assert_eq!(streamed.text, expected_tokens(&body).concat());
    }
}
