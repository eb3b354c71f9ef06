//! the ledger: a replicated store of the token spending of programs, the contents of kept turns, and the
//! software versions that began streams.
//!
//! Owns the records of one ledger node and the quorum rules of their copies. No clock, socket or file is read
//! here. See docs/design/ledger.md.

mod ask_kind;
mod catch_up;
mod core;
mod core_io;
mod homes;
mod kept_turns;
mod missing_turns;
mod node;
mod node_io;
mod peers;
mod quorum;
mod quorum_replies;
mod record_store;
mod retirement;
mod stream_versions;
mod view;
mod view_planner;

pub use ask_kind::AskCounts;
pub use ask_kind::AskKind;
pub use catch_up::CatchUp;
pub use core::NodeCore;
pub use core_io::CoreAction;
pub use core_io::CoreInput;
pub use node::LedgerNode;
pub use node_io::NodeAction;
pub use node_io::NodeIdentity;
pub use quorum::Quorum;
pub use quorum_replies::BudgetDecision;
pub use quorum_replies::History;
pub use quorum_replies::QuorumReplies;
pub use record_store::PAGE_BYTES;
pub use record_store::PoisonNews;
pub use record_store::RecordStore;
pub use record_store::SPEND_RETENTION_MS;
pub use view::empty_view;
pub use view::with_member;
pub use view::without_member;
pub use view_planner::PeerState;
pub use view_planner::ViewChange;
pub use view_planner::ViewPlanner;
