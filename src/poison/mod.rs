//! poison requests, which crash the replicas that run them: counts victims by content and tells which
//! contents are held, that is, refused.
//!
//! Owns the state of one process. No I/O; time is passed in. See docs/design/poison.md.

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
