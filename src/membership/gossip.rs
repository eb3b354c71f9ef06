//! gossip: what datagrams say of members, and passing it on.

use std::net::SocketAddr;

use crate::membership::Membership;
use crate::membership::byte_budget::Purpose;
use crate::membership::membership::Answer;
use crate::membership::own_state::Accusation;
use crate::membership::peer_table::Merged;
use crate::membership::sync;
use crate::schema::Datagram;
use crate::schema::DatagramBody;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;
use crate::schema::News;

/// members that urgent news of others is passed on to at once.
const URGENT_FANOUT: usize = 3;
/// members that urgent news of this instance itself goes to at once.
const OWN_FANOUT: usize = 4;
/// members that hear again of this instance's own departure.
const DEPARTURE_REPEAT_FANOUT: usize = 2;

impl Membership {
    /// tells some members of this instance's own departure.
    pub(super) fn tell_departure(&mut self, fanout: usize) {
        let own_name = self.own.member.name.clone();
        self.outbox.news.push(&own_name, false);
        let record = [self.own.record()];
        for name in self.some_running(fanout, None) {
            self.send_to_member(&name, News { urgent: true }.into(), &record, Purpose::Defence);
        }
    }

    pub(super) fn repeat_departure(&mut self, now_ms: u64) {
        let due = self.departure_repeats_ms.iter().any(|repeat_ms| now_ms >= *repeat_ms);
        if due {
            self.departure_repeats_ms.retain(|repeat_ms| now_ms < *repeat_ms);
            self.tell_departure(DEPARTURE_REPEAT_FANOUT);
        }
    }

    /// passes urgent news on at once, to a few members.
    pub(super) fn send_urgent(&mut self) {
        let urgent = self.outbox.news.urgent();
        if urgent.is_empty() {
            return;
        }
        // What this instance says of itself keeps others from a false suspicion, and nobody else says it yet.
        let is_own = urgent.contains(&self.own.member.name);
        let (fanout, purpose) = match is_own {
            true => (OWN_FANOUT, Purpose::Defence),
            false => (URGENT_FANOUT, Purpose::Common),
        };
        let mut records: Vec<MemberRecord> = urgent.iter().filter_map(|name| self.record_of(name)).collect();
        records.sort_by_key(|record| record.name != self.own.member.name);
        let mut sent = false;
        for name in self.some_running(fanout, None) {
            sent |= self.send_to_member(&name, News { urgent: true }.into(), &records, purpose);
        }
        if sent {
            self.outbox.news.urgent_sent(&urgent);
        }
    }

    fn record_of(&self, name: &str) -> Option<MemberRecord> {
        if name == self.own.member.name {
            return Some(self.own.record());
        }
        Some(self.peers.get(name)?.record())
    }

