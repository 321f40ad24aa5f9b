//! Reconstruction of a request's path through the processes from their log lines.

use serde_json::{Map, Value};

/// The log keys that are not repeated among a step's other fields.
const HEAD_FIELDS: [&str; 5] = ["ts", "level", "process", "msg", "request"];

/// The log lines of one request across all processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogTrail {
    /// The log lines of the request, ordered by timestamp.
    pub steps: Vec<TrailStep>,
    /// The number of lines that are not JSON log lines; some may belong to the request.
    pub n_unreadable: usize,
}

/// One log line of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TrailStep {
    /// The timestamp as the process wrote it.
    pub at: String,
    /// The name of the process.
    pub process: String,
    /// The log message.
    pub message: String,
    /// The other fields as `name=value`, sorted.
    pub fields: Vec<String>,
}

impl LogTrail {
    /// Parses a log line and adds it if it belongs to `request`.
    pub fn add_line(&mut self, line: &str, request: &str) {
        let line = line.trim();
        if line.is_empty() {
            return;
        }
        let Ok(Value::Object(fields)) = serde_json::from_str::<Value>(line) else {
            self.n_unreadable += 1;
            return;
        };
        if fields.get("request").and_then(Value::as_str) != Some(request) {
            return;
        }
        let step = parse_step(&fields);
        let place = self.steps.partition_point(|known| known.at <= step.at);
        self.steps.insert(place, step);
    }
}

fn parse_step(fields: &Map<String, Value>) -> TrailStep {
    let text = |name: &str| match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    };
    let mut others: Vec<String> = fields
        .keys()
        .filter(|name| !HEAD_FIELDS.contains(&name.as_str()))
        .map(|name| format!("{name}={}", text(name)))
        .collect();
    others.sort_unstable();
    TrailStep {
        at: text("ts"),
        process: text("process"),
        message: text("msg"),
        fields: others,
    }
}

impl std::fmt::Display for LogTrail {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for step in &self.steps {
            writeln!(
                f,
                "{} {} {}: {}",
                step.at,
                step.process,
                step.message,
                step.fields.join(", ")
            )?;
        }
        if 0 < self.n_unreadable {
            writeln!(f, "{} lines are no log lines", self.n_unreadable)?;
        }
        Ok(())
    }
}
