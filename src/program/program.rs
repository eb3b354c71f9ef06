use std::collections::BTreeMap;

use crate::ids::Digest;
use crate::ids::ProgramId;
use crate::program::call::Call;
use crate::program::tokens::history_tokens;
use crate::program::turn::TurnInFlight;
use crate::schema::ChatMessage;
use crate::schema::EndedRecord;
use crate::schema::HistoryState;
use crate::schema::OpenedRecord;
use crate::schema::Role;
use crate::schema::TurnedRecord;
use crate::schema::Usage;

/// one program: its committed state, and the work in flight.
#[derive(Clone, Debug)]
pub struct Program {
    /// record of its opening; the system prompt is also the first of `messages`.
    pub opened: OpenedRecord,
    /// committed history.
    pub messages: Vec<ChatMessage>,
    /// digest of `messages`.
    pub digest: Digest,
    /// upper bound of the tokens of `messages`.
    pub history_tokens: u64,
    /// number of the last committed turn, 0 before the first.
    pub turn: u32,
    /// tokens charged so far.
    pub spent_tokens: u64,
    /// tokens reserved by a record and not charged yet.
    pub allowance_tokens: u64,
    /// digest of the whole prompt of the last committed turn.
    pub last_request: Option<Digest>,
    /// token usage of the last committed turn.
    pub last_usage: Usage,
    /// finish reason that the engine gave for the last committed turn.
    pub last_finish_reason: String,
    /// number of messages that the last committed turn added before its answer.
    pub last_new_messages: u32,
    /// calls by identifier.
    pub calls: BTreeMap<String, Call>,
    /// record of its end, once committed.
    pub ended: Option<EndedRecord>,
    /// work in flight; boxed, since most programs are idle most of the time.
    pub in_flight: Option<Box<InFlight>>,
}

/// work in flight for one program.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    /// tickets that wait for the opening to be committed.
    pub opening: Option<Vec<u64>>,
    /// the turn in flight, at most one.
    pub turn: Option<TurnInFlight>,
    /// tickets that wait for the end to be committed.
    pub ending: Option<Vec<u64>>,
    /// records appended and not committed yet.
    pub pending_records: u32,
}

impl InFlight {
    fn is_empty(&self) -> bool {
        self.opening.is_none() && self.turn.is_none() && self.ending.is_none() && self.pending_records == 0
    }
}

impl Program {
    /// builds the state right after the opening.
    pub fn open(opened: OpenedRecord) -> Self {
        let mut program = Self {
            messages: Vec::new(),
            digest: Digest::EMPTY,
            history_tokens: 0,
            turn: 0,
            spent_tokens: 0,
            allowance_tokens: opened.allowance_tokens,
            last_request: None,
            last_usage: Usage { prompt_tokens: 0, cached_tokens: 0, completion_tokens: 0 },
            last_finish_reason: String::new(),
            last_new_messages: 0,
            calls: BTreeMap::new(),
            ended: None,
            in_flight: None,
            opened,
        };
        if let Some(message) = program.system_message() {
            program.extend(vec![message]);
        }
        program
    }

    /// identifier of the program.
    pub fn id(&self) -> ProgramId {
        ProgramId::from(self.opened.program.as_str())
    }

    /// system prompt as a message, if there is one.
    pub fn system_message(&self) -> Option<ChatMessage> {
        let prompt = self.opened.system_prompt.as_ref()?;
        Some(ChatMessage {
            role: Role::System,
            content: Some(serde_json::Value::String(prompt.clone())),
            name: None,
            tool_call_id: None,
            tool_calls: Vec::new(),
        })
    }

    /// appends committed messages to the history.
    pub fn extend(&mut self, messages: Vec<ChatMessage>) {
        self.digest = self.digest.extend_all(&messages);
        self.history_tokens += history_tokens(&messages);
        self.messages.extend(messages);
    }

    /// applies a committed turn.
    pub fn apply_turn(&mut self, record: &TurnedRecord) {
        let request = self.digest.extend_all(&record.messages);
        self.extend(record.messages.clone());
        self.extend(vec![record.answer.clone()]);
        self.turn = record.turn;
        self.spent_tokens += record.charged_tokens;
        self.allowance_tokens = record.allowance_tokens;
        self.last_request = Some(request);
        self.last_usage = record.usage.clone();
        self.last_finish_reason = record.finish_reason.clone();
        self.last_new_messages = record.messages.len() as u32;
    }

    /// last turn, digest and length of the committed history.
    pub fn history(&self) -> HistoryState {
        HistoryState {
            turn: self.turn,
            digest: self.digest.to_string(),
            messages: self.messages.len() as u32,
        }
    }

    /// tokens that count against the budget in addition to those charged.
    pub fn reserved_tokens(&self) -> u64 {
        match self.turn_in_flight() {
            Some(turn) => turn.reserved_tokens.max(self.allowance_tokens),
            None => self.allowance_tokens,
        }
    }

    /// the turn in flight, if any.
    pub fn turn_in_flight(&self) -> Option<&TurnInFlight> {
        self.in_flight.as_ref()?.turn.as_ref()
    }

    /// mutable access to the turn in flight.
    pub fn turn_in_flight_mut(&mut self) -> Option<&mut TurnInFlight> {
        self.in_flight.as_mut()?.turn.as_mut()
    }

    /// work in flight, created on demand.
    pub fn in_flight_mut(&mut self) -> &mut InFlight {
        self.in_flight.get_or_insert_default()
    }

    /// frees `in_flight` once nothing is left in it.
    pub fn prune(&mut self) {
        if self.in_flight.as_ref().is_some_and(|in_flight| in_flight.is_empty()) {
            self.in_flight = None;
        }
    }

    /// whether the opening is committed.
    pub fn is_open(&self) -> bool {
        self.in_flight.as_ref().is_none_or(|in_flight| in_flight.opening.is_none())
    }

    /// whether it has ended or its end waits to be committed.
    pub fn is_ending(&self) -> bool {
        self.ended.is_some() || self.in_flight.as_ref().is_some_and(|in_flight| in_flight.ending.is_some())
    }

    /// records appended and not committed yet.
    pub fn pending_records(&self) -> u32 {
        self.in_flight.as_ref().map_or(0, |in_flight| in_flight.pending_records)
    }

    /// counts an appended record.
    pub fn record_appended(&mut self) {
        self.in_flight_mut().pending_records += 1;
    }

    /// counts a committed record.
    pub fn record_committed(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.pending_records = in_flight.pending_records.saturating_sub(1);
        }
        self.prune();
    }

    /// whether a handover now would interrupt nothing.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.calls.values().all(|call| !call.is_in_flight())
    }
}
