use crate::ids::Incarnation;
use crate::ids::SlotId;

/// what is known of one slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotOwner {
    /// the owner named by the platform's object, as last seen.
    pub owner: Option<Incarnation>,
    /// epoch of that object.
    pub epoch: u64,
    /// whether this instance owns the slot and has its state in memory.
    pub serving: bool,
}

/// one snapshot of all slots, indexed by slot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotTable {
    /// one row a slot.
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
