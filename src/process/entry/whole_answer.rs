//! Merges the chunks of a streamed answer into one answer.

use serde_json::{Map, Value, json};

/// The text fields that a later chunk replaces instead of appending to.
const REPLACED_FIELDS: [&str; 5] = ["id", "role", "type", "name", "finish_reason"];

/// An answer merged from the chunks received so far.
#[derive(Debug, Default)]
pub(super) struct WholeAnswer {
    fields: Map<String, Value>,
    choices: Vec<Value>,
}

impl WholeAnswer {
    /// Merges one chunk; a payload that is not a JSON object is ignored.
    pub(super) fn add_chunk(&mut self, payload: &str) {
        let Ok(Value::Object(mut chunk)) = serde_json::from_str(payload) else {
            return;
        };
        if let Some(Value::Array(choices)) = chunk.remove("choices") {
            for choice in &choices {
                self.add_choice(choice);
            }
        }
        for (field, value) in chunk {
            if !value.is_null() {
                self.fields.insert(field, value);
            }
        }
    }

    /// Returns the answer in the format of a response that is not streamed.
    pub(super) fn into_value(mut self) -> Value {
        if self.fields.get("object").and_then(Value::as_str) == Some("chat.completion.chunk") {
            self.fields
                .insert("object".to_owned(), json!("chat.completion"));
        }
        self.fields
            .insert("choices".to_owned(), Value::Array(self.choices));
        Value::Object(self.fields)
    }

    fn add_choice(&mut self, choice: &Value) {
        let idx = choice["index"].as_u64().unwrap_or(0);
        let existing = self
            .choices
            .iter()
            .position(|existing| existing["index"].as_u64() == Some(idx));
        let position = existing.unwrap_or_else(|| {
            self.choices.push(json!({ "index": idx }));
            self.choices.len() - 1
        });
        let Value::Object(fields) = choice else {
            return;
        };
        for (field, value) in fields {
            let key = if field == "delta" { "message" } else { field };
            merge(&mut self.choices[position][key], field, value);
        }
    }
}

/// Merges the value of a field in a later chunk into the existing value.
fn merge(existing: &mut Value, field: &str, later: &Value) {
    match (existing, later) {
        (_, Value::Null) => {}
        (Value::String(text), Value::String(more)) if !REPLACED_FIELDS.contains(&field) => {
            text.push_str(more);
        }
        (Value::Object(fields), Value::Object(more)) => {
            for (name, value) in more {
                merge(
                    fields.entry(name.as_str()).or_insert(Value::Null),
                    name,
                    value,
                );
            }
        }
        (Value::Array(items), Value::Array(more)) => {
            for value in more {
                merge_item(items, value);
            }
        }
        (existing, later) => *existing = later.clone(),
    }
}

/// Merges a list item into the item with the same index, or appends it.
fn merge_item(items: &mut Vec<Value>, later: &Value) {
    let idx = later["index"].as_u64();
    let existing = items
        .iter_mut()
        .find(|item| idx.is_some() && item["index"].as_u64() == idx);
    match existing {
        Some(item) => merge(item, "item", later),
        None => items.push(later.clone()),
    }
}
