//! one run of a workload under one policy, in virtual time.

mod engines;
mod faults;
mod state;
mod turns;

pub use state::Run;
pub use state::RunPlan;
