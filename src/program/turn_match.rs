use crate::ids::Digest;
use crate::program::Program;
use crate::program::refuse;
use crate::schema::ChatMessage;
use crate::schema::Problem;
use crate::schema::TurnBody;

/// how a turn request relates to the history of its program.
pub(super) enum TurnMatch {
    /// a repeat of the last committed turn.
    Last,
    /// a repeat of the turn in flight.
    InFlight,
    /// a new turn that extends the history.
    Next {
        /// messages that it adds.
        messages: Vec<ChatMessage>,
        /// digest of the whole prompt.
        request: Digest,
    },
}

/// matches a turn request, given by `extends` or by its full message list, against the history of a program.
pub(super) fn match_turn(program: &Program, body: TurnBody) -> Result<TurnMatch, Box<Problem>> {
    let (base, omitted) = match &body.extends {
        Some(text) => {
            let digest: Digest = text.parse().map_err(|error: anyhow::Error| {
                let problem = refuse(400, "invalid_turn", error.to_string());
                Box::new(Problem { place: Some("/extends".to_owned()), ..problem })
            })?;
            (digest, None)
        }
        None => full_list_base(program, &body.messages),
    };
    let mut digest = base;
    let mut new_from = (body.extends.is_some() && base == program.digest).then_some(0);
    for (index, message) in body.messages.iter().enumerate() {
        if omitted.is_some_and(|omitted| index + omitted == program.messages.len())
            && digest == program.digest
        {
            new_from = Some(index);
        }
        digest = digest.extend(message);
    }
    if omitted.is_some_and(|omitted| body.messages.len() + omitted == program.messages.len())
        && digest == program.digest
    {
        new_from = Some(body.messages.len());
    }
    let turn_matches = |turn: u32| body.turn.is_none_or(|asked| asked == turn);
    if program.last_request == Some(digest) && turn_matches(program.turn) {
        return Ok(TurnMatch::Last);
    }
    if let Some(turn) = program.turn_in_flight()
        && turn.request == digest
        && turn_matches(turn.turn)
    {
        return Ok(TurnMatch::InFlight);
    }
    match new_from {
        Some(index) if turn_matches(program.turn + 1) => {
            let mut messages = body.messages;
            Ok(TurnMatch::Next { messages: messages.split_off(index), request: digest })
        }
        _ => Err(Box::new(history_mismatch(program))),
    }
}

/// digest before the first message of a full list, and how many stored messages the list omits.
///
/// A caller may leave out the system prompt, which is then taken as its first message.
fn full_list_base(program: &Program, messages: &[ChatMessage]) -> (Digest, Option<usize>) {
    match program.system_message() {
        Some(system) if messages.first() != Some(&system) => (Digest::EMPTY.extend(&system), Some(1)),
        _ => (Digest::EMPTY, Some(0)),
    }
}

fn history_mismatch(program: &Program) -> Problem {
    let detail = "the turn does not extend the committed history";
    Problem { known: Some(program.history()), ..refuse(409, "history_mismatch", detail) }
}
