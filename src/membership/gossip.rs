//! gossip: merges the records of datagrams and spreads them.

use std::net::SocketAddr;

use crate::membership::Membership;
use crate::membership::byte_budget::Priority;
use crate::membership::membership::PendingAck;
use crate::membership::own_state::AccusationOutcome;
use crate::membership::peer_table::MergeOutcome;
use crate::membership::sync;
use crate::schema::Datagram;
use crate::schema::DatagramBody;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;
use crate::schema::News;

/// random members that urgent news about other members is sent to at once.
const URGENT_FANOUT: usize = 3;
/// random members that urgent news is sent to if it includes this instance itself.
const OWN_FANOUT: usize = 4;
/// random members that a repeated departure is sent to.
const DEPARTURE_REPEAT_FANOUT: usize = 2;

impl Membership {
    /// sends this instance's own departure to random members.
    pub(super) fn announce_departure(&mut self, fanout: usize) {
        let own_name = self.own.member.name.clone();
        self.outbox.news.push(&own_name, false);
        let record = [self.own.record()];
        for name in self.random_running(fanout, None) {
            self.send_to_member(&name, News { urgent: true }.into(), &record, Priority::Liveness);
        }
    }

    pub(super) fn repeat_departure(&mut self, now_ms: u64) {
        let due = self.departure_repeats_ms.iter().any(|repeat_ms| now_ms >= *repeat_ms);
        if due {
            self.departure_repeats_ms.retain(|repeat_ms| now_ms < *repeat_ms);
            self.announce_departure(DEPARTURE_REPEAT_FANOUT);
        }
    }

    /// sends urgent news to a few random members, apart from probes.
    pub(super) fn send_urgent(&mut self) {
        let urgent = self.outbox.news.urgent_names();
        if urgent.is_empty() {
            return;
        }
        // The own record may refute a false suspicion, and no other instance sends it yet.
        let is_own = urgent.contains(&self.own.member.name);
        let (fanout, priority) = match is_own {
            true => (OWN_FANOUT, Priority::Liveness),
            false => (URGENT_FANOUT, Priority::Normal),
        };
        let mut records: Vec<MemberRecord> = urgent.iter().filter_map(|name| self.record_of(name)).collect();
        records.sort_by_key(|record| record.name != self.own.member.name);
        let mut sent = false;
        for name in self.random_running(fanout, None) {
            sent |= self.send_to_member(&name, News { urgent: true }.into(), &records, priority);
        }
        if sent {
            self.outbox.news.mark_urgent_sent(&urgent);
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
            // Another incarnation of this instance: the older of the two has to learn that it is superseded.
            Some(MergeOutcome::Stale)
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
            self.apply_merge(now_ms, &sender.name, merged, true);
        }
        let spread = match &datagram.body {
            DatagramBody::Probe(_) | DatagramBody::Ack(_) => true,
            DatagramBody::News(news) => news.urgent,
            _ => false,
        };
        let sender_is_gone = self.peers.get(&sender.name).is_some_and(|peer| peer.member.is_gone());
        for record in &datagram.records {
            self.merge_record(now_ms, record, spread, sender_is_gone);
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
                self.on_probe(from, PendingAck { sequence, wants_record, is_newcomer, correction });
            }
            DatagramBody::Ack(ack) => self.on_ack(now_ms, from, sender_name, &ack),
            DatagramBody::ProbeRequest(request) => self.on_probe_request(from, &request),
            DatagramBody::News(_) => {}
            DatagramBody::SyncPage(page) => {
                self.send_page(from, &page);
                return;
            }
            DatagramBody::SyncRecords(records) => {
                self.on_page(now_ms, &records);
                return;
            }
            DatagramBody::SyncBuckets(theirs) => {
                self.on_buckets(from, &theirs);
                return;
            }
            DatagramBody::SyncNames(theirs) => {
                self.on_names(from, &theirs);
                return;
            }
            DatagramBody::SyncWanted(wanted) => {
                let records = sync::records_by_hash(&self.own, &self.peers, &wanted.names);
                self.send_records(from, &records);
                return;
            }
        }
        self.start_sync(now_ms, from, datagram.view_digest);
    }

    /// record for a sender whose own fields are older than what is known of its name.
    pub(super) fn correction(&self, sender_name: &str, merged: Option<MergeOutcome>) -> Option<MemberRecord> {
        if merged != Some(MergeOutcome::Stale) {
            return None;
        }
        if sender_name == self.own.member.name {
            return Some(self.own.record());
        }
        Some(self.peers.get(sender_name)?.record())
    }

    /// merges one received record; `spread` tells whether to gossip what it changes.
    pub(super) fn merge_record(
        &mut self,
        now_ms: u64,
        record: &MemberRecord,
        spread: bool,
        sender_is_gone: bool,
    ) {
        if record.name == self.own.member.name {
            let outcome = self.own.receive_accusation(record, now_ms);
            self.apply_accusation(outcome);
            return;
        }
        // An instance that is itself dead or gone has to refute that before its accusations count.
        let is_accusation = matches!(record.health, MemberHealth::Suspect | MemberHealth::Dead);
        if is_accusation && sender_is_gone {
            return;
        }
        let merged = self.peers.merge(record, now_ms);
        self.apply_merge(now_ms, &record.name, merged, spread);
    }

    /// updates suspicions and the gossip queue after a merge.
    pub(super) fn apply_merge(&mut self, now_ms: u64, name: &str, merged: MergeOutcome, spread: bool) {
        match merged {
            MergeOutcome::Unchanged | MergeOutcome::Stale | MergeOutcome::Ignored => {}
            MergeOutcome::VersionOnly => self.versions_changed = true,
            MergeOutcome::Suspected => {
                self.view_changed = true;
                self.start_suspicion(now_ms, name, false);
                if spread {
                    self.outbox.news.push(name, false);
                }
            }
            MergeOutcome::Joined => {
                self.view_changed = true;
                self.suspicions.end(name);
                if self.is_suspect(name) {
                    // The instance that raised the suspicion may be gone before it ends.
                    self.start_suspicion(now_ms, name, false);
                }
                if spread {
                    self.outbox.news.push_join(name);
                }
            }
            MergeOutcome::Changed => {
                self.view_changed = true;
                if !self.is_suspect(name) {
                    self.suspicions.end(name);
                }
                if spread {
                    self.outbox.news.push(name, true);
                }
            }
        }
    }

    fn is_suspect(&self, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| peer.member.health == MemberHealth::Suspect)
    }

    pub(super) fn apply_accusation(&mut self, outcome: AccusationOutcome) {
        match outcome {
            AccusationOutcome::Ignored => {}
            AccusationOutcome::Refuted => {
                self.health.raise_score();
                self.announce_own();
            }
            AccusationOutcome::Rejoined => self.announce_own(),
            AccusationOutcome::Deferred | AccusationOutcome::Superseded => self.view_changed = true,
        }
    }

    pub(super) fn announce_own(&mut self) {
        self.view_changed = true;
        let name = self.own.member.name.clone();
        self.outbox.news.push(&name, true);
    }
}
