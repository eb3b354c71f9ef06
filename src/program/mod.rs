//! programs: owns turns, history digests, budget marks, and the intents and outcomes of calls.
//!
//! Pure decision code. Its records go to the journal before anything that they stand for is released.

mod budget;
mod call;
mod calls;
mod jobs;
mod limits;
mod outbox;
mod poison;
#[allow(clippy::module_inception, reason = "the type that the module is named after")]
mod program;
mod programs;
mod refusal;
mod replay;
mod requests;
mod slot_programs;
mod snapshot;
mod spending;
mod timers;
mod tokens;
mod turn;
mod turn_place;
mod turns;

pub use limits::ProgramLimits;
pub use outbox::Outbox;
pub use program::Program;
pub use programs::Programs;
pub use refusal::refuse;
pub use replay::Replay;
pub use slot_programs::SlotPrograms;
pub use tokens::history_tokens;
pub use tokens::message_tokens;
