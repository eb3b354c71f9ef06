use crate::ledger_log::LogEvent;
use crate::mesh::ConnectionId;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerAsk;
use crate::schema::LedgerView;

/// what happens to a ledger node; one task takes these in turn.
#[derive(Debug)]
pub(super) enum Event {
    /// a question of a door or of another node.
    Ask(ConnectionId, Box<LedgerAsk>),
    /// an answer of another node.
    Answer(Box<LedgerAnswer>),
    /// a connection of the mesh is gone.
    Closed,
    /// the log tells something.
    Log(LogEvent),
    /// the platform's view was read or written; `None` if it could not be.
    View(Option<LedgerView>),
    /// nodes that are to be emptied.
    Retiring(Vec<String>),
    /// the platform has taken the status of the own retirement.
    RetirementReported {
        /// whether it was the final one.
        completed: bool,
    },
    /// time has passed.
    Tick,
    /// the process was told to stop.
    Stop,
}
