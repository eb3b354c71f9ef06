//! stand-in for a replica behind front doors: runs opaque requests, whole or as a stream of events, with faults.

mod faults;
mod standin;

pub use faults::ReplicaFault;
pub use standin::ReplicaOptions;
pub use standin::ReplicaStandin;
pub use standin::Run;
