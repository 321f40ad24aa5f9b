//! The record of what was sent, answered and run; several processes append to it.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The record of one play. Each line has the milliseconds since the start, a kind, and fields.
#[derive(Clone)]
pub struct Record {
    file: Arc<File>,
    path: PathBuf,
    pub start_ms: u64,
}

/// A line of the record.
pub struct Line {
    pub at_ms: u64,
    pub kind: String,
    pub fields: Vec<String>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        File::create(path)?;
        Self::open(path, now_ms())
    }

    pub fn open(path: &Path, start_ms: u64) -> std::io::Result<Self> {
        let file = OpenOptions::new().append(true).open(path)?;
        Ok(Self {
            file: Arc::new(file),
            path: path.to_owned(),
            start_ms,
        })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        now_ms().saturating_sub(self.start_ms)
    }

    /// Appends a line at once, so that a crash of this process does not lose it.
    pub fn add(&self, kind: &str, fields: &str) {
        let line = format!("{} {kind} {fields}\n", self.now());
        let _ = (&*self.file).write_all(line.as_bytes());
    }

    pub fn lines(&self) -> Vec<Line> {
        let text = std::fs::read_to_string(&self.path).unwrap_or_default();
        text.lines()
            .filter_map(|line| {
                let mut words = line.split(' ');
                Some(Line {
                    at_ms: words.next()?.parse().ok()?,
                    kind: words.next()?.to_owned(),
                    fields: words.map(str::to_owned).collect(),
                })
            })
            .collect()
    }
}

pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or(Duration::ZERO).as_millis() as u64
}
