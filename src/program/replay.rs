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

/// builds the state of one slot from journals.
#[derive(Debug)]
pub struct Replay {
    slot: SlotId,
    slot_count: u32,
    begun: bool,
    state: SlotPrograms,
    images: BTreeMap<ProgramId, Image>,
}

/// a snapshot of which parts may be missing.
#[derive(Debug)]
struct Image {
    record: ImagedRecord,
    messages: Vec<ChatMessage>,
    calls: Vec<CallImage>,
}

impl Replay {
    /// an empty slot.
    pub fn new(slot: SlotId, slot_count: u32) -> Self {
        Self { slot, slot_count, begun: false, state: SlotPrograms::default(), images: BTreeMap::new() }
    }

    /// takes one journal, whole; journals come in the order of the slot's sources.
    ///
    /// The first journal holds all of the slot since its incarnation last adopted it. A later one holds what
    /// follows the adoption at `epoch`, and nothing without it: what stands before comes from an earlier time
    /// as owner, and the journals between know better.
    pub fn apply_journal<'a>(&mut self, records: impl Iterator<Item = &'a Record>, epoch: u64) {
        let first = !std::mem::replace(&mut self.begun, true);
        let mut counting: Vec<&Record> = Vec::new();
        let mut counts = first;
        for record in records {
            match record {
                Record::Adopted(adopted) if adopted.slot == self.slot.0 => {
                    counting.clear();
                    counts = first || adopted.epoch == epoch;
                }
                Record::Adopted(_) => {}
                _ if counts && self.is_ours(record) => counting.push(record),
                _ => {}
            }
        }
        for record in counting {
            self.apply(record);
        }
        // A snapshot that its journal does not hold whole never counts.
        self.images.clear();
    }

    /// the state.
    pub fn into_state(self) -> SlotPrograms {
        self.state
    }

    fn is_ours(&self, record: &Record) -> bool {
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
                    program.take_turn(record);
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
                let image = Image { record: record.clone(), messages: Vec::new(), calls: Vec::new() };
                self.images.insert(id.clone(), image);
                self.finish_image(&id);
            }
            Record::ImagedMessages(record) => {
                let id = ProgramId::from(record.program.as_str());
                if let Some(image) = self.images.get_mut(&id)
                    && image.messages.len() == record.first as usize
                {
                    image.messages.extend(record.messages.iter().cloned());
                }
                self.finish_image(&id);
            }
            Record::ImagedCalls(record) => {
                let id = ProgramId::from(record.program.as_str());
                if let Some(image) = self.images.get_mut(&id) {
                    image.calls.extend(record.calls.iter().cloned());
                }
                self.finish_image(&id);
            }
            Record::Adopted(_) => {}
        }
    }

    fn finish_image(&mut self, id: &ProgramId) {
        let Some(image) = self.images.get(id) else { return };
        let messages_whole = image.messages.len() == image.record.message_count as usize;
        if !messages_whole || image.calls.len() < image.record.call_count as usize {
            return;
        }
        if let Some(image) = self.images.remove(id) {
            self.state.programs.insert(id.clone(), image.into_program());
        }
    }

    fn program(&mut self, id: &str) -> Option<&mut Program> {
        self.state.programs.get_mut(&ProgramId::from(id))
    }
}

impl Image {
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
