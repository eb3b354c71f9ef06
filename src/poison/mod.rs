//! poison requests, which crash the replicas that run them: counts victims by content and tells which
//! contents are held, that is, refused.
//!
//! A run that is neither answered nor known to have ended its replica weighs like a victim until the replica
//! process that had it shows a sign of life.
//!
//! Owns the state of one process. No I/O; time is passed in. See docs/design/poison.md.

mod active_runs;
mod answered_contents;
mod content;
mod hold;
mod life_sign;
mod pending_records;
mod poison_state;
mod remote_runs;
mod reported_runs;
mod run;
mod strikes;
mod suspect_runs;
mod unresolved_runs;

pub use active_runs::ActiveRun;
pub use active_runs::ActiveRuns;
pub use active_runs::RunKey;
pub use answered_contents::AnsweredContents;
pub use content::Content;
pub use content::ContentDigests;
pub use hold::Hold;
pub use life_sign::LifeSign;
pub use pending_records::PendingRecords;
pub use poison_state::PoisonState;
pub use run::Evidence;
pub use run::ReplicaRun;
pub use strikes::HOLD_THRESHOLD;
pub use strikes::Strikes;
pub use suspect_runs::SuspectRuns;
pub use suspect_runs::UnansweredRun;
pub use unresolved_runs::RunMerge;
pub use unresolved_runs::UnresolvedRuns;
