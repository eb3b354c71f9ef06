use std::collections::BTreeMap;

use crate::ids::ProgramId;

/// what a timer is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// the deadline of a run; of root programs only.
    Deadline(ProgramId),
    /// removal of an ended run; of root programs only.
    Forget(ProgramId),
    /// the next attempt of a turn, or the timeout of a commit that it waits for.
    Turn(ProgramId),
    /// the next attempt or look-up of a call, or the timeout of a commit that it waits for.
    Call(ProgramId, String),
}

/// timers by due time.
///
/// Timers are never cancelled: whoever handles one checks it against the current state.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeMap<u64, Vec<Timer>>,
}

impl Timers {
    /// schedules a timer.
    pub(super) fn set(&mut self, at_ms: u64, timer: Timer) {
        self.due.entry(at_ms).or_default().push(timer);
    }

    /// removes and returns the timers that are due, earliest first.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<Timer> {
        let mut taken = Vec::new();
        while let Some(entry) = self.due.first_entry() {
            if *entry.key() > now_ms {
                break;
            }
            taken.extend(entry.remove());
        }
        taken
    }
}
