use crate::clock::Now;
use crate::ids::ProgramId;
use crate::ids::SlotId;
use crate::program::Outbox;
use crate::program::Program;
use crate::program::Programs;
use crate::program::SlotPrograms;
use crate::program::slot_programs::Adoption;
use crate::program::tokens::json_bytes;
use crate::schema::AdoptedRecord;
use crate::schema::ChargedRecord;
use crate::schema::ChatMessage;
use crate::schema::ImagedCallsRecord;
use crate::schema::ImagedMessagesRecord;
use crate::schema::ImagedRecord;

/// a snapshot of all programs, after which older entries of the journal can go.
#[derive(Clone, Debug)]
pub(super) struct Compaction {
    /// programs whose snapshot is not appended yet.
    left: Vec<ProgramId>,
    /// position of the last record of the snapshot so far.
    position: u64,
    /// last entry that is no longer needed afterwards.
    through: u64,
}

impl Programs {
    /// takes over the state of a slot from journals of earlier owners.
    ///
    /// With `unclean` the last owner may have spent what it had reserved.
    pub fn adopt(
        &mut self,
        now: Now,
        slot: SlotId,
        epoch: u64,
        state: SlotPrograms,
        unclean: bool,
        out: &mut Outbox,
    ) {
        let left: Vec<ProgramId> = state.programs.keys().cloned().collect();
        let position = out.append(AdoptedRecord { slot: slot.0, epoch });
        self.slots.insert(slot, state);
        for id in &left {
            if unclean {
                self.charge_allowance(id, out);
            }
            self.adopt_calls(now, id, out);
        }
        self.arm_slot(now, slot);
        if let Some(state) = self.slots.get_mut(&slot) {
            state.adoption = Some(Adoption { left, position });
        }
    }

    fn charge_allowance(&mut self, id: &ProgramId, out: &mut Outbox) {
        let Some(program) = self.program_mut(id) else { return };
        let charged_tokens = std::mem::take(&mut program.allowance_tokens);
        if charged_tokens == 0 {
            return;
        }
        program.spent_tokens += charged_tokens;
        let record = ChargedRecord { program: id.to_string(), charged_tokens, allowance_tokens: 0 };
        self.append(id, record, out);
    }

    /// appends snapshots, at most about `room_bytes` of them.
    pub fn append_snapshots(&mut self, room_bytes: u64, out: &mut Outbox) {
        let mut room = room_bytes;
        let adopting: Vec<SlotId> = self.adopting_slots().collect();
        for slot in adopting {
            let Some(mut adoption) = self.slots.get_mut(&slot).and_then(|state| state.adoption.take()) else {
                continue;
            };
            if let Some(position) = self.image_some(&mut adoption.left, &mut room, out) {
                adoption.position = position;
            }
            if let Some(state) = self.slots.get_mut(&slot) {
                state.adoption = Some(adoption);
            }
        }
        let Some(mut compaction) = self.compaction.take() else { return };
        if let Some(position) = self.image_some(&mut compaction.left, &mut room, out) {
            compaction.position = position;
        }
        self.compaction = Some(compaction);
    }

