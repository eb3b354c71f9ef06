//! the time line: a bounded ring of events stamped by a hybrid clock. Owns the ring of this process.

mod hybrid_clock;
mod ring;

pub use hybrid_clock::HybridClock;
pub use ring::EventKind;
pub use ring::Timeline;
