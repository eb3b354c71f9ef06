//! what several tests share.

pub mod owner_world;
