//! a front door: takes callers' requests, sends them to replicas and hands the answers back.
//!
//! Owns the connections of callers and to replicas. It keeps nothing: what must last is in the ledger.

mod answer;
mod answer_buffer;
mod attempt;
mod call;
mod connections;
mod content;
mod daemon;
#[expect(clippy::module_inception, reason = "the main type of the folder has the folder's name")]
mod door;
mod entry;
mod event_cutter;
mod fleet_view;
mod follow;
mod lease;
mod ledger_discovery;
mod mesh_inbox;
mod refusal;
mod reporter;
mod request;
mod serve;
mod stream;
mod turn;

pub use daemon::run_door;
pub use event_cutter::EventCutter;
pub use fleet_view::FleetView;
pub use fleet_view::OwnDoor;
pub use ledger_discovery::LedgerDiscovery;
