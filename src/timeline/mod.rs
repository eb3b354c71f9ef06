//! the timeline: the latest events of this process, ordered across instances by hybrid clock stamps.

mod hybrid_clock;
mod ring;

pub use hybrid_clock::HybridClock;
pub use ring::EventKind;
pub use ring::Timeline;
