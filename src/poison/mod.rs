//! requests that end the replicas that run them: which runs count against a content, and which contents are refused.
//!
//! Owns what one process knows of them. Decisions only; time comes in as an argument. See docs/design/poison.md.

mod door_poison;
mod run;
mod strikes;
mod suspicions;
mod untold;

pub use door_poison::DoorPoison;
pub use run::Evidence;
pub use run::ReplicaRun;
pub use strikes::Strikes;
pub use strikes::VICTIMS_TO_HOLD;
pub use suspicions::Suspicions;
pub use untold::Untold;
