use std::net::SocketAddr;

use crate::membership::MAX_DATAGRAM_BYTES;
use crate::membership::MembershipAction;
use crate::membership::byte_budget::ByteBudget;
use crate::membership::byte_budget::Purpose;
use crate::membership::news_queue::NewsQueue;
use crate::membership::own_state::OwnState;
use crate::membership::peer_table::PeerTable;
use crate::membership::wire::record_bytes;
use crate::membership::wire_bytes;
use crate::schema::Datagram;
use crate::schema::DatagramBody;
use crate::schema::MemberRecord;

/// room for the head of the list of records.
const LIST_HEAD_BYTES: usize = 12;

/// share of what may be sent that the news of one datagram takes.
const NEWS_DIVISOR: usize = 4;

/// datagrams that wait to be handed out, and the byte rate that they keep.
#[derive(Debug)]
pub(super) struct Outbox {
    cluster: String,
    pub budget: ByteBudget,
    pub news: NewsQueue,
    actions: Vec<MembershipAction>,
}

impl Outbox {
    pub fn new(cluster: &str, bytes_per_second: u64) -> Self {
        Self {
            cluster: cluster.to_owned(),
            budget: ByteBudget::new(bytes_per_second),
            news: NewsQueue::default(),
            actions: Vec::new(),
        }
    }

    /// hands out what was built since the last call.
    pub fn take_actions(&mut self) -> Vec<MembershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// adds an action that costs no bytes.
    pub fn push(&mut self, action: MembershipAction) {
        self.actions.push(action);
    }

    /// builds a datagram with `first`, then as much news as fits; tells whether the byte rate allows it.
    pub fn send(
        &mut self,
        own: &OwnState,
        peers: &PeerTable,
        to: SocketAddr,
        body: DatagramBody,
        first: &[MemberRecord],
        purpose: Purpose,
    ) -> bool {
        let mut datagram = Datagram {
            cluster: self.cluster.clone(),
            sender: own.sender(),
            body,
            view_digest: peers.digest() ^ own.entry_hash(),
            records: Vec::new(),
        };
        let empty_bytes = wire_bytes(&datagram) + LIST_HEAD_BYTES;
        let allowed_bytes = self.budget.available_bytes(purpose);
        if empty_bytes > allowed_bytes {
            return false;
        }
        let first_bytes = allowed_bytes.min(MAX_DATAGRAM_BYTES);
        let mut used_bytes = empty_bytes;
        for record in first {
            let size_bytes = record_bytes(record);
            if used_bytes + size_bytes > first_bytes {
                break;
            }
            used_bytes += size_bytes;
            datagram.records.push(record.clone());
        }
        let is_empty_news = matches!(datagram.body, DatagramBody::News(_)) && datagram.records.is_empty();
        if is_empty_news {
            return false;
        }
        // News leaves most of what is left to the probes and answers after it.
        let news_bytes = self.budget.available_bytes(Purpose::Common) / NEWS_DIVISOR;
        let most_bytes = (used_bytes + news_bytes).min(MAX_DATAGRAM_BYTES);
        self.add_news(own, peers, &mut datagram.records, used_bytes, most_bytes);
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
        most_bytes: usize,
    ) {
        if self.news.is_empty() {
            return;
        }
        let mut used_bytes = used_bytes;
        let member_count = peers.running().count() + 1;
        for name in self.news.next() {
            if records.iter().any(|record| record.name == name) {
                self.news.sent(&name, member_count);
                continue;
            }
            let record = match peers.get(&name) {
                Some(peer) => peer.record(),
                None if name == own.member.name => own.record(),
                None => {
                    self.news.drop_news(&name);
                    continue;
                }
            };
            let size_bytes = record_bytes(&record);
            if used_bytes + size_bytes > most_bytes {
                return;
            }
            used_bytes += size_bytes;
            records.push(record);
            self.news.sent(&name, member_count);
        }
    }
}
