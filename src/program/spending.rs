use crate::ids::ProgramId;
use crate::program::Outbox;
use crate::program::Programs;
use crate::program::budget;
use crate::schema::ChargedRecord;
use crate::schema::ReservedRecord;

/// context window of a model that is gone from the configuration.
const DEFAULT_CONTEXT_TOKENS: u64 = 400_000;

impl Programs {
    /// charges tokens spent without a committed answer, and takes them off the reservation.
    pub(super) fn charge(&mut self, id: &ProgramId, spent: u64, out: &mut Outbox) {
        if spent == 0 {
            return;
        }
        let Some(program) = self.program_mut(id) else { return };
        program.spent_tokens += spent;
        program.allowance_tokens = program.allowance_tokens.saturating_sub(spent);
        if let Some(turn) = program.turn_in_flight_mut() {
            turn.reserved_tokens = turn.reserved_tokens.saturating_sub(spent);
        }
        let allowance_tokens = program.allowance_tokens;
        let record = ChargedRecord { program: id.to_string(), charged_tokens: spent, allowance_tokens };
        self.append(id, record, out);
    }

    pub(super) fn free_tokens(&self, id: &ProgramId, budget_tokens: u64) -> u64 {
        let Some(slot) = self.slots.get(&self.slot_of(id)) else { return 0 };
        let free = budget::free_tokens(slot, id, budget_tokens);
        // A sub-agent may have a smaller budget than its run.
        let Some(program) = slot.programs.get(id) else { return 0 };
        free.min(program.opened.budget_tokens.saturating_sub(program.spent_tokens))
    }

    pub(super) fn reclaim_tokens(&mut self, id: &ProgramId, out: &mut Outbox) {
        let Some(slot) = self.slots.get(&self.slot_of(id)) else { return };
        for member in budget::reclaimable(slot, id) {
            let Some(program) = self.program_mut(&member) else { continue };
            program.allowance_tokens = 0;
            let turn = program.turn + 1;
            let record = ReservedRecord { program: member.to_string(), turn, allowance_tokens: 0 };
            self.append(&member, record, out);
        }
    }

    pub(super) fn context_tokens(&self, id: &ProgramId) -> u64 {
        let model = self.program(id).and_then(|program| self.configuration.models.get(&program.opened.model));
        model.map_or(DEFAULT_CONTEXT_TOKENS, |model| model.context_tokens)
    }
}
