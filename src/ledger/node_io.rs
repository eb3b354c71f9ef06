use crate::mesh::ConnectionId;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerRecord;
use crate::schema::PoisonStrike;

/// identity of a ledger node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// instance name.
    pub name: String,
    /// disk id; a replaced disk has another one.
    pub disk: String,
}

/// side effect that a ledger node requests.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeAction {
    /// append a record to the log; `on_synced` is called once it is on disk.
    Append {
        /// log number of the record, counted from the start of the process.
        number: u64,
        /// record to append.
        record: LedgerRecord,
    },
    /// send an answer.
    Answer {
        /// connection of the request.
        to: ConnectionId,
        /// answer to send.
        answer: LedgerAnswer,
    },
    /// the node has adopted another view.
    ViewChanged,
    /// so many turns are kept longer, as another member needs but lacks them.
    TurnsExtended(usize),
    /// a door reported a strike that was not known.
    StrikeAdded {
        /// the new strike.
        strike: PoisonStrike,
        /// victims of the content, this one included.
        victims: usize,
    },
}
