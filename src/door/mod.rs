//! a front door: a stateless reverse proxy that sends callers' requests to replicas and relays the answers.
//!
//! Owns the connections to callers and to replicas. Durable state is stored in the ledger.

mod allotment;
mod answer;
mod answer_buffer;
mod attempt;
mod buffer_share;
mod call;
mod caller_identity;
mod connections;
mod daemon;
#[expect(clippy::module_inception, reason = "the main type of the folder has the folder's name")]
mod door;
mod entry;
mod fleet_view;
mod follow;
mod health_check;
mod lease;
mod ledger_discovery;
mod mesh_inbox;
mod pass_on;
mod passed_request;
mod poison_sender;
mod poisoned_contents;
mod process_start;
mod reach_monitor;
mod refusal;
mod reporter;
mod request;
mod serve;
mod sse_splitter;
mod stop_plan;
mod stream;
mod stream_origin;
mod turn;
mod turn_tokens;
mod workspace_label;

pub use buffer_share::BufferBudget;
pub use buffer_share::BufferShare;
pub use daemon::run_door;
pub use fleet_view::FleetView;
pub use fleet_view::OwnDoor;
pub use ledger_discovery::LedgerDiscovery;
pub use sse_splitter::SseSplitter;
pub use stop_plan::StopPlan;
pub use turn_tokens::TurnRole;
pub use turn_tokens::TurnTokens;
