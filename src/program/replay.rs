use std::collections::BTreeMap;

use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::program::Program;
use crate::program::SlotPrograms;
use crate::program::call::Call;
use crate::schema::CallImage;
use crate::schema::ChatMessage;
use crate::schema::ImagedRecord;
use crate::schema::Record;

/// rebuilds the state of one slot from journals.
#[derive(Debug)]
pub struct Replay {
    slot: SlotId,
    slot_count: u32,
    has_journal: bool,
    state: SlotPrograms,
    snapshots: BTreeMap<ProgramId, PartialSnapshot>,
}

/// a snapshot in several records, of which some may still be missing.
#[derive(Debug)]
struct PartialSnapshot {
    record: ImagedRecord,
    messages: Vec<ChatMessage>,
    calls: Vec<CallImage>,
}

impl Replay {
    /// starts from an empty slot.
    pub fn new(slot: SlotId, slot_count: u32) -> Self {
        Self {
            slot,
            slot_count,
            has_journal: false,
            state: SlotPrograms::default(),
            snapshots: BTreeMap::new(),
        }
    }

    /// applies one whole journal; call it in the order of the slot's sources.
    ///
    /// The first journal counts from its last adoption of the slot, or from its start if it has none. A later
    /// one counts from its adoption at `epoch`, and not at all without it: records before that adoption are
    /// from an earlier ownership, and the journals applied before this one have newer state.
    pub fn apply_journal<'a>(&mut self, records: impl Iterator<Item = &'a Record>, epoch: u64) {
        let first = !std::mem::replace(&mut self.has_journal, true);
        let mut effective: Vec<&Record> = Vec::new();
        let mut in_effect = first;
        for record in records {
            match record {
                Record::Adopted(adopted) if adopted.slot == self.slot.0 => {
                    effective.clear();
                    in_effect = first || adopted.epoch == epoch;
                }
                Record::Adopted(_) => {}
                _ if in_effect && self.is_in_slot(record) => effective.push(record),
                _ => {}
            }
        }
        for record in effective {
            self.apply(record);
        }
        // A snapshot that is incomplete at the end of its journal is ignored.
        self.snapshots.clear();
    }

    /// state of the slot after all journals.
    pub fn into_state(self) -> SlotPrograms {
        self.state
    }

    fn is_in_slot(&self, record: &Record) -> bool {
        program_of(record).is_some_and(|program| ProgramId::from(program).slot(self.slot_count) == self.slot)
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::Opened(record) => {
                let id = ProgramId::from(record.program.as_str());
                self.state.programs.insert(id, Program::open(record.clone()));
            }
            Record::Reserved(record) => {
                if let Some(program) = self.program(&record.program) {
                    program.allowance_tokens = record.allowance_tokens;
                }
            }
            Record::Turned(record) => {
                if let Some(program) = self.program(&record.program) {
                    program.apply_turn(record);
                }
            }
            Record::Charged(record) => {
                if let Some(program) = self.program(&record.program) {
                    program.spent_tokens += record.charged_tokens;
                    program.allowance_tokens = record.allowance_tokens;
                }
            }
            Record::Intended(record) => {
                if let Some(program) = self.program(&record.program) {
                    program.calls.insert(record.call.clone(), Call::restore(record.clone(), None));
                }
            }
            Record::Resolved(record) => {
                if let Some(program) = self.program(&record.program)
                    && let Some(call) = program.calls.get_mut(&record.call)
                {
                    call.resolve(record.clone());
                }
            }
            Record::Ended(record) => {
                if let Some(program) = self.program(&record.program) {
                    program.ended = Some(record.clone());
                }
            }
            Record::Forgotten(record) => {
                self.state.programs.remove(&ProgramId::from(record.program.as_str()));
            }
            Record::Imaged(record) => {
                let id = ProgramId::from(record.program.as_str());
                let snapshot =
                    PartialSnapshot { record: record.clone(), messages: Vec::new(), calls: Vec::new() };
                self.snapshots.insert(id.clone(), snapshot);
                self.finish_snapshot(&id);
            }
            Record::ImagedMessages(record) => {
                let id = ProgramId::from(record.program.as_str());
                if let Some(snapshot) = self.snapshots.get_mut(&id)
                    && snapshot.messages.len() == record.first as usize
                {
                    snapshot.messages.extend(record.messages.iter().cloned());
                }
                self.finish_snapshot(&id);
            }
            Record::ImagedCalls(record) => {
                let id = ProgramId::from(record.program.as_str());
                if let Some(snapshot) = self.snapshots.get_mut(&id) {
                    snapshot.calls.extend(record.calls.iter().cloned());
                }
                self.finish_snapshot(&id);
            }
            Record::Adopted(_) => {}
        }
    }

    fn finish_snapshot(&mut self, id: &ProgramId) {
        let Some(snapshot) = self.snapshots.get(id) else { return };
        let messages_whole = snapshot.messages.len() == snapshot.record.message_count as usize;
        if !messages_whole || snapshot.calls.len() < snapshot.record.call_count as usize {
            return;
        }
        if let Some(snapshot) = self.snapshots.remove(id) {
            self.state.programs.insert(id.clone(), snapshot.into_program());
        }
    }

    fn program(&mut self, id: &str) -> Option<&mut Program> {
        self.state.programs.get_mut(&ProgramId::from(id))
    }
}

impl PartialSnapshot {
    fn into_program(self) -> Program {
        let record = self.record;
        let mut program = Program::open(record.opened);
        program.messages.clear();
        program.digest = crate::ids::Digest::EMPTY;
        program.history_tokens = 0;
        program.extend(self.messages);
        program.turn = record.turn;
        program.spent_tokens = record.spent_tokens;
        program.allowance_tokens = record.allowance_tokens;
        program.last_request = record.last_request_digest.parse().ok();
        program.last_usage = record.last_usage;
        program.last_finish_reason = record.last_finish_reason;
        program.last_new_messages = record.last_new_messages;
        for call in record.calls.into_iter().chain(self.calls) {
            let resolved = call.resolved.into_iter().next();
            program.calls.insert(call.intended.call.clone(), Call::restore(call.intended, resolved));
        }
        program.ended = record.ended.into_iter().next();
        program
    }
}

fn program_of(record: &Record) -> Option<&str> {
    match record {
        Record::Opened(record) => Some(&record.program),
        Record::Reserved(record) => Some(&record.program),
        Record::Turned(record) => Some(&record.program),
        Record::Charged(record) => Some(&record.program),
        Record::Intended(record) => Some(&record.program),
        Record::Resolved(record) => Some(&record.program),
        Record::Ended(record) => Some(&record.program),
        Record::Forgotten(record) => Some(&record.program),
        Record::Imaged(record) => Some(&record.program),
        Record::ImagedMessages(record) => Some(&record.program),
        Record::ImagedCalls(record) => Some(&record.program),
        Record::Adopted(_) => None,
    }
}
