//! the state machine of programs: turns, history digests, token budgets, intents and outcomes of calls.
//!
//! Free of I/O: inputs come with the current time, records and actions go out through `Outbox`. Whatever
//! depends on a record, such as an answer, goes out only once the journal has committed the record.

mod budget;
mod call;
mod calls;
mod jobs;
mod limits;
mod outbox;
mod poison;
#[allow(clippy::module_inception, reason = "the module is named after its main type")]
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
mod turn_match;
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
