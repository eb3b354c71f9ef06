//! deterministic simulation of owners in virtual time, from a seed: an in-memory platform, engines, services
//! and callers with injected faults, and a reference model that checks what callers see.
#![allow(dead_code, reason = "each test uses a part of it")]

pub mod caller;
pub mod plan;
pub mod platform;
pub mod script;
pub mod simulation;
mod simulation_calls;
mod simulation_checks;
pub mod trace;
pub mod upstreams;

#[allow(unused_imports, reason = "each test uses a part of it")]
pub use plan::Plan;
#[allow(unused_imports, reason = "each test uses a part of it")]
pub use simulation::Simulation;
