//! requests that end the replicas that run them: which runs count against a content, and which contents are refused.
//!
//! Owns what one process knows of them. Decisions only; time comes in as an argument. See docs/design/poison.md.

mod pending_strikes;
mod poison_state;
mod run;
mod strikes;
mod suspect_runs;

pub use pending_strikes::PendingStrikes;
pub use poison_state::PoisonState;
pub use run::Evidence;
pub use run::ReplicaRun;
pub use strikes::HOLD_THRESHOLD;
pub use strikes::Strikes;
pub use suspect_runs::SuspectRuns;
