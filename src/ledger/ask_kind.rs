use std::collections::BTreeMap;
use std::fmt;

use strum::Display;
use strum::IntoStaticStr;

use crate::schema::LedgerRequest;

/// kind of a request to a ledger node, as counted in metrics and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AskKind {
    /// reserves tokens for a turn at the preferred members of its program: the first ones in an order that is
    /// the same at every door.
    Begin,
    /// reserves tokens for a turn at members other than the preferred ones.
    BeginAway,
    /// reads the spending of a program again.
    Spent,
    /// stores the end of a turn.
    Finish,
    /// stores which software began a stream.
    StreamBegan,
    /// reads which software began a stream.
    Stream,
    /// reads turns that are missing from a history.
    History,
    /// periodic report of a door.
    Report,
    /// stores strikes against contents.
    Strikes,
    /// asks for tokens of a workspace's allotment, or gives some back.
    Allotment,
    /// probes another node, or copies records between nodes.
    Peer,
}

impl From<&LedgerRequest> for AskKind {
    fn from(request: &LedgerRequest) -> Self {
        match request {
            LedgerRequest::Begin(begin) if begin.away => Self::BeginAway,
            LedgerRequest::Begin(_) => Self::Begin,
            LedgerRequest::Spent(_) => Self::Spent,
            LedgerRequest::Finish(_) => Self::Finish,
            LedgerRequest::StreamBegan(_) => Self::StreamBegan,
            LedgerRequest::Stream(_) => Self::Stream,
            LedgerRequest::History(_) => Self::History,
            LedgerRequest::Report(_) => Self::Report,
            LedgerRequest::Strikes(_) => Self::Strikes,
            LedgerRequest::Allotment(_) => Self::Allotment,
            LedgerRequest::Pull(_) | LedgerRequest::Push(_) => Self::Peer,
        }
    }
}

/// requests by kind since the last reset.
#[derive(Clone, Debug, Default)]
pub struct AskCounts {
    counts: BTreeMap<AskKind, u64>,
    /// turns that began.
    turns: u64,
}

impl AskCounts {
    /// counts a request.
    pub fn add(&mut self, kind: AskKind) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// counts the beginning of a turn.
    pub fn add_turn(&mut self) {
        self.turns += 1;
    }

    /// requests of a kind.
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
