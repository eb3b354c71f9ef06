//! identifiers shared between modules.

mod digest;
mod incarnation;
mod program_id;
mod slot_id;

pub use digest::Digest;
pub use incarnation::Incarnation;
pub use program_id::ProgramId;
pub use slot_id::SlotId;
