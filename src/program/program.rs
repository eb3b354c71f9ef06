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

/// one program: what its journal says of it, and what is in flight.
#[derive(Clone, Debug)]
pub struct Program {
    /// how it was opened; its system prompt stands in `messages`.
    pub opened: OpenedRecord,
    /// committed history.
    pub messages: Vec<ChatMessage>,
    /// digest of the committed history.
    pub digest: Digest,
    /// tokens of the committed history.
    pub history_tokens: u64,
    /// last committed turn.
    pub turn: u32,
    /// tokens settled.
    pub spent_tokens: u64,
    /// tokens reserved durably and not settled.
    pub allowance_tokens: u64,
    /// digest of the request of the last turn.
    pub last_request: Option<Digest>,
    /// usage of the last turn.
    pub last_usage: Usage,
    /// why the engine stopped at the last turn.
    pub last_finish_reason: String,
    /// messages that the last request added.
    pub last_new_messages: u32,
    /// calls by their identifier.
    pub calls: BTreeMap<String, Call>,
    /// its end, once committed.
    pub ended: Option<EndedRecord>,
    /// what is in flight; most programs are idle most of the time.
    pub live: Option<Box<Live>>,
}

/// what is in flight for a program.
#[derive(Clone, Debug, Default)]
pub struct Live {
    /// requests that wait for the commit of the opening.
    pub opening: Option<Vec<u64>>,
    /// the turn in flight.
    pub turn: Option<TurnInFlight>,
    /// requests that wait for the commit of the end.
    pub ending: Option<Vec<u64>>,
    /// records that the journal has not committed.
    pub pending_records: u32,
}

impl Live {
    fn is_empty(&self) -> bool {
        self.opening.is_none() && self.turn.is_none() && self.ending.is_none() && self.pending_records == 0
    }
}

impl Program {
    /// a program that was just opened.
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
            live: None,
            opened,
        };
        if let Some(message) = program.system_message() {
            program.extend(vec![message]);
        }
        program
    }

    /// identifier.
    pub fn id(&self) -> ProgramId {
        ProgramId::from(self.opened.program.as_str())
    }

    /// the message that the system prompt makes.
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

    /// adds committed messages to the history.
    pub fn extend(&mut self, messages: Vec<ChatMessage>) {
        self.digest = self.digest.extend_all(&messages);
        self.history_tokens += history_tokens(&messages);
        self.messages.extend(messages);
    }

    /// takes a committed turn.
    pub fn take_turn(&mut self, record: &TurnedRecord) {
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

    /// how far the committed history has come.
    pub fn history(&self) -> HistoryState {
        HistoryState {
            turn: self.turn,
            digest: self.digest.to_string(),
            messages: self.messages.len() as u32,
        }
    }

    /// tokens that count against the budget beside those settled.
    pub fn reserved_tokens(&self) -> u64 {
        match self.turn_in_flight() {
            Some(turn) => turn.held_tokens.max(self.allowance_tokens),
            None => self.allowance_tokens,
        }
    }

    /// the turn in flight.
    pub fn turn_in_flight(&self) -> Option<&TurnInFlight> {
        self.live.as_ref()?.turn.as_ref()
    }

    /// the turn in flight, to change it.
    pub fn turn_in_flight_mut(&mut self) -> Option<&mut TurnInFlight> {
        self.live.as_mut()?.turn.as_mut()
    }

    /// what is in flight, made on demand.
    pub fn live_mut(&mut self) -> &mut Live {
        self.live.get_or_insert_default()
    }

    /// drops what is in flight when it is empty.
    pub fn settle(&mut self) {
        if self.live.as_ref().is_some_and(|live| live.is_empty()) {
            self.live = None;
        }
    }

    /// whether the opening lasts.
    pub fn is_open(&self) -> bool {
        self.live.as_ref().is_none_or(|live| live.opening.is_none())
    }

    /// whether it ended or is about to.
    pub fn is_ending(&self) -> bool {
        self.ended.is_some() || self.live.as_ref().is_some_and(|live| live.ending.is_some())
    }

    /// records that the journal has not committed.
    pub fn pending_records(&self) -> u32 {
        self.live.as_ref().map_or(0, |live| live.pending_records)
    }

    /// one more record waits for its commit.
    pub fn record_appended(&mut self) {
        self.live_mut().pending_records += 1;
    }

    /// a record of this program was committed.
    pub fn record_committed(&mut self) {
        if let Some(live) = &mut self.live {
            live.pending_records = live.pending_records.saturating_sub(1);
        }
        self.settle();
    }

    /// whether nothing of it is under way that a handover would cut.
    pub fn is_quiet(&self) -> bool {
        self.live.is_none() && self.calls.values().all(|call| !call.is_running())
    }
}
