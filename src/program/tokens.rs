use serde::Serialize;

use crate::journal::ByteCounter;
use crate::schema::ChatMessage;

/// bytes of a message's JSON that make one token.
const TOKEN_BYTES: u64 = 4;

/// tokens of one message, as engines count them at most.
pub fn message_tokens(message: &ChatMessage) -> u64 {
    json_bytes(message).div_ceil(TOKEN_BYTES)
}

/// tokens of several messages.
pub fn history_tokens(messages: &[ChatMessage]) -> u64 {
    let mut tokens = 0;
    for message in messages {
        tokens += message_tokens(message);
    }
    tokens
}

/// bytes of the JSON of a message or a body.
pub(super) fn json_bytes<T: Serialize>(value: &T) -> u64 {
    let mut counter = ByteCounter::default();
    // The counter never fails, and what came as JSON serialises.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.count
}
