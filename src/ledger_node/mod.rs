//! daemon of a ledger node: connects the ledger core to the mesh, the disk and the platform.

mod daemon;
mod event;
mod inbox;
mod runner;
mod view_store;

pub use daemon::run_ledger_node;
pub(crate) use view_store::read_view;
