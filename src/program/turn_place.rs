use crate::ids::Digest;
use crate::program::Program;
use crate::program::refuse;
use crate::schema::ChatMessage;
use crate::schema::Problem;
use crate::schema::TurnBody;

/// what a turn request means for the history.
pub(super) enum Place {
    /// it repeats the last answered turn.
    Last,
    /// it repeats the turn in flight.
    InFlight,
    /// it extends the history.
    Next {
        /// new messages.
        messages: Vec<ChatMessage>,
        /// digest of the whole prompt.
        request: Digest,
    },
}

/// finds what a turn request means for the history of a program.
pub(super) fn place(program: &Program, body: TurnBody) -> Result<Place, Box<Problem>> {
    let (base, known) = match &body.extends {
        Some(text) => {
            let digest: Digest = text.parse().map_err(|error: anyhow::Error| {
                let problem = refuse(400, "invalid_turn", error.to_string());
                Box::new(Problem { place: Some("/extends".to_owned()), ..problem })
            })?;
            (digest, None)
        }
        None => whole_list_base(program, &body.messages),
    };
    let mut digest = base;
    let mut new_from = (body.extends.is_some() && base == program.digest).then_some(0);
    for (index, message) in body.messages.iter().enumerate() {
        if known.is_some_and(|skipped| index + skipped == program.messages.len()) && digest == program.digest
        {
            new_from = Some(index);
        }
        digest = digest.extend(message);
    }
    if known.is_some_and(|skipped| body.messages.len() + skipped == program.messages.len())
        && digest == program.digest
    {
        new_from = Some(body.messages.len());
    }
    let fits = |turn: u32| body.turn.is_none_or(|asked| asked == turn);
    if program.last_request == Some(digest) && fits(program.turn) {
        return Ok(Place::Last);
    }
    if let Some(turn) = program.turn_in_flight()
        && turn.request == digest
        && fits(turn.turn)
    {
        return Ok(Place::InFlight);
    }
    match new_from {
        Some(index) if fits(program.turn + 1) => {
            let mut messages = body.messages;
            Ok(Place::Next { messages: messages.split_off(index), request: digest })
        }
        _ => Err(Box::new(other_history(program))),
    }
}

/// digest before the first message of a whole list, and how many stored messages it leaves out.
fn whole_list_base(program: &Program, messages: &[ChatMessage]) -> (Digest, Option<usize>) {
    match program.system_message() {
        Some(system) if messages.first() != Some(&system) => (Digest::EMPTY.extend(&system), Some(1)),
        _ => (Digest::EMPTY, Some(0)),
    }
}

fn other_history(program: &Program) -> Problem {
    let detail = "the turn does not extend the committed history";
    Problem { known: Some(program.history()), ..refuse(409, "history_mismatch", detail) }
}
