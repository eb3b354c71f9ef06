//! a seeded world of owners in virtual time: an in-memory platform, engines, services and callers with
//! faults, and a naive reference that checks what the callers see.
#![allow(dead_code, reason = "each test uses a part")]

pub mod caller;
pub mod platform;
pub mod script;
pub mod upstreams;
pub mod world;

#[allow(unused_imports, reason = "each test uses a part")]
pub use world::Plan;
#[allow(unused_imports, reason = "each test uses a part")]
pub use world::World;
