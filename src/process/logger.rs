//! Structured logs, as JSON lines or for a terminal.

use std::io;

use slog::{Drain, LevelFilter, Logger, o};

use super::settings::{LogFormat, LogSettings};

/// The log records that may wait for the writer before new ones are dropped and counted.
const QUEUE_RECORDS: usize = 8_192;

/// Makes the root logger. Records go to standard error.
pub fn root_logger(settings: LogSettings, process: &str) -> Logger {
    let level = settings.level;
    let values = o!("process" => process.to_owned());
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stderr());
            Logger::root(queued(LevelFilter::new(drain.fuse(), level).fuse()), values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build();
            Logger::root(queued(LevelFilter::new(drain.fuse(), level).fuse()), values)
        }
    }
}

/// Makes a logger that drops every record.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn queued<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .build()
        .fuse()
}
