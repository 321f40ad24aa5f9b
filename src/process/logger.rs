//! Structured logs, as JSON lines or as text for a terminal.

use std::io;

use slog::{Drain, LevelFilter, Logger, o};

use super::settings::{LogFormat, LogSettings};

/// The capacity of the queue to the log writer; when it is full, records are dropped and counted.
const MAX_QUEUED_RECORDS: usize = 8_192;

/// Creates the root logger, which writes to standard error.
pub fn root_logger(settings: LogSettings, process: &str) -> Logger {
    let level = settings.level;
    let values = o!("process" => process.to_owned());
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stderr());
            Logger::root(
                asynchronous(LevelFilter::new(drain.fuse(), level).fuse()),
                values,
            )
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(
                asynchronous(LevelFilter::new(drain.fuse(), level).fuse()),
                values,
            )
        }
    }
}

/// Creates a logger that discards every record.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn asynchronous<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_RECORDS)
        .build()
        .fuse()
}
