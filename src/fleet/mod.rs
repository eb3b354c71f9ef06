//! what the processes of a fleet know of each other and of the platform's objects. Decisions only.

mod board;
mod follower;

pub use board::Board;
pub use follower::Followed;
pub use follower::Follower;
