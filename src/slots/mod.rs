//! the table of slot owners, which the doors (front ends) use for routing.

mod slot_table;

pub use slot_table::SlotOwner;
pub use slot_table::SlotTable;
