use serde::Serialize;

use crate::journal::ByteCounter;
use crate::schema::ChatMessage;

/// bytes of a message's JSON per token in the estimate.
const BYTES_PER_TOKEN: u64 = 4;

/// upper bound of the tokens that an engine counts for one message.
pub fn message_tokens(message: &ChatMessage) -> u64 {
    json_bytes(message).div_ceil(BYTES_PER_TOKEN)
}

/// upper bound of the tokens of several messages.
pub fn history_tokens(messages: &[ChatMessage]) -> u64 {
    let mut tokens = 0;
    for message in messages {
        tokens += message_tokens(message);
    }
    tokens
}

/// length of a value's JSON.
pub(super) fn json_bytes<T: Serialize>(value: &T) -> u64 {
    let mut counter = ByteCounter::default();
    // The counter never fails, and a value that was parsed from JSON can be serialised.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.count
}
