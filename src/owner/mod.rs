//! the owner of programs: one state machine over slot ownership, the journal and the programs.
//!
//! Free of I/O: inputs come with the current time, the results are actions for a driver to perform.

mod action;
mod fenced;
mod input;
mod leaving;
#[allow(clippy::module_inception, reason = "the module is named after its main type")]
mod owner;
mod platform_calls;
mod poison_store;
mod refusals;
mod settings;
mod upkeep;
mod wait_queue;

pub use action::LookupRequest;
pub use action::OwnerAction;
pub use action::ServiceRequest;
pub use input::LookupOutcome;
pub use input::OwnerInput;
pub use input::ServiceOutcome;
pub use owner::Owner;
pub use settings::OwnerSettings;
