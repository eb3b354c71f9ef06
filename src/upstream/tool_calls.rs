use serde_json::Value;
use serde_json::json;

/// joins the pieces of tool calls that a stream sends.
#[derive(Clone, Debug, Default)]
pub(super) struct ToolCalls {
    calls: Vec<Value>,
}

impl ToolCalls {
    /// most tool calls of one answer.
    const MAX_CALLS: usize = 256;

    /// adds the pieces of one chunk; each names its call by `index`.
    pub(super) fn add(&mut self, pieces: &[Value]) {
        for piece in pieces {
            let index = piece["index"].as_u64().unwrap_or(self.calls.len() as u64) as usize;
            if index >= Self::MAX_CALLS {
                continue;
            }
            while self.calls.len() <= index {
                self.calls.push(json!({ "type": "function", "function": { "name": "", "arguments": "" } }));
            }
            merge(&mut self.calls[index], piece);
        }
    }

    pub(super) fn into_calls(self) -> Vec<Value> {
        self.calls
    }
}

fn merge(call: &mut Value, piece: &Value) {
    for key in ["id", "type"] {
        if let Some(text) = piece[key].as_str() {
            call[key] = Value::from(text);
        }
    }
    for key in ["name", "arguments"] {
        let Some(more) = piece["function"][key].as_str() else {
            continue;
        };
        let before = call["function"][key].as_str().unwrap_or_default();
        call["function"][key] = Value::from(format!("{before}{more}"));
    }
}