    pub(super) fn on_datagram(&mut self, now_ms: u64, from: SocketAddr, datagram: Datagram) {
        if self.own.has_left() {
            return;
        }
        let sender = &datagram.sender;
        let sender_merged = if sender.name == self.own.member.name {
            // Another start of this instance: it, or this one, has to learn that it is the older.
            Some(Merged::Stale)
        } else {
            self.peers.merge_sender(
                &sender.name,
                &sender.incarnation,
                sender.refutation,
                sender.release_version,
                now_ms,
            )
        };
        if let Some(merged) = sender_merged {
            self.apply(now_ms, &sender.name, merged, true);
        }
        let gossips = match &datagram.body {
            DatagramBody::Probe(_) | DatagramBody::Ack(_) => true,
            DatagramBody::News(news) => news.urgent,
            _ => false,
        };
        let sender_is_gone = self.peers.get(&sender.name).is_some_and(|peer| peer.member.is_gone());
        for record in &datagram.records {
            self.learn(now_ms, record, gossips, sender_is_gone);
        }
        let sender_name = &datagram.sender.name;
        let wants_record = sender_merged.is_none()
            && self
                .peers
                .get(sender_name)
                .is_none_or(|peer| peer.member.incarnation.as_str() < datagram.sender.incarnation.as_str());
        let is_newcomer = sender_merged.is_none();
        match datagram.body {
            DatagramBody::Probe(probe) => {
                let correction = self.correction(sender_name, sender_merged);
                let sequence = probe.sequence;
                self.on_probe(from, Answer { sequence, wants_record, is_newcomer, correction });
            }
            DatagramBody::Ack(ack) => self.on_ack(now_ms, from, sender_name, &ack),
            DatagramBody::ProbeRequest(request) => self.on_probe_request(from, &request),
            DatagramBody::News(_) => {}
            DatagramBody::SyncPage(page) => {
                self.answer_page(from, &page);
                return;
            }
            DatagramBody::SyncRecords(records) => {
                self.on_page(now_ms, &records);
                return;
            }
            DatagramBody::SyncBuckets(theirs) => {
                self.answer_buckets(from, &theirs);
                return;
            }
            DatagramBody::SyncNames(theirs) => {
                self.answer_names(from, &theirs);
                return;
            }
            DatagramBody::SyncWanted(wanted) => {
                let records = sync::find(&self.own, &self.peers, &wanted.names);
                self.send_records(from, &records);
                return;
            }
        }
        self.compare_views(now_ms, from, datagram.view_digest);
    }

    /// what a sender does not know of itself, or of the later start of its name.
    pub(super) fn correction(&self, sender_name: &str, merged: Option<Merged>) -> Option<MemberRecord> {
        if merged != Some(Merged::Stale) {
            return None;
        }
        if sender_name == self.own.member.name {
            return Some(self.own.record());
        }
        Some(self.peers.get(sender_name)?.record())
    }

    /// merges one record.
    pub(super) fn learn(&mut self, now_ms: u64, record: &MemberRecord, gossips: bool, sender_is_gone: bool) {
        if record.name == self.own.member.name {
            let accusation = self.own.accuse(record, now_ms);
            self.answer_accusation(accusation);
            return;
        }
        // An instance that is itself taken for dead has to refute before its suspicions count.
        let accuses = matches!(record.health, MemberHealth::Suspect | MemberHealth::Dead);
        if accuses && sender_is_gone {
            return;
        }
        let merged = self.peers.merge(record, now_ms);
        self.apply(now_ms, &record.name, merged, gossips);
    }

    /// does what a merged record asks for.
    pub(super) fn apply(&mut self, now_ms: u64, name: &str, merged: Merged, gossips: bool) {
        match merged {
            Merged::Same | Merged::Stale | Merged::Ignored => {}
            Merged::Version => self.versions_changed = true,
            Merged::Suspected => {
                self.view_changed = true;
                self.start_suspicion(now_ms, name, false);
                if gossips {
                    self.outbox.news.push(name, false);
                }
            }
            Merged::Joined => {
                self.view_changed = true;
                self.suspicions.end(name);
                if self.is_suspect(name) {
                    // Whoever raised the suspicion may be gone by the time it ends.
                    self.start_suspicion(now_ms, name, false);
                }
                if gossips {
                    self.outbox.news.push_join(name);
                }
            }
            Merged::Changed => {
                self.view_changed = true;
                if !self.is_suspect(name) {
                    self.suspicions.end(name);
                }
                if gossips {
                    self.outbox.news.push(name, true);
                }
            }
        }
    }

    fn is_suspect(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.member.health == MemberHealth::Suspect)
    }

    pub(super) fn answer_accusation(&mut self, accusation: Accusation) {
        match accusation {
            Accusation::None => {}
            Accusation::Refuted => {
                self.health.doubt();
                self.announce_own();
            }
            Accusation::Returned => self.announce_own(),
            Accusation::Held | Accusation::Superseded => self.view_changed = true,
        }
    }

    pub(super) fn announce_own(&mut self) {
        self.view_changed = true;
        let name = self.own.member.name.clone();
        self.outbox.news.push(&name, true);
    }
}
