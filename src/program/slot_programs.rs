use std::collections::BTreeMap;
use std::ops::Bound;

use crate::ids::ProgramId;
use crate::program::Program;

/// the programs of one slot.
#[derive(Clone, Debug, Default)]
pub struct SlotPrograms {
    /// programs by identifier.
    pub programs: BTreeMap<ProgramId, Program>,
    /// whether new work is held back, since the slot is about to be given away.
    pub draining: bool,
    /// position of the last record of the first snapshot here, once it is appended.
    pub adoption: Option<Adoption>,
}

/// how far a slot's state has been copied into the journal of this incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// programs whose snapshot is not appended yet.
    pub left: Vec<ProgramId>,
    /// position of the last record of the copy so far.
    pub position: u64,
}

impl SlotPrograms {
    /// identifiers of a root program and its sub-agents.
    pub fn family(&self, root: &ProgramId) -> Vec<ProgramId> {
        let mut family = Vec::new();
        if self.programs.contains_key(root) {
            family.push(root.clone());
        }
        for (id, _) in self.children(root) {
            family.push(id.clone());
        }
        family
    }

    /// sub-agents of a program, those of sub-agents included.
    pub fn children(&self, id: &ProgramId) -> impl Iterator<Item = (&ProgramId, &Program)> {
        // A child's name continues that of its parent after a point; the slash is the next character.
        let from = ProgramId::from(format!("{id}.").as_str());
        let to = ProgramId::from(format!("{id}/").as_str());
        self.programs.range((Bound::Excluded(from), Bound::Excluded(to)))
    }

    /// tokens that a family has settled.
    pub fn spent_tokens(&self, root: &ProgramId) -> u64 {
        let own = self.programs.get(root).map_or(0, |program| program.spent_tokens);
        own + self.children(root).map(|(_, child)| child.spent_tokens).sum::<u64>()
    }

    /// tokens that a family has reserved and not settled.
    pub fn reserved_tokens(&self, root: &ProgramId) -> u64 {
        let own = self.programs.get(root).map_or(0, Program::reserved_tokens);
        own + self.children(root).map(|(_, child)| child.reserved_tokens()).sum::<u64>()
    }

    /// turns that a family has taken or has in flight.
    pub fn turns(&self, root: &ProgramId) -> u32 {
        let own = self.programs.get(root).map_or(0, turns_of);
        own + self.children(root).map(|(_, child)| turns_of(child)).sum::<u32>()
    }

    /// whether nothing is under way that a handover would cut.
    pub fn is_quiet(&self) -> bool {
        self.programs.values().all(Program::is_quiet)
    }
}

fn turns_of(program: &Program) -> u32 {
    program.turn + u32::from(program.turn_in_flight().is_some())
}
