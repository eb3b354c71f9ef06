//! small stand-ins for the outside systems: platform, model engine, plain service and weight store.
//!
//! Each speaks `docs/PROTOCOLS.md` over HTTP and has control routes for scripted faults. The parts
//! that decide something (`platform::Store`, `engine::BatchModel`) are plain state machines and
//! also run in virtual time.

pub mod engine;
pub mod host;
pub mod platform;
pub mod replica;
pub mod service;
pub mod weights;

mod seeded;

pub use seeded::Seeded;
