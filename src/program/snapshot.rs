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

/// a snapshot of all programs, after which older journal entries can be deleted.
#[derive(Clone, Debug)]
pub(super) struct Compaction {
    /// programs without an appended snapshot.
    remaining: Vec<ProgramId>,
    /// journal position of the last record of the snapshot so far.
    position: u64,
    /// number of the last entry that the snapshot makes obsolete.
    through: u64,
}

impl Programs {
    /// takes over a slot whose state was replayed from journals of earlier owners.
    ///
    /// After an `unclean` end of the last owner its reservations are charged, since it may have spent them.
    pub fn adopt(
        &mut self,
        now: Now,
        slot: SlotId,
        epoch: u64,
        state: SlotPrograms,
        unclean: bool,
        out: &mut Outbox,
    ) {
        let remaining: Vec<ProgramId> = state.programs.keys().cloned().collect();
        let position = out.append(AdoptedRecord { slot: slot.0, epoch });
        self.slots.insert(slot, state);
        for id in &remaining {
            if unclean {
                self.charge_allowance(id, out);
            }
            self.adopt_calls(now, id, out);
        }
        self.arm_slot(now, slot);
        if let Some(state) = self.slots.get_mut(&slot) {
            state.adoption = Some(Adoption { remaining, position });
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

    /// appends pending snapshots of adopted slots and of the compaction, up to about `max_bytes`.
    pub fn append_snapshots(&mut self, max_bytes: u64, out: &mut Outbox) {
        let mut free_bytes = max_bytes;
        let adopting: Vec<SlotId> = self.adopting_slots().collect();
        for slot in adopting {
            let Some(mut adoption) = self.slots.get_mut(&slot).and_then(|state| state.adoption.take()) else {
                continue;
            };
            if let Some(position) = self.append_some(&mut adoption.remaining, &mut free_bytes, out) {
                adoption.position = position;
            }
            if let Some(state) = self.slots.get_mut(&slot) {
                state.adoption = Some(adoption);
            }
        }
        let Some(mut compaction) = self.compaction.take() else { return };
        if let Some(position) = self.append_some(&mut compaction.remaining, &mut free_bytes, out) {
            compaction.position = position;
        }
        self.compaction = Some(compaction);
    }

    /// slots whose snapshot in this incarnation's journal is incomplete.
    pub fn adopting_slots(&self) -> impl Iterator<Item = SlotId> + '_ {
        self.slots.iter().filter(|(_, state)| state.adoption.is_some()).map(|(slot, _)| *slot)
    }

    /// returns, once each, the slots whose snapshot is complete and committed in this incarnation's journal.
    pub fn take_adopted(&mut self, committed: u64) -> Vec<SlotId> {
        let mut adopted = Vec::new();
        for (slot, state) in &mut self.slots {
            let whole = state
                .adoption
                .as_ref()
                .is_some_and(|adoption| adoption.remaining.is_empty() && adoption.position <= committed);
            if whole {
                state.adoption = None;
                adopted.push(*slot);
            }
        }
        adopted
    }

    /// starts a snapshot of all programs, after which entries up to `through` can be deleted.
    pub fn start_compaction(&mut self, appended: u64, through: u64) {
        let remaining = self.ids().collect();
        self.compaction = Some(Compaction { remaining, position: appended, through });
    }

    /// whether a compaction is under way.
    pub fn is_compacting(&self) -> bool {
        self.compaction.is_some()
    }

    /// ends the compaction once its snapshot is committed, and returns the last entry that can be deleted.
    pub fn take_compacted(&mut self, committed: u64) -> Option<u64> {
        let compaction = self.compaction.as_ref()?;
        if !compaction.remaining.is_empty() || compaction.position > committed {
            return None;
        }
        self.compaction.take().map(|compaction| compaction.through)
    }

    fn append_some(
        &mut self,
        remaining: &mut Vec<ProgramId>,
        free_bytes: &mut u64,
        out: &mut Outbox,
    ) -> Option<u64> {
        let mut position = None;
        let mut busy = Vec::new();
        while *free_bytes > 0 {
            let Some(id) = remaining.pop() else { break };
            let Some(program) = self.program(&id) else { continue };
            // Uncommitted records precede the snapshot in the journal, but `program` may not have their
            // effects yet. Replay would then lose them to the snapshot, so the program waits.
            if program.pending_records() > 0 {
                busy.push(id);
                continue;
            }
            let bytes = append_snapshot(program, self.limits.snapshot_part_bytes, out);
            *free_bytes = free_bytes.saturating_sub(bytes);
            position = Some(out.appended + out.records.len() as u64);
        }
        remaining.append(&mut busy);
        position
    }
}

/// appends the snapshot of one program and returns its approximate size in bytes, at least 1.
fn append_snapshot(program: &Program, part_bytes: u64, out: &mut Outbox) -> u64 {
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
    total_bytes + append_calls(program, part_bytes, out) + 1
}

/// appends the calls of a snapshot in parts and returns their approximate size in bytes.
fn append_calls(program: &Program, part_bytes: u64, out: &mut Outbox) -> u64 {
    let mut part = Vec::new();
    let mut bytes = 0;
    let mut total_bytes = 0;
    for call in program.calls.values() {
        let image = call.to_image();
        let size = call.stored_bytes();
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

/// longest prefix of the messages within `part_bytes`, at least one message.
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
