//! the time as decision code sees it: an argument, never a call.

mod now;
mod utc;

pub use now::Now;
pub use utc::utc_text;
