use std::collections::BTreeMap;

use crate::ledger::PeerState;
use crate::schema::LedgerView;

/// timeout of a request to another node, after which it is sent again.
///
/// Far above the sync time of a slow disk and below the silence after which a member is evicted.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// time after which a member is told again which turns this node needs but lacks.
///
/// It may have restarted meanwhile and forgotten. Well below the margin that doors add to each retention.
const TELL_AGAIN_MS: u64 = 10_000;

/// purpose of a request to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// checks whether it answers and is complete.
    Probe,
    /// tells it of turns that this node needs but lacks, besides a probe.
    Extend {
        /// change number of the last one.
        number: u64,
        /// number of turns.
        count: usize,
    },
    /// copies its records to this node.
    Copy,
    /// copies the records of this node to it, up to this change number.
    HandOver(u64),
}

/// a request in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    pub id: u64,
    pub epoch: u64,
    pub purpose: Purpose,
    sent_ms: u64,
}

/// the other members of the view, each with at most one request in flight.
#[derive(Debug, Default)]
pub(super) struct Peers {
    peers: BTreeMap<String, Peer>,
    last_id: u64,
}

#[derive(Debug)]
struct Peer {
    answered_ms: u64,
    complete: bool,
    pending: Option<Pending>,
    /// change number up to which it was told of turns that this node needs but lacks.
    told_number: u64,
    /// when telling it began from the first of them.
    told_since_ms: u64,
}

impl Peers {
    /// adopts a view; new members count as having answered just now.
    pub fn set_view(&mut self, now_ms: u64, own: &str, view: &LedgerView) {
        self.peers.retain(|name, _| view.member(name).is_some());
        for member in view.members.iter().filter(|member| member.name != own) {
            let new_peer = || Peer {
                answered_ms: now_ms,
                complete: false,
                pending: None,
                told_number: 0,
                told_since_ms: now_ms,
            };
            self.peers.entry(member.name.clone()).or_insert_with(new_peer);
        }
    }

    /// registers a request to a member and returns its id, unless one is in flight.
    pub fn register(&mut self, now_ms: u64, name: &str, epoch: u64, purpose: Purpose) -> Option<u64> {
        let peer = self.peers.get_mut(name)?;
        if peer.pending.is_some_and(|pending| now_ms < pending.sent_ms + ANSWER_TIMEOUT_MS) {
            return None;
        }
        self.last_id += 1;
        peer.pending = Some(Pending { id: self.last_id, epoch, purpose, sent_ms: now_ms });
        Some(self.last_id)
    }

    /// matches an answer to its request; `None` if that has timed out and was replaced.
    pub fn take_answer(&mut self, now_ms: u64, id: u64) -> Option<(String, Pending)> {
        let is_match = |peer: &Peer| peer.pending.is_some_and(|pending| pending.id == id);
        let (name, peer) = self.peers.iter_mut().find(|(_, peer)| is_match(peer))?;
        peer.answered_ms = now_ms;
        let pending = peer.pending.take()?;
        Some((name.clone(), pending))
    }

    /// change number up to which a member was told of turns that this node needs but lacks.
    pub fn told(&self, name: &str) -> u64 {
        self.peers.get(name).map_or(0, |peer| peer.told_number)
    }

    /// whether a member that was told of all missing turns is to be told again, from the first one on.
    pub fn start_telling_again(&mut self, now_ms: u64, name: &str) -> bool {
        let Some(peer) = self.peers.get_mut(name).filter(|peer| now_ms >= peer.told_since_ms + TELL_AGAIN_MS)
        else {
            return false;
        };
        (peer.told_number, peer.told_since_ms) = (0, now_ms);
        true
    }

    /// records that a member was told of missing turns up to a change number; whether these were the first ones.
    pub fn set_told(&mut self, name: &str, number: u64) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        std::mem::replace(&mut peer.told_number, number) == 0
    }

    /// sets whether a member holds every record that it should.
    pub fn set_complete(&mut self, name: &str, complete: bool) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.complete = complete;
        }
    }

    /// names of all other members.
    pub fn names(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// health of the other members.
    pub fn states(&self, now_ms: u64) -> BTreeMap<String, PeerState> {
        let state = |peer: &Peer| PeerState {
            silent_ms: now_ms.saturating_sub(peer.answered_ms),
            complete: peer.complete,
        };
        self.peers.iter().map(|(name, peer)| (name.clone(), state(peer))).collect()
    }
}
