//! client side of the ledger in a front door: reserves tokens, fetches histories, stores ended turns, and knows
//! which software began a stream.
//!
//! Owns the asks in flight to ledger nodes and the view that the door follows.

mod admission;
mod answer_times;
mod client;
mod finish;
mod limiter;
mod reservation;
mod round;
mod streams;

pub use admission::AcquireResult;
pub use admission::Admission;
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
pub use streams::LookupError;
