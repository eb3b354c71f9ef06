//! the owner of programs: ownership, journal and programs behind one state machine.
//!
//! Pure decision code: the time and each input are arguments, the results are actions.

mod action;
mod input;

pub use action::Action;
pub use action::ServiceRequest;
pub use input::Input;
pub use input::ServiceOutcome;
