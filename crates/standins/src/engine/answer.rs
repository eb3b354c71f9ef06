use std::fmt::Write;

use serde_json::Value;

use super::Message;
use super::prefix_parts;

/// sets the length of the answer when the last message holds it, followed by a number.
const LENGTH_MARKER: &str = "answer_tokens=";
/// the shortest answer without a marker.
const MIN_ANSWER_TOKENS: u64 = 24;
/// how many lengths an answer without a marker may have.
const ANSWER_LENGTHS: u64 = 41;

/// the text of token `index` of the answer to the prompt whose whole prefix is `prefix`.
pub(super) fn token_text(prefix: u64, index: u64, out: &mut String) {
    let mixed = (prefix ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    // Writing to a string cannot fail.
    let _ = write!(out, "{:03x} ", mixed >> 52);
}

/// the first `tokens` tokens of the answer to the prompt whose whole prefix is `prefix`.
pub fn answer_text(prefix: u64, tokens: u64) -> String {
    let mut text = String::new();
    for index in 0..tokens {
        token_text(prefix, index, &mut text);
    }
    text
}

/// how many tokens the answer has before any limit.
pub(super) fn answer_tokens(prefix: u64, messages: &[Message]) -> u64 {
    let marked = messages.last().and_then(|message| match &message.content {
        Some(Value::String(text)) => marked_tokens(text),
        _ => None,
    });
    marked.unwrap_or(MIN_ANSWER_TOKENS + prefix % ANSWER_LENGTHS)
}

/// the whole answer to a prompt and its finish reason, for tests.
pub fn expected_answer(messages: &[Message], max_tokens: u64) -> (String, &'static str) {
    let prefix = prefix_parts(messages).last().map_or(0, |part| part.prefix);
    let wanted = answer_tokens(prefix, messages);
    let text = answer_text(prefix, wanted.min(max_tokens));
    (text, finish_reason(wanted, max_tokens))
}

pub(super) fn finish_reason(wanted_tokens: u64, max_tokens: u64) -> &'static str {
    if wanted_tokens > max_tokens { "length" } else { "stop" }
}

fn marked_tokens(text: &str) -> Option<u64> {
    let (_, after) = text.split_once(LENGTH_MARKER)?;
    let digits = after.split(|letter: char| !letter.is_ascii_digit()).next()?;
    digits.parse().ok()
}
