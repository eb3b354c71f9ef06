use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ledger::with_member;
use crate::ledger::without_member;
use crate::schema::LedgerMember;
use crate::schema::LedgerView;

/// silence of a member after which a spare node joins the view as its possible replacement.
///
/// Above the pause of a process that is killed and restarted at once.
const JOIN_AFTER_MS: u64 = 1_500;
/// silence after which a member is evicted, once a replacement has joined.
///
/// Above the usual process freezes and network partitions: an evicted node must copy all records again.
const EVICT_AFTER_MS: u64 = 4_000;

/// health of another member, as this node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerState {
    /// time since its last answer.
    pub silent_ms: u64,
    /// whether it reported last that it holds every record that it should.
    pub complete: bool,
}

/// reason of a view change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ViewChange {
    /// the node fills a vacancy, or replaces a member that may be gone.
    Join,
    /// the node is a member, but its disk or address has changed.
    Rejoin,
    /// a member that does not answer is removed.
    Evict,
    /// the node is being retired and leaves.
    Retire,
}

/// the inputs from which a node decides whether to change the view.
#[derive(Clone, Debug)]
pub struct ViewPlanner<'a> {
    /// the node as the view should list it.
    pub own: &'a LedgerMember,
    /// whether the node holds every record that it should.
    pub own_complete: bool,
    /// the newest known view.
    pub view: &'a LedgerView,
    /// health of the other members by name.
    pub peers: &'a BTreeMap<String, PeerState>,
    /// whether all other members have stored the records of this node; needed only to retire it.
    pub has_handed_over: bool,
    /// names of the nodes to be retired.
    pub retiring: &'a BTreeSet<String>,
}

impl ViewPlanner<'_> {
    /// the view change that the node proposes, if any.
    pub fn propose(&self) -> Option<(ViewChange, LedgerView)> {
        let retires = self.retiring.contains(&self.own.name);
        let Some(current) = self.view.member(&self.own.name) else {
            let joins = !retires && self.has_vacancy();
            return joins.then(|| (ViewChange::Join, with_member(self.view, self.own)));
        };
        if current != self.own {
            return Some((ViewChange::Rejoin, with_member(self.view, self.own)));
        }
        if !self.own_complete {
            return None;
        }
        if retires {
            let ready = self.has_handed_over && self.others().all(|name| self.is_healthy(name));
            return ready.then(|| (ViewChange::Retire, without_member(self.view, &self.own.name)));
        }
        let lost = self.member_to_evict()?;
        Some((ViewChange::Evict, without_member(self.view, lost)))
    }

    fn has_vacancy(&self) -> bool {
        let count = self.view.members.len();
        let wanted = self.view.target_members();
        let may_lose_one = self
            .others()
            .any(|name| self.retiring.contains(name) || self.peer(name).silent_ms >= JOIN_AFTER_MS);
        count < wanted || (count == wanted && may_lose_one)
    }

    /// the member to evict: one at a time, and only if all others are healthy and complete.
    fn member_to_evict(&self) -> Option<&str> {
        if self.view.members.len() <= self.view.target_members() {
            return None;
        }
        let lost = self.others().find(|name| self.peer(name).silent_ms >= EVICT_AFTER_MS)?;
        let others_healthy = self.others().filter(|name| *name != lost).all(|name| self.is_healthy(name));
        others_healthy.then_some(lost)
    }

    fn others(&self) -> impl Iterator<Item = &str> {
        self.view.members.iter().map(|member| member.name.as_str()).filter(|name| *name != self.own.name)
    }

    fn peer(&self, name: &str) -> PeerState {
        self.peers.get(name).copied().unwrap_or_default()
    }

    fn is_healthy(&self, name: &str) -> bool {
        let peer = self.peer(name);
        peer.complete && peer.silent_ms < JOIN_AFTER_MS
    }
}
