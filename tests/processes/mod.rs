//! processes and callers for tests that run the real programs.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod caller;
pub mod cluster;
pub mod ports;
pub mod script;
pub mod wait;
