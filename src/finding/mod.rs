//! problems found in an input, collected with their location and reported together.

mod findings;

pub use findings::Finding;
pub use findings::Findings;
