//! the owner of programs: ownership, journal and programs behind one state machine.
//!
//! Pure decision code: the time and each input are arguments, the results are actions.

mod action;
mod fenced;
mod input;
mod leaving;
#[allow(clippy::module_inception, reason = "the main type of the module")]
mod owner;
mod platform_calls;
mod poison_store;
mod refusals;
mod settings;
mod upkeep;
mod waiting;

pub use action::LookupRequest;
pub use action::OwnerAction;
pub use action::ServiceRequest;
pub use input::LookupOutcome;
pub use input::OwnerInput;
pub use input::ServiceOutcome;
pub use owner::Owner;
pub use settings::OwnerSettings;
