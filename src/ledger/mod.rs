//! the ledger: what programs have spent and what was said in kept turns, on the disks of a few nodes.
//!
//! Owns the records of one ledger node and the rules by which their copies agree. Nothing here reads a clock,
//! a socket or a file. See docs/design/ledger.md.

mod ask_kind;
mod book;
mod core;
mod gather;
mod homes;
mod join;
mod join_plan;
mod node;
mod node_io;
mod peers;
mod quorum;
mod retirement;
mod view;

pub use ask_kind::AskCounts;
pub use ask_kind::AskKind;
pub use book::Book;
pub use book::PAGE_BYTES;
pub use book::SPEND_KEEP_MS;
pub use core::CoreAction;
pub use core::CoreInput;
pub use core::NodeCore;
pub use gather::Decision;
pub use gather::Gather;
pub use gather::History;
pub use join::CatchUp;
pub use join_plan::JoinPlan;
pub use join_plan::PeerState;
pub use join_plan::ViewChange;
pub use node::LedgerNode;
pub use node_io::NodeAction;
pub use node_io::OwnIdentity;
pub use quorum::Quorum;
pub use view::empty_view;
pub use view::with_member;
pub use view::without_member;
