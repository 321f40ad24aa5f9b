//! A request's way through the processes, from their log lines.

use serde_json::{Map, Value};

/// What is printed of each line before its other fields.
const HEAD_FIELDS: [&str; 5] = ["ts", "level", "process", "msg", "request"];

/// A request's way through the processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogTrail {
    /// The lines about the request, in the order of their time stamps.
    pub steps: Vec<TrailStep>,
    /// The lines that are no log lines; they may have held a step.
    pub n_unreadable: usize,
}

/// One line about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct TrailStep {
    /// The time stamp as the process wrote it.
    pub at: String,
    /// The process.
    pub process: String,
    /// What it did.
    pub message: String,
    /// The other fields, as `name=value`, by name.
    pub fields: Vec<String>,
}

impl LogTrail {
    /// Takes in a line of a process's log.
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
        let step = step_of(&fields);
        let place = self.steps.partition_point(|known| known.at <= step.at);
        self.steps.insert(place, step);
    }
}

fn step_of(fields: &Map<String, Value>) -> TrailStep {
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
