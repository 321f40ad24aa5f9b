//! Structured logs on standard output, as JSON lines.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// The log records that may wait for the writer before new ones are dropped and counted: some
/// seconds of an entry's decisions at its usual load.
const QUEUE_RECORDS: usize = 1_024;

/// Makes the root logger of a process. A full queue drops records and reports how many.
pub fn root_logger(process: &str, level: Level) -> Logger {
    let drain = slog_json::Json::default(io::stdout());
    let drain = LevelFilter::new(drain.fuse(), level).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}
