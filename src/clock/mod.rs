//! the time as decision code sees it: an argument, never a call.

mod now;

pub use now::Now;
