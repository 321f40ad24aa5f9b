//! Memory and processor time of one piece of work.

use std::hint::black_box;

use serde::{Deserialize, Serialize};

/// A piece of work that is measured at several sizes.
pub(super) struct Probe {
    /// The name of the probe.
    pub(super) name: &'static str,
    /// What one unit of size is.
    pub(super) per: &'static str,
    /// The sizes.
    pub(super) sizes: &'static [usize],
    /// Does the work at a size.
    pub(super) run: fn(usize) -> ProbeUsage,
}

/// What a piece of work used.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct ProbeUsage {
    /// Resident memory that the work left behind, in bytes.
    pub(super) bytes: u64,
    /// Processor time of the thread, in nanoseconds.
    pub(super) cpu_ns: u64,
    /// Bytes sent and received, where the work sends any.
    pub(super) wire_bytes: u64,
}

/// Measures the processor time of `work` alone.
pub(super) fn measure_cpu<T>(work: impl FnOnce() -> T) -> ProbeUsage {
    ProbeUsage {
        bytes: 0,
        ..measure(work)
    }
}

/// Measures `work`; what it returns is kept until the memory is read.
pub(super) fn measure<T>(work: impl FnOnce() -> T) -> ProbeUsage {
    let bytes_before = resident_bytes();
    let cpu_before = thread_cpu_ns();
    let kept = black_box(work());
    let cpu_ns = thread_cpu_ns() - cpu_before;
    let bytes = resident_bytes().saturating_sub(bytes_before);
    drop(black_box(kept));
    ProbeUsage {
        bytes,
        cpu_ns,
        wire_bytes: 0,
    }
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/smaps_rollup").expect("smaps_rollup");
    let line = text.lines().find(|line| line.starts_with("Rss:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes.and_then(|text| text.parse().ok()).expect("Rss");
    kilobytes * 1_024
}

/// Returns the processor time of this thread.
pub(super) fn thread_cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("schedstat");
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).expect("cpu time")
}
