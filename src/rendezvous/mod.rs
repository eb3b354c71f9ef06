//! rendezvous (highest random weight) hashing: all instances rank the same members
//! for a key in the same order.

mod rank;

pub use rank::first;
pub use rank::ranked;
