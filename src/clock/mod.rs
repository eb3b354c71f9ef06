//! clocks and deadlines. Core logic takes the time as an argument and never reads a clock.

mod deadline;
mod now;
mod utc;

pub use deadline::Deadline;
pub use deadline::Moment;
pub use now::Now;
pub use utc::format_utc;
