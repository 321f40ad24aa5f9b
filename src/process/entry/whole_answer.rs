//! Puts the chunks of a streamed answer together into one answer.

use serde_json::{Map, Value, json};

/// The fields of a chunk whose text is set, not continued, by a later chunk.
const SET_FIELDS: [&str; 5] = ["id", "role", "type", "name", "finish_reason"];

/// An answer as far as its chunks have arrived.
#[derive(Debug, Default)]
pub(super) struct WholeAnswer {
    head: Map<String, Value>,
    choices: Vec<Value>,
}

impl WholeAnswer {
    /// Adds one chunk; one that is no JSON object adds nothing.
    pub(super) fn add(&mut self, payload: &str) {
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
                self.head.insert(field, value);
            }
        }
    }

    /// Returns the answer in the shape of a request that was not streamed.
    pub(super) fn into_value(mut self) -> Value {
        if self.head.get("object").and_then(Value::as_str) == Some("chat.completion.chunk") {
            self.head
                .insert("object".to_owned(), json!("chat.completion"));
        }
        self.head
            .insert("choices".to_owned(), Value::Array(self.choices));
        Value::Object(self.head)
    }

    fn add_choice(&mut self, choice: &Value) {
        let idx = choice["index"].as_u64().unwrap_or(0);
        let known = self
            .choices
            .iter()
            .position(|known| known["index"].as_u64() == Some(idx));
        let position = known.unwrap_or_else(|| {
            self.choices.push(json!({ "index": idx }));
            self.choices.len() - 1
        });
        let Value::Object(fields) = choice else {
            return;
        };
        for (field, value) in fields {
            let place = if field == "delta" { "message" } else { field };
            merge(&mut self.choices[position][place], field, value);
        }
    }
}

/// Continues a value by what a later chunk says of it.
fn merge(known: &mut Value, field: &str, later: &Value) {
    match (known, later) {
        (_, Value::Null) => {}
        (Value::String(text), Value::String(more)) if !SET_FIELDS.contains(&field) => {
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
        (known, later) => *known = later.clone(),
    }
}

/// Continues the item of a list that has the same index.
fn merge_item(items: &mut Vec<Value>, later: &Value) {
    let idx = later["index"].as_u64();
    let known = items
        .iter_mut()
        .find(|item| idx.is_some() && item["index"].as_u64() == idx);
    match known {
        Some(item) => merge(item, "item", later),
        None => items.push(later.clone()),
    }
}
