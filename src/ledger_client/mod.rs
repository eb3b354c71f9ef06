//! how a front door uses the ledger: reserves tokens, fetches histories, and stores turns that have ended.
//!
//! Owns the questions under way to ledger nodes and the view that the door follows.

mod admission;
mod answer_times;
mod client;
mod finish;
mod gate;
mod reservation;
mod round;

pub use admission::Admission;
pub use admission::Entry;
pub use admission::WaitKey;
pub use answer_times::AnswerTimes;
pub use answer_times::AwaitedStep;
pub use client::AskOutcome;
pub use client::AskUpdate;
pub use client::LedgerClient;
pub use finish::NotStored;
pub use reservation::BeginResult;
pub use reservation::NotConfirmed;
pub use reservation::Reservation;
pub use reservation::TurnStart;
