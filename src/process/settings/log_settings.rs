//! How the log is written.

use crate::prelude::*;

use super::SectionNeed;
use super::section_reader::FileReader;

/// The section `[log]`; it may be missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least urgent level that is written.
    pub level: slog::Level,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for a person at a terminal.
    Terminal,
}

impl LogSettings {
    pub(super) fn read(file: &FileReader<'_>) -> Result<Self> {
        let section = file.section("log", SectionNeed::Optional, &["format", "level"])?;
        let formats = "json or terminal";
        let levels = "critical, error, warning, info or debug";
        Ok(Self {
            format: section.optional("format", formats, LogFormat::Json, parse_format)?,
            level: section.optional("level", levels, slog::Level::Info, parse_level)?,
        })
    }
}

fn parse_format(text: &str) -> Option<LogFormat> {
    match text {
        "json" => Some(LogFormat::Json),
        "terminal" => Some(LogFormat::Terminal),
        _ => None,
    }
}

fn parse_level(text: &str) -> Option<slog::Level> {
    match text {
        "critical" => Some(slog::Level::Critical),
        "error" => Some(slog::Level::Error),
        "warning" => Some(slog::Level::Warning),
        "info" => Some(slog::Level::Info),
        "debug" => Some(slog::Level::Debug),
        _ => None,
    }
}
