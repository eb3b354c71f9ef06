use std::collections::BTreeMap;
use std::fmt;

use strum::Display;
use strum::IntoStaticStr;

use crate::schema::LedgerRequest;

/// what a question to a ledger node is about, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AskKind {
    /// the reservation of a turn at its first members.
    Begin,
    /// the reservation of a turn at other members than the first ones.
    BeginAway,
    /// a second look at a budget.
    Spent,
    /// the end of a turn.
    Finish,
    /// turns that a history lacks.
    History,
    /// the report of a door.
    Report,
    /// replicas that ended under a content.
    Strikes,
    /// a look at another node, or copies of its records.
    Peer,
}

impl From<&LedgerRequest> for AskKind {
    fn from(request: &LedgerRequest) -> Self {
        match request {
            LedgerRequest::Begin(begin) if begin.away => Self::BeginAway,
            LedgerRequest::Begin(_) => Self::Begin,
            LedgerRequest::Spent(_) => Self::Spent,
            LedgerRequest::Finish(_) => Self::Finish,
            LedgerRequest::History(_) => Self::History,
            LedgerRequest::Report(_) => Self::Report,
            LedgerRequest::Strikes(_) => Self::Strikes,
            LedgerRequest::Pull(_) | LedgerRequest::Push(_) => Self::Peer,
        }
    }
}

/// questions by kind since the counts were last taken.
#[derive(Clone, Debug, Default)]
pub struct AskCounts {
    counts: BTreeMap<AskKind, u64>,
    /// turns that the questions were for.
    turns: u64,
}

impl AskCounts {
    /// counts a question.
    pub fn add(&mut self, kind: AskKind) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// counts a turn that begins.
    pub fn add_turn(&mut self) {
        self.turns += 1;
    }

    /// questions of a kind.
    pub fn count(&self, kind: AskKind) -> u64 {
        self.counts.get(&kind).copied().unwrap_or(0)
    }
}

impl fmt::Display for AskCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "turns={}", self.turns)?;
        for (kind, count) in &self.counts {
            write!(out, " {kind}={count}")?;
        }
        Ok(())
    }
}
