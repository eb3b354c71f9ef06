//! faults found in input, collected with their place and reported together.

mod findings;

pub use findings::Finding;
pub use findings::Findings;
