use strum::Display;
use strum::IntoStaticStr;

/// lateness at which the state becomes behind: callers notice a wait of this length.
const BEHIND_MS: u64 = 100;
/// lateness below which the state is caught up again. The gap to `BEHIND_MS` is hysteresis: it keeps the
/// state from changing with each measurement.
const CAUGHT_UP_MS: u64 = 30;
/// minimum time between two `Behind` notes, which limits the log lines of a long overload.
const BEHIND_NOTE_INTERVAL_MS: u64 = 1_000;

/// a state to log, after a change or as a reminder that it persists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LatenessNote {
    /// lateness reached the upper threshold, or has stayed at or above the lower one since.
    Behind,
    /// lateness fell below the lower threshold.
    CaughtUp,
}

/// decides from successive measurements, such as the delay of a timer, when to log that something is behind.
#[derive(Debug, Default)]
pub struct Lateness {
    is_behind: bool,
    /// time of the last `Behind` note; `None` before the first.
    last_behind_ms: Option<u64>,
}

impl Lateness {
    /// takes one measurement; returns a note if one is due for the log.
    pub fn observe(&mut self, now_ms: u64, late_ms: u64) -> Option<LatenessNote> {
        let is_due = self
            .last_behind_ms
            .is_none_or(|last_behind_ms| now_ms >= last_behind_ms + BEHIND_NOTE_INTERVAL_MS);
        if self.is_behind && late_ms < CAUGHT_UP_MS {
            self.is_behind = false;
            return Some(LatenessNote::CaughtUp);
        }
        if !is_due || late_ms < if self.is_behind { CAUGHT_UP_MS } else { BEHIND_MS } {
            return None;
        }
        self.is_behind = true;
        self.last_behind_ms = Some(now_ms);
        Some(LatenessNote::Behind)
    }

    /// whether the last note was `Behind`.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }
}
