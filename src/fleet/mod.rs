//! what the processes of a fleet know of each other and of the platform's objects. Decisions only.

mod board;
mod follower;
mod following;
mod merge;
mod mirror;

pub use board::Board;
pub use follower::Followed;
pub use follower::Follower;
pub use following::Following;
pub use following::Step;
pub use merge::Merge;
pub use mirror::Mirror;
