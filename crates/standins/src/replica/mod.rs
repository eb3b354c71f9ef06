//! stand-in for a replica behind front doors: runs opaque requests, whole or as a stream of events, with faults.

mod answer;
mod endless;
mod faults;
mod scripted;
mod standin;

pub use endless::EndlessPart;
pub use endless::EndlessReplica;
pub use faults::DEADLY;
pub use faults::EndStage;
pub use faults::ReplicaFault;
pub use scripted::Ending;
pub use scripted::ScriptedAnswer;
pub use scripted::ScriptedReplica;
pub use scripted::ScriptedRequest;
pub use standin::ReplicaOptions;
pub use standin::ReplicaStandin;
pub use standin::Run;
