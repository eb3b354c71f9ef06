use std::collections::BTreeMap;

use crate::ids::ProgramId;

/// what happens to a program at some time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// the deadline of the program.
    Deadline(ProgramId),
    /// the state of an ended program is dropped.
    Forget(ProgramId),
    /// the next attempt of a turn, or the bound of a wait.
    Turn(ProgramId),
    /// the next attempt or look-up of a call, or the bound of a wait.
    Call(ProgramId, String),
}

/// timers in the order of their time; each is checked against the state when it fires.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeMap<u64, Vec<Timer>>,
}

impl Timers {
    /// sets a timer.
    pub(super) fn set(&mut self, at_ms: u64, timer: Timer) {
        self.due.entry(at_ms).or_default().push(timer);
    }

    /// takes the timers that are due.
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
