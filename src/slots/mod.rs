//! the table of slot owners that the doors read.

mod slot_table;

pub use slot_table::SlotOwner;
pub use slot_table::SlotTable;
