//! queues and windows before the replicas, and the choice of replica.
//!
//! Pure decision code: the time and each input are arguments, the results are actions.
//! `Router` runs at the owner of a program and chooses a replica. `Dispatcher` runs at the one
//! instance that serves the replica and holds its queue. Nothing here must last.

mod dispatcher_io;
mod router_io;

pub use dispatcher_io::DispatchAction;
pub use dispatcher_io::DispatchInput;
pub use dispatcher_io::LoadReading;
pub use dispatcher_io::WorkspaceShare;
pub use router_io::Choice;
pub use router_io::Replica;
pub use router_io::RouterInput;
