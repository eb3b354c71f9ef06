//! state shared between the processes of a fleet: the doors and their loads, and mirrors of the platform's
//! objects.

mod door_registry;
mod essential_tasks;
mod in_flight_runs;
mod limit_shares;
mod list_watch;
mod merged_mirror;
mod mirror;
mod prefix_watcher;
mod start_mesh;

pub use door_registry::DoorRegistry;
pub use essential_tasks::EssentialTasks;
pub use in_flight_runs::InFlightRuns;
pub use limit_shares::LimitShares;
pub use list_watch::ListWatch;
pub use list_watch::WatchUpdate;
pub use merged_mirror::MergedMirror;
pub use mirror::Mirror;
pub use prefix_watcher::PrefixWatcher;
pub use prefix_watcher::WatchStep;
pub use start_mesh::start_mesh;
