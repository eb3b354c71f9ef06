use crate::ledger::CoreInput;
use crate::ledger_log::LogEvent;

/// an event of the main task of a ledger node, handled one at a time.
#[derive(Debug)]
pub(super) enum Event {
    /// an input of `NodeCore`.
    Input(CoreInput),
    /// the timer fired.
    Tick {
        /// how long after its due time it fired.
        late_ms: u64,
    },
    /// the log synced records, became full or failed.
    Log(LogEvent),
    /// a stop signal arrived.
    Stop,
}
