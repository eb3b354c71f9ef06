use std::collections::BTreeMap;

use crate::ledger::PeerState;
use crate::schema::LedgerView;

/// how long an answer of another node may take before the question is asked again.
///
/// Far above a sync of a slow disk and below the silence that costs a member its seat.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// what a question to another node is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// to see whether it answers, and whether it is complete.
    Probe,
    /// to copy its records.
    Copy,
    /// to hand it the records of this node, up to this number.
    HandOver(u64),
}

/// a question that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    pub id: u64,
    pub epoch: u64,
    pub purpose: Purpose,
    sent_ms: u64,
}

/// the other members of the view, with the one question that each has under way.
#[derive(Debug, Default)]
pub(super) struct Peers {
    rows: BTreeMap<String, Row>,
    last_id: u64,
}

#[derive(Debug)]
struct Row {
    heard_ms: u64,
    complete: bool,
    pending: Option<Pending>,
}

impl Peers {
    /// follows a view; members that are new get the benefit of the doubt.
    pub fn follow(&mut self, now_ms: u64, own: &str, view: &LedgerView) {
        self.rows.retain(|name, _| view.member(name).is_some());
        for member in view.members.iter().filter(|member| member.name != own) {
            let fresh = || Row { heard_ms: now_ms, complete: false, pending: None };
            self.rows.entry(member.name.clone()).or_insert_with(fresh);
        }
    }

    /// starts a question to a member, unless one is under way.
    pub fn start(&mut self, now_ms: u64, name: &str, epoch: u64, purpose: Purpose) -> Option<u64> {
        let row = self.rows.get_mut(name)?;
        if row.pending.is_some_and(|pending| now_ms < pending.sent_ms + ANSWER_TIMEOUT_MS) {
            return None;
        }
        self.last_id += 1;
        row.pending = Some(Pending { id: self.last_id, epoch, purpose, sent_ms: now_ms });
        Some(self.last_id)
    }

    /// takes an answer: the member that gave it and the question.
    pub fn answered(&mut self, now_ms: u64, id: u64) -> Option<(String, Pending)> {
        let is_it = |row: &Row| row.pending.is_some_and(|pending| pending.id == id);
        let (name, row) = self.rows.iter_mut().find(|(_, row)| is_it(row))?;
        row.heard_ms = now_ms;
        let pending = row.pending.take()?;
        Some((name.clone(), pending))
    }

    /// takes note whether a member has all that its disk should hold.
    pub fn set_complete(&mut self, name: &str, complete: bool) {
        if let Some(row) = self.rows.get_mut(name) {
            row.complete = complete;
        }
    }

    /// names of the other members.
    pub fn names(&self) -> Vec<String> {
        self.rows.keys().cloned().collect()
    }

    /// what is known of the other members.
    pub fn states(&self, now_ms: u64) -> BTreeMap<String, PeerState> {
        let state =
            |row: &Row| PeerState { silent_ms: now_ms.saturating_sub(row.heard_ms), complete: row.complete };
        self.rows.iter().map(|(name, row)| (name.clone(), state(row))).collect()
    }
}
