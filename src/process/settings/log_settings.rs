//! The format and level of the log.

use crate::prelude::*;

use super::SectionNeed;
use super::section_reader::FileReader;

/// The optional section `[log]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of a log line.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: slog::Level,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text for a terminal.
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
