//! requests that end the replicas that run them: which runs count against a content, and which contents are refused.
//!
//! Owns what one process knows of them. Decisions only; time comes in as an argument. See docs/design/poison.md.

mod run;
mod suspicions;

pub use run::Evidence;
pub use run::ReplicaRun;
pub use suspicions::Suspicions;
