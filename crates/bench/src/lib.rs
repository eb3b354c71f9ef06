//! load and experiment tool: the decision code against a small engine model in virtual time.

pub mod control;
pub mod engine;
pub mod event;
pub mod fault;
pub mod outcome;
pub mod policy;
pub mod prefix_cache;
pub mod run;
pub mod summary;
pub mod workload;
