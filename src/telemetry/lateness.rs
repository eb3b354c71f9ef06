use strum::Display;
use strum::IntoStaticStr;

/// lateness from which something counts as behind: callers notice a wait of this length.
const BEHIND_MS: u64 = 100;
/// lateness below which it counts as having caught up. The gap to `BEHIND_MS` keeps the state from changing with each
/// look.
const CAUGHT_UP_MS: u64 = 30;
/// least time between two notes that something is behind, which bounds the lines of a long overload.
const NOTE_EVERY_MS: u64 = 1_000;

/// something to write down about how far something is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LatenessNote {
    /// it is late.
    Behind,
    /// it is in time again.
    CaughtUp,
}

/// how far something is behind, told by how late it is each time.
#[derive(Debug, Default)]
pub struct Lateness {
    is_behind: bool,
    /// when this was last written down; `None` if it never was.
    noted_ms: Option<u64>,
}

impl Lateness {
    /// takes how late it was this time; the result is due to be written down.
    pub fn observe(&mut self, now_ms: u64, late_ms: u64) -> Option<LatenessNote> {
        let is_due = self.noted_ms.is_none_or(|noted_ms| now_ms >= noted_ms + NOTE_EVERY_MS);
        if self.is_behind && late_ms < CAUGHT_UP_MS {
            self.is_behind = false;
            return Some(LatenessNote::CaughtUp);
        }
        if !is_due || late_ms < if self.is_behind { CAUGHT_UP_MS } else { BEHIND_MS } {
            return None;
        }
        self.is_behind = true;
        self.noted_ms = Some(now_ms);
        Some(LatenessNote::Behind)
    }

    /// whether it is behind, as far as was written down.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }
}
