//! allotments of workspaces: how many requests a workspace may send over all doors.
//!
//! Each seated ledger node grants an equal part of an allotment as tokens that lapse; doors ask for them. Owns the
//! state of both sides. No I/O; time is passed in. See docs/design/allotments.md.

mod account;
mod bounds;
mod door_allotments;
mod holding;
mod ledger;
mod part;
mod recent_programs;
mod terms;

pub use bounds::AllotmentBounds;
pub use door_allotments::Admission;
pub use door_allotments::DoorAllotments;
pub use door_allotments::ProgramStanding;
pub use door_allotments::Question;
pub use holding::Token;
pub use ledger::AllotmentLedger;
pub use recent_programs::RecentPrograms;
pub use terms::AllotmentTerms;
