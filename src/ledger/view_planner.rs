use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ledger::with_member;
use crate::ledger::without_member;
use crate::schema::LedgerMember;
use crate::schema::LedgerView;

/// silence after which a spare node takes a seat beside a member that may be gone.
///
/// Above the pause of a process that is killed and started again at once.
const JOIN_AFTER_MS: u64 = 1_500;
/// silence after which a member loses its seat, once another node sits beside it.
///
/// Above the usual freezes and cuts, whose end would make the node copy everything again.
const EVICT_AFTER_MS: u64 = 4_000;

/// what a node knows of another member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerState {
    /// how long it has not answered.
    pub silent_ms: u64,
    /// whether it said last that it has all that its disk should hold.
    pub complete: bool,
}

/// why the view should change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ViewChange {
    /// the node takes a seat that is free or may become free.
    Join,
    /// the node sits already, but with another disk or address.
    Rejoin,
    /// a member that does not answer loses its seat.
    Evict,
    /// the node is to be emptied.
    Retire,
}

/// what one node wants changed in the view.
#[derive(Clone, Debug)]
pub struct ViewPlanner<'a> {
    /// the node as it would sit in the view.
    pub own: &'a LedgerMember,
    /// whether the node has all that its disk should hold.
    pub own_complete: bool,
    /// the newest view that is known.
    pub view: &'a LedgerView,
    /// the other members.
    pub peers: &'a BTreeMap<String, PeerState>,
    /// whether all other members have stored what this node holds; counts if it is to be emptied.
    pub has_handed_over: bool,
    /// nodes that are to be emptied.
    pub retiring: &'a BTreeSet<String>,
}

impl ViewPlanner<'_> {
    /// the next view that the node proposes.
    pub fn propose(&self) -> Option<(ViewChange, LedgerView)> {
        let retires = self.retiring.contains(&self.own.name);
        let Some(seat) = self.view.member(&self.own.name) else {
            let joins = !retires && self.has_free_seat();
            return joins.then(|| (ViewChange::Join, with_member(self.view, self.own)));
        };
        if seat != self.own {
            return Some((ViewChange::Rejoin, with_member(self.view, self.own)));
        }
        if !self.own_complete {
            return None;
        }
        if retires {
            let ready = self.has_handed_over && self.others().all(|name| self.is_sound(name));
            return ready.then(|| (ViewChange::Retire, without_member(self.view, &self.own.name)));
        }
        let lost = self.lost_member()?;
        Some((ViewChange::Evict, without_member(self.view, lost)))
    }

    fn has_free_seat(&self) -> bool {
        let count = self.view.members.len();
        let wanted = self.view.target_members();
        let may_lose_one = self
            .others()
            .any(|name| self.retiring.contains(name) || self.peer(name).silent_ms >= JOIN_AFTER_MS);
        count < wanted || (count == wanted && may_lose_one)
    }

    /// a member to evict: only one at a time, and only if all that stay have everything.
    fn lost_member(&self) -> Option<&str> {
        if self.view.members.len() <= self.view.target_members() {
            return None;
        }
        let lost = self.others().find(|name| self.peer(name).silent_ms >= EVICT_AFTER_MS)?;
        let others_sound = self.others().filter(|name| *name != lost).all(|name| self.is_sound(name));
        others_sound.then_some(lost)
    }

    fn others(&self) -> impl Iterator<Item = &str> {
        self.view.members.iter().map(|member| member.name.as_str()).filter(|name| *name != self.own.name)
    }

    fn peer(&self, name: &str) -> PeerState {
        self.peers.get(name).copied().unwrap_or_default()
    }

    fn is_sound(&self, name: &str) -> bool {
        let peer = self.peer(name);
        peer.complete && peer.silent_ms < JOIN_AFTER_MS
    }
}
