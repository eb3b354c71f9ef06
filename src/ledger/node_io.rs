use crate::mesh::ConnectionId;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerRecord;
use crate::schema::PoisonStrike;

/// who a ledger node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// name of the instance.
    pub name: String,
    /// identity of its disk.
    pub disk: String,
}

/// what a ledger node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeAction {
    /// append a record to the log; `synced` is told once it is on disk.
    Append {
        /// number of the record in the log, counted from the start of the process.
        number: u64,
        /// the record.
        record: LedgerRecord,
    },
    /// answer a question.
    Answer {
        /// connection that the question came on.
        to: ConnectionId,
        /// the answer.
        answer: LedgerAnswer,
    },
    /// the node follows another view now.
    ViewChanged,
    /// a door told of a replica that ended under a content.
    StrikeAdded {
        /// what the door told.
        strike: PoisonStrike,
        /// replicas that ended under the content, this one included.
        victims: usize,
    },
}
