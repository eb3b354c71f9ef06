//! the time as decision code sees it: an argument, never a call.

mod deadline;
mod now;
mod utc;

pub use deadline::Deadline;
pub use deadline::Moment;
pub use now::Now;
pub use utc::format_utc;
