//! ownership of slots: which slots this incarnation owns at which epoch, with takeover and handover.
//!
//! A slot is a fixed partition of the programs; each has one owner at a time. Pure state machine without I/O.
//! Membership and time only suggest an owner: the conditional update of a slot's object decides, and sealing
//! the previous owner's journal fences that owner off.

mod claims;
mod handover;
#[allow(clippy::module_inception, reason = "the main type of the module")]
mod ownership;
mod rows;
mod slot_feed;
mod slot_row;
mod slot_write;

pub use ownership::Ownership;
pub use ownership::OwnershipCall;
pub use ownership::OwnershipSettings;
pub use ownership::OwnershipStep;
pub use ownership::SlotRoute;
pub use slot_row::SourceKey;
