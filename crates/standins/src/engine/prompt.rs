use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::PrefixPart;

/// bytes of a message's JSON that make a token.
const BYTES_PER_TOKEN: u64 = 4;

/// one message of a prompt; the order of its fields is that of the hashed JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// text, or content parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Value>,
    /// name of the speaker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// who speaks.
    pub role: String,
    /// tool call that the message answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tool_call_id: Option<String>,
    /// tool calls of the message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tool_calls: Vec<Value>,
}

impl Message {
    /// a message that holds plain text.
    pub fn text(role: &str, content: &str) -> Self {
        Self {
            content: Some(Value::from(content)),
            name: None,
            role: role.to_owned(),
            tool_call_id: None,
            tool_calls: Vec::new(),
        }
    }

    /// the name of the prefix that ends with this message after the prefix `before`, with its own tokens.
    pub fn part(&self, before: u64) -> PrefixPart {
        // A message always serialises: its keys are strings and its numbers finite.
        let json = serde_json::to_vec(self).unwrap_or_default();
        let tokens = (json.len() as u64).div_ceil(BYTES_PER_TOKEN);
        PrefixPart { prefix: xxh3_64_with_seed(&json, before), tokens }
    }

    /// tells whether the plain text of the message holds `marker`.
    pub(super) fn holds(&self, marker: &str) -> bool {
        match &self.content {
            Some(Value::String(text)) => text.contains(marker),
            Some(parts) => parts.to_string().contains(marker),
            None => false,
        }
    }
}

/// the prefixes of a prompt, one a message.
pub fn prefix_parts(messages: &[Message]) -> Vec<PrefixPart> {
    let mut before = 0;
    let mut parts = Vec::with_capacity(messages.len());
    for message in messages {
        let part = message.part(before);
        before = part.prefix;
        parts.push(part);
    }
    parts
}
