//! What the parsers of streams keep allocated after a large event. Reads the memory of the process,
//! so that it has a program of its own.

use comfreyhead_fleet::forward::EventParser;

/// A quarter of the stated memory of an entry, in kB.
const MAX_KEPT_KB: usize = 182_000 / 4;

const N_STREAMS: usize = 200;

fn memory_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap()
}

// Guards against streams that keep the memory of an event that was sent long ago.
#[test]
fn parsers_free_the_buffer_of_a_large_event() {
    let large = format!("data: {}\n\n", "x".repeat((1 << 20) - 100));
    let mut parsers: Vec<EventParser> = Vec::new();
    let before = memory_kb();
    for _ in 0..N_STREAMS {
        let mut parser = EventParser::default();
        for part in large.as_bytes().chunks(1 << 15) {
            parser.push(part);
        }
        assert_eq!(
            parser.next_event().map(|event| event.bytes.len()),
            Some(large.len())
        );
        parser.push(b"data: small\n\n");
        assert!(parser.next_event().is_some());
        parsers.push(parser);
    }
    let kept = memory_kb().saturating_sub(before);
    assert!(kept <= MAX_KEPT_KB, "{kept}");
    drop(parsers);
}