    /// slots whose state is not yet whole in this incarnation's journal.
    pub fn adopting_slots(&self) -> impl Iterator<Item = SlotId> + '_ {
        self.slots.iter().filter(|(_, state)| state.adoption.is_some()).map(|(slot, _)| *slot)
    }

    /// takes the slots whose state is whole in this incarnation's journal from now on.
    pub fn take_adopted(&mut self, committed: u64) -> Vec<SlotId> {
        let mut adopted = Vec::new();
        for (slot, state) in &mut self.slots {
            let whole = state
                .adoption
                .as_ref()
                .is_some_and(|copy| copy.left.is_empty() && copy.position <= committed);
            if whole {
                state.adoption = None;
                adopted.push(*slot);
            }
        }
        adopted
    }

    /// starts a snapshot of all programs, after which entries up to `through` can go.
    pub fn start_compaction(&mut self, appended: u64, through: u64) {
        let left = self.ids().collect();
        self.compaction = Some(Compaction { left, position: appended, through });
    }

    /// whether a compaction is under way.
    pub fn is_compacting(&self) -> bool {
        self.compaction.is_some()
    }

    /// takes the last entry that can go, once the snapshot lasts.
    pub fn take_compacted(&mut self, committed: u64) -> Option<u64> {
        let compaction = self.compaction.as_ref()?;
        if !compaction.left.is_empty() || compaction.position > committed {
            return None;
        }
        self.compaction.take().map(|compaction| compaction.through)
    }

    fn image_some(&mut self, left: &mut Vec<ProgramId>, room: &mut u64, out: &mut Outbox) -> Option<u64> {
        let mut position = None;
        let mut busy = Vec::new();
        while *room > 0 {
            let Some(id) = left.pop() else { break };
            let Some(program) = self.program(&id) else { continue };
            // Records on their way to the journal stand before the snapshot, which must hold what they say.
            if program.pending_records() > 0 {
                busy.push(id);
                continue;
            }
            let bytes = image(program, self.limits.image_part_bytes, out);
            *room = room.saturating_sub(bytes);
            position = Some(out.appended + out.records.len() as u64);
        }
        left.append(&mut busy);
        position
    }
}

/// appends the snapshot of one program and returns its size, more or less.
fn image(program: &Program, part_bytes: u64, out: &mut Outbox) -> u64 {
    out.append(ImagedRecord {
        program: program.opened.program.clone(),
        opened: program.opened.clone(),
        turn: program.turn,
        spent_tokens: program.spent_tokens,
        allowance_tokens: program.allowance_tokens,
        message_count: program.messages.len() as u32,
        last_request_digest: program.last_request.map(|digest| digest.to_string()).unwrap_or_default(),
        last_usage: program.last_usage.clone(),
        last_finish_reason: program.last_finish_reason.clone(),
        last_new_messages: program.last_new_messages,
        children: Vec::new(),
        calls: Vec::new(),
        call_count: program.calls.len() as u32,
        ended: program.ended.iter().cloned().collect(),
    });
    let mut first = 0;
    let mut total_bytes = 0;
    while first < program.messages.len() {
        let part = part_from(&program.messages[first..], part_bytes);
        total_bytes += part.iter().map(json_bytes).sum::<u64>();
        out.append(ImagedMessagesRecord {
            program: program.opened.program.clone(),
            first: first as u32,
            messages: part.to_vec(),
        });
        first += part.len();
    }
    total_bytes + image_calls(program, part_bytes, out) + 1
}

/// appends the calls of a snapshot in parts and returns their size, more or less.
fn image_calls(program: &Program, part_bytes: u64, out: &mut Outbox) -> u64 {
    let mut part = Vec::new();
    let mut bytes = 0;
    let mut total_bytes = 0;
    for call in program.calls.values() {
        let image = call.image();
        let size = call.kept_bytes();
        if !part.is_empty() && bytes + size > part_bytes {
            let calls = std::mem::take(&mut part);
            out.append(ImagedCallsRecord { program: program.opened.program.clone(), calls });
            bytes = 0;
        }
        part.push(image);
        bytes += size;
        total_bytes += size;
    }
    if !part.is_empty() {
        out.append(ImagedCallsRecord { program: program.opened.program.clone(), calls: part });
    }
    total_bytes
}

/// the longest run of messages within `part_bytes`, at least one.
fn part_from(messages: &[ChatMessage], part_bytes: u64) -> &[ChatMessage] {
    let mut bytes = 0;
    for (index, message) in messages.iter().enumerate() {
        bytes += json_bytes(message);
        if index > 0 && bytes > part_bytes {
            return &messages[..index];
        }
    }
    messages
}
