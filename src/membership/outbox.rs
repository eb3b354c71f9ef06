use std::net::SocketAddr;

use crate::membership::MAX_DATAGRAM_BYTES;
use crate::membership::MembershipAction;
use crate::membership::byte_budget::ByteBudget;
use crate::membership::byte_budget::Priority;
use crate::membership::gossip_queue::GossipQueue;
use crate::membership::own_state::OwnState;
use crate::membership::peer_table::PeerTable;
use crate::membership::wire::record_bytes;
use crate::membership::wire_bytes;
use crate::schema::Datagram;
use crate::schema::DatagramBody;
use crate::schema::MemberRecord;

/// allowance for the encoded list of records itself, without its elements.
const LIST_HEAD_BYTES: usize = 12;

/// divisor of the available bytes; the news of one datagram takes at most that share.
const NEWS_DIVISOR: usize = 4;

/// builds datagrams within the byte rate and holds actions until they are taken.
#[derive(Debug)]
pub(super) struct Outbox {
    cluster: String,
    pub budget: ByteBudget,
    pub news: GossipQueue,
    actions: Vec<MembershipAction>,
}

impl Outbox {
    pub fn new(cluster: &str, bytes_per_second: u64) -> Self {
        Self {
            cluster: cluster.to_owned(),
            budget: ByteBudget::new(bytes_per_second),
            news: GossipQueue::default(),
            actions: Vec::new(),
        }
    }

    /// takes the actions added since the last call.
    pub fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// adds an action that sends nothing.
    pub fn push(&mut self, action: MembershipAction) {
        self.actions.push(action);
    }

    /// adds a datagram with as many of `records`, then as much news as fit; `false` if the byte rate does not
    /// allow it or a `News` body would have no record.
    pub fn send(
        &mut self,
        own: &OwnState,
        peers: &PeerTable,
        to: SocketAddr,
        body: DatagramBody,
        records: &[MemberRecord],
        priority: Priority,
    ) -> bool {
        let mut datagram = Datagram {
            cluster: self.cluster.clone(),
            sender: own.sender(),
            body,
            view_digest: peers.digest() ^ own.member_hash(),
            records: Vec::new(),
        };
        let empty_bytes = wire_bytes(&datagram) + LIST_HEAD_BYTES;
        let allowed_bytes = self.budget.available_bytes(priority);
        if empty_bytes > allowed_bytes {
            return false;
        }
        let limit_bytes = allowed_bytes.min(MAX_DATAGRAM_BYTES);
        let mut used_bytes = empty_bytes;
        for record in records {
            let size_bytes = record_bytes(record);
            if used_bytes + size_bytes > limit_bytes {
                break;
            }
            used_bytes += size_bytes;
            datagram.records.push(record.clone());
        }
        let is_empty_news = matches!(datagram.body, DatagramBody::News(_)) && datagram.records.is_empty();
        if is_empty_news {
            return false;
        }
        // The piggybacked news leaves most of the available bytes to later probes and acks.
        let news_bytes = self.budget.available_bytes(Priority::Normal) / NEWS_DIVISOR;
        let max_bytes = (used_bytes + news_bytes).min(MAX_DATAGRAM_BYTES);
        self.add_news(own, peers, &mut datagram.records, used_bytes, max_bytes);
        self.budget.spend(wire_bytes(&datagram));
        self.actions.push(MembershipAction::Send { to, datagram: Box::new(datagram) });
        true
    }

    fn add_news(
        &mut self,
        own: &OwnState,
        peers: &PeerTable,
        records: &mut Vec<MemberRecord>,
        used_bytes: usize,
        max_bytes: usize,
    ) {
        if self.news.is_empty() {
            return;
        }
        let mut used_bytes = used_bytes;
        let member_count = peers.running().count() + 1;
        for name in self.news.names_in_order() {
            if records.iter().any(|record| record.name == name) {
                self.news.mark_sent(&name, member_count);
                continue;
            }
            let record = match peers.get(&name) {
                Some(peer) => peer.record(),
                None if name == own.member.name => own.record(),
                None => {
                    self.news.remove(&name);
                    continue;
                }
            };
            let size_bytes = record_bytes(&record);
            if used_bytes + size_bytes > max_bytes {
                return;
            }
            used_bytes += size_bytes;
            records.push(record);
            self.news.mark_sent(&name, member_count);
        }
    }
}
