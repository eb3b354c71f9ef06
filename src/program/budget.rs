use crate::config::Configuration;
use crate::ids::ProgramId;
use crate::program::SlotPrograms;
use crate::schema::OpenedRecord;

/// bounds in force for a run: the smaller of those at its opening and those of the current configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunBounds {
    /// token budget.
    pub(super) budget_tokens: u64,
    /// turns of the root program and its sub-agents together.
    pub(super) max_turns: u32,
    /// deadline in wall-clock time.
    pub(super) deadline_unix_ms: u64,
}

impl RunBounds {
    /// bounds of a run whose root was opened by `opened`.
    pub(super) fn new(opened: &OpenedRecord, configuration: &Configuration) -> Self {
        let mut bounds = Self {
            budget_tokens: opened.budget_tokens,
            max_turns: opened.max_turns,
            deadline_unix_ms: opened.deadline_unix_ms,
        };
        // A run whose agent program is gone from the configuration keeps the bounds of its opening.
        let Some(entry) = configuration.agent_program(&opened.workspace, &opened.agent_program) else {
            return bounds;
        };
        bounds.budget_tokens = bounds.budget_tokens.min(entry.budget_tokens);
        bounds.max_turns = bounds.max_turns.min(entry.max_turns);
        if opened.opened_unix_ms > 0 {
            let deadline = opened.opened_unix_ms.saturating_add(entry.deadline_ms);
            bounds.deadline_unix_ms = bounds.deadline_unix_ms.min(deadline);
        }
        bounds
    }
}

/// a reservation ahead of a turn takes at most one part in this many of the free tokens, since a takeover
/// after a crash charges all of it.
const ALLOWANCE_DIVISOR: u64 = 16;

/// tokens to reserve ahead for the next turn, which `wanted` would cover, in a record that is written anyway.
///
/// Returns 0 when a crash would cost the run too large a part of its budget. The turn then commits a
/// reservation of its own before it starts.
pub(super) fn allowance_tokens(wanted: u64, free: u64) -> u64 {
    if wanted <= free / ALLOWANCE_DIVISOR { wanted } else { 0 }
}

/// tokens that `id` may reserve in total, with its current reservation counted as free.
pub(super) fn free_tokens(slot: &SlotPrograms, id: &ProgramId, budget_tokens: u64) -> u64 {
    let root = id.root();
    let own = slot.programs.get(id).map_or(0, |program| program.reserved_tokens());
    let others = slot.reserved_tokens(&root) - own;
    budget_tokens.saturating_sub(slot.spent_tokens(&root)).saturating_sub(others)
}

/// other programs of the run of `id` that hold a reservation without a turn in flight.
pub(super) fn reclaimable(slot: &SlotPrograms, id: &ProgramId) -> Vec<ProgramId> {
    let mut idle = Vec::new();
    for member in slot.subtree(&id.root()) {
        if member == *id {
            continue;
        }
        let program = &slot.programs[&member];
        if program.turn_in_flight().is_none() && program.allowance_tokens > 0 {
            idle.push(member);
        }
    }
    idle
}
