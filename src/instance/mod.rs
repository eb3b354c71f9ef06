//! one running instance: the edges and the tasks that drive the decision code. Owns the wiring only.

mod ask;
mod cache_watch;
mod daemon;
mod dispatch_driver;
mod engine_watch;
#[expect(clippy::module_inception, reason = "the main type of the folder has the folder's name")]
mod instance;
mod leave;
mod membership_driver;
mod mesh_inbox;
mod owner_driver;
mod queries;
mod questions;
mod registry;
mod release_driver;
mod service_calls;
mod shared;
mod sweep;
mod ticker;
mod upstream_view;

pub use ask::Ask;
pub use ask::AskEvent;
pub use daemon::run_daemon;
pub use instance::Instance;
pub use registry::Registry;
pub use shared::Shared;
pub use sweep::NO_WORKSPACE;
pub use upstream_view::UpstreamView;
