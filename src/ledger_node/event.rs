use crate::ledger::CoreInput;
use crate::ledger_log::LogEvent;

/// what reaches the task of a ledger node; it takes these in turn.
#[derive(Debug)]
pub(super) enum Event {
    /// an input for the decisions of the node.
    Input(CoreInput),
    /// time has passed; the timer fired this late.
    Tick {
        /// milliseconds after it was due.
        late_ms: u64,
    },
    /// the log tells something.
    Log(LogEvent),
    /// the process was told to stop.
    Stop,
}
