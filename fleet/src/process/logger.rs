//! Structured logs on standard output, as JSON lines.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// The capacity of the queue to the log writer, in records; holds several seconds of an entry's
/// records at its usual load.
const QUEUE_CAPACITY: usize = 1_024;

/// Creates the root logger of a process. Drops records while the queue is full, and logs how many.
pub fn root_logger(process: &str, level: Level) -> Logger {
    let drain = slog_json::Json::default(io::stdout());
    let drain = LevelFilter::new(drain.fuse(), level).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}
