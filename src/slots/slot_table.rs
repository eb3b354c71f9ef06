use crate::ids::Incarnation;
use crate::ids::SlotId;

/// owner of one slot, as known to this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotOwner {
    /// the owner in the platform's object when last seen.
    pub owner: Option<Incarnation>,
    /// epoch of that object.
    pub epoch: u64,
    /// whether this instance owns the slot and has its state in memory.
    pub serving: bool,
}

/// snapshot of the owners of all slots, indexed by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotTable {
    /// one row per slot.
    pub rows: Vec<SlotOwner>,
}

impl SlotTable {
    /// a table in which no owner is known.
    pub fn unknown(slot_count: u32) -> Self {
        Self { rows: vec![SlotOwner::default(); slot_count as usize] }
    }

    /// the row of `slot`.
    pub fn row(&self, slot: SlotId) -> &SlotOwner {
        &self.rows[slot.0 as usize]
    }
}
