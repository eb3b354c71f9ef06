//! load and experiment tool: the decision code against a small engine model in virtual time.

pub mod control;
pub mod decide;
pub mod engine;
pub mod event;
pub mod experiment;
pub mod fault;
pub mod outcome;
pub mod plot;
pub mod policy;
pub mod prefix_cache;
pub mod run;
pub mod summary;
pub mod table;
pub mod workload;
