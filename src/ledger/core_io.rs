use std::collections::BTreeSet;

use crate::fleet::WatchUpdate;
use crate::ledger::ViewChange;
use crate::mesh::ConnectionId;
use crate::platform::RetirementPhase;
use crate::schema::LedgerAnswer;
use crate::schema::LedgerAsk;
use crate::schema::LedgerMember;
use crate::schema::LedgerRecord;
use crate::schema::LedgerView;
use crate::schema::PoisonStrike;
use crate::schema::SuspectedRun;

/// event that a ledger node handles.
#[derive(Clone, Debug)]
pub enum CoreInput {
    /// a request of a door or another node.
    Ask(ConnectionId, Box<LedgerAsk>),
    /// an answer of another node to a request of this one.
    Answer(Box<LedgerAnswer>),
    /// all records up to this log number are on disk.
    Synced(u64),
    /// the log segment is full and should be compacted.
    SegmentFull,
    /// the view at the platform after a read or write; `None` if the call failed.
    View(Option<LedgerView>),
    /// the platform's objects below a prefix were listed, or a watch returned.
    WatchUpdate {
        /// prefix of the objects.
        prefix: String,
        /// result of the call.
        update: WatchUpdate,
        /// revision up to which all changes are known.
        revision: Option<u64>,
        /// whether calls failed shortly before.
        after_outage: bool,
    },
    /// names of the nodes to be retired.
    Retiring(BTreeSet<String>),
    /// a report about the retirement of this node reached the platform, or failed.
    RetirementReported {
        /// the reported phase; `None` if the call failed.
        phase: Option<RetirementPhase>,
    },
    /// the periodic timer fired.
    Tick,
}

/// side effect that a ledger node requests.
#[derive(Clone, Debug, PartialEq)]
pub enum CoreAction {
    /// append a record to the log; `Synced` follows once it is on disk.
    Append {
        /// log number of the record, counted from the start of the process.
        number: u64,
        /// record to append.
        record: LedgerRecord,
    },
    /// replace the log with these live records.
    CompactLog(Vec<LedgerRecord>),
    /// send an answer.
    Answer {
        /// connection of the request.
        to: ConnectionId,
        /// answer to send.
        answer: LedgerAnswer,
    },
    /// send a request to another member.
    Ask {
        /// recipient.
        member: LedgerMember,
        /// request to send.
        ask: LedgerAsk,
    },
    /// read the view from the platform.
    ReadView,
    /// write a view to the platform, if the current one there is its predecessor.
    ProposeView {
        /// reason.
        change: ViewChange,
        /// proposed view.
        view: LedgerView,
    },
    /// report the retirement phase of this node to the platform.
    ReportRetirement(RetirementPhase),
    /// the node has adopted another view.
    ViewChanged(LedgerView),
    /// the node holds every record that it should.
    CaughtUp,
    /// a member was told, from the first one on, of turns that this node needs but lacks.
    ToldMissingTurns {
        /// the member.
        member: String,
        /// turns in the first message.
        count: usize,
    },
    /// so many turns are kept longer, as another member needs but lacks them.
    TurnsExtended(usize),
    /// a door reported a strike that was not known.
    StrikeAdded {
        /// the new strike.
        strike: PoisonStrike,
        /// victims of the content, this one included.
        victims: usize,
    },
    /// a door ended with these runs in flight.
    RunsOrphaned(Vec<SuspectedRun>),
}
