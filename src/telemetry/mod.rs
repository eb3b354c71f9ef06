//! log lines and counters of this process.

mod logger;
mod recorder;

pub use logger::LogGuard;
pub use logger::start_logger;
pub use recorder::Recorder;
