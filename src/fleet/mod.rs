//! what the processes of a fleet know of each other and of the platform's objects.

mod board;
mod essentials;
mod follower;
mod following;
mod merge;
mod mirror;
mod start_mesh;

pub use board::Board;
pub use essentials::Essentials;
pub use follower::Followed;
pub use follower::Follower;
pub use following::Following;
pub use following::Step;
pub use merge::Merge;
pub use mirror::Mirror;
pub use start_mesh::start_mesh;
