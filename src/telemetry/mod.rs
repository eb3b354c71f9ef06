//! logs and metrics of this process.

mod lateness;
mod logger;
mod recorder;
mod scrape;

pub use lateness::Lateness;
pub use lateness::LatenessNote;
pub use logger::LogGuard;
pub use logger::start_logger;
pub use recorder::Recorder;
pub use scrape::serve_metrics;
