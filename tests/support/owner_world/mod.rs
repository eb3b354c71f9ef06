//! a seeded world of owners in virtual time: an in-memory platform, engines, services and callers with
//! faults, and a naive reference that checks what the callers see.
#![allow(dead_code, reason = "each test uses a part")]

pub mod caller;
pub mod plan;
pub mod platform;
pub mod script;
pub mod trace;
pub mod upstreams;
pub mod world;
mod world_calls;
mod world_checks;

#[allow(unused_imports, reason = "each test uses a part")]
pub use plan::Plan;
#[allow(unused_imports, reason = "each test uses a part")]
pub use world::Simulation;
