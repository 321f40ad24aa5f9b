//! Measures the memory and CPU time of a closure.

use std::hint::black_box;

use serde::{Deserialize, Serialize};

/// A workload that is measured at several sizes.
pub(super) struct Probe {
    /// The name that `--only` and `--probe` select by.
    pub(super) name: &'static str,
    /// The unit of size, as printed.
    pub(super) per: &'static str,
    /// The sizes to run at.
    pub(super) sizes: &'static [usize],
    /// Runs the workload at a size.
    pub(super) run: fn(usize) -> ProbeUsage,
}

/// The resources that a workload used.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub(super) struct ProbeUsage {
    /// Growth of resident memory while the result is still held, in bytes.
    pub(super) bytes: u64,
    /// CPU time of the thread, in nanoseconds.
    pub(super) cpu_ns: u64,
    /// Bytes sent and received, 0 if the workload has no messages.
    pub(super) wire_bytes: u64,
}

/// Measures only the CPU time of `work`.
pub(super) fn measure_cpu<T>(work: impl FnOnce() -> T) -> ProbeUsage {
    ProbeUsage {
        bytes: 0,
        ..measure(work)
    }
}

/// Measures `work`, and holds its result until the resident memory has been read.
pub(super) fn measure<T>(work: impl FnOnce() -> T) -> ProbeUsage {
    let bytes_before = resident_bytes();
    let cpu_before = thread_cpu_ns();
    let result = black_box(work());
    let cpu_ns = thread_cpu_ns() - cpu_before;
    let bytes = resident_bytes().saturating_sub(bytes_before);
    drop(black_box(result));
    ProbeUsage {
        bytes,
        cpu_ns,
        wire_bytes: 0,
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/smaps_rollup").expect("read smaps_rollup");
    let line = text.lines().find(|line| line.starts_with("Rss:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes
        .and_then(|text| text.parse().ok())
        .expect("Rss in kilobytes");
    kilobytes * 1_024
}

/// Returns the CPU time of this thread, in nanoseconds.
pub(super) fn thread_cpu_ns() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("read schedstat");
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).expect("cpu time")
}
