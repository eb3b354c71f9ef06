use std::collections::BTreeMap;
use std::ops::Bound;

use crate::ids::ProgramId;
use crate::program::Program;

/// state of one slot.
#[derive(Clone, Debug, Default)]
pub struct SlotPrograms {
    /// programs by identifier.
    pub programs: BTreeMap<ProgramId, Program>,
    /// whether new work is paused because the slot is about to be given away.
    pub draining: bool,
    /// progress of the first snapshot after an adoption, until it is committed.
    pub adoption: Option<Adoption>,
}

/// progress of copying an adopted slot into the journal of this incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// programs without an appended snapshot.
    pub remaining: Vec<ProgramId>,
    /// journal position of the last record of the copy so far.
    pub position: u64,
}

impl SlotPrograms {
    /// identifiers of a root program and its sub-agents.
    pub fn subtree(&self, root: &ProgramId) -> Vec<ProgramId> {
        let mut subtree = Vec::new();
        if self.programs.contains_key(root) {
            subtree.push(root.clone());
        }
        for (id, _) in self.descendants(root) {
            subtree.push(id.clone());
        }
        subtree
    }

    /// sub-agents of a program, at any depth.
    pub fn descendants(&self, id: &ProgramId) -> impl Iterator<Item = (&ProgramId, &Program)> {
        // A sub-agent's identifier is its parent's, a dot and a suffix; `/` is the character after the dot.
        let from = ProgramId::from(format!("{id}.").as_str());
        let to = ProgramId::from(format!("{id}/").as_str());
        self.programs.range((Bound::Excluded(from), Bound::Excluded(to)))
    }

    /// tokens charged to a root program and its sub-agents.
    pub fn spent_tokens(&self, root: &ProgramId) -> u64 {
        let own = self.programs.get(root).map_or(0, |program| program.spent_tokens);
        own + self.descendants(root).map(|(_, child)| child.spent_tokens).sum::<u64>()
    }

    /// tokens reserved and not charged by a root program and its sub-agents.
    pub fn reserved_tokens(&self, root: &ProgramId) -> u64 {
        let own = self.programs.get(root).map_or(0, Program::reserved_tokens);
        own + self.descendants(root).map(|(_, child)| child.reserved_tokens()).sum::<u64>()
    }

    /// turns committed or in flight of a root program and its sub-agents.
    pub fn turns(&self, root: &ProgramId) -> u32 {
        let own = self.programs.get(root).map_or(0, turns_of);
        own + self.descendants(root).map(|(_, child)| turns_of(child)).sum::<u32>()
    }

    /// whether a handover now would interrupt nothing.
    pub fn is_idle(&self) -> bool {
        self.programs.values().all(Program::is_idle)
    }
}

fn turns_of(program: &Program) -> u32 {
    program.turn + u32::from(program.turn_in_flight().is_some())
}
