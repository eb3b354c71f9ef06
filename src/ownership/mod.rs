//! ownership of slots: which slots this incarnation holds at which epoch, takeover and handover.
//!
//! Pure decision code. Members and time propose; the conditional update of a slot's object decides, and the
//! seal of a journal makes it safe.

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
