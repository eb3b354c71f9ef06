//! whether a front door reaches the replicas, and which other door takes its requests while it does not.
//!
//! Decisions only; `src/door` opens the connections. See docs/design/cut-off-doors.md.

mod helper_choice;
mod pass_tag;
mod pass_window;
mod replica_reach;

pub use helper_choice::HelperChoice;
pub use pass_tag::NOT_TAKEN_HEADER;
pub use pass_tag::PASS_HEADER;
pub use pass_tag::PassTag;
pub use pass_tag::PassedRequest;
pub use pass_tag::RUN_AT_HEADER;
pub use pass_window::PassWindows;
pub use replica_reach::Belief;
pub use replica_reach::CHECK_TIMEOUT_MS;
pub use replica_reach::CHECKED_REPLICAS;
pub use replica_reach::ReplicaReach;
