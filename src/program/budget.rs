use crate::config::Configuration;
use crate::ids::ProgramId;
use crate::program::SlotPrograms;
use crate::schema::OpenedRecord;

/// the bounds of one run in force now: those it was opened with, or those of the configuration if smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunBounds {
    /// most tokens.
    pub(super) budget_tokens: u64,
    /// most turns.
    pub(super) max_turns: u32,
    /// wall time of its deadline.
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
        // A run goes on under its own bounds when its agent program is withdrawn.
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

/// most that is reserved ahead of a turn, as a part of what is left: a takeover counts it as spent.
const ALLOWANCE_PARTS: u64 = 16;

/// tokens to reserve for the next turn together with another record, when `wanted` would cover it.
///
/// Nothing is reserved when that would put too much of the run at stake; the turn then commits its
/// reservation by itself.
pub(super) fn allowance_tokens(wanted: u64, free: u64) -> u64 {
    if wanted <= free / ALLOWANCE_PARTS { wanted } else { 0 }
}

/// tokens that `id` may reserve in place of what it has reserved now.
pub(super) fn free_tokens(slot: &SlotPrograms, id: &ProgramId, budget_tokens: u64) -> u64 {
    let root = id.root();
    let own = slot.programs.get(id).map_or(0, |program| program.reserved_tokens());
    let others = slot.reserved_tokens(&root) - own;
    budget_tokens.saturating_sub(slot.spent_tokens(&root)).saturating_sub(others)
}

/// idle relatives of `id` whose reservation can be taken back.
pub(super) fn reclaimable(slot: &SlotPrograms, id: &ProgramId) -> Vec<ProgramId> {
    let mut idle = Vec::new();
    for relative in slot.family(&id.root()) {
        if relative == *id {
            continue;
        }
        let program = &slot.programs[&relative];
        if program.turn_in_flight().is_none() && program.allowance_tokens > 0 {
            idle.push(relative);
        }
    }
    idle
}
