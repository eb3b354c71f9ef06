//! failure detection: direct and indirect probes, and suspicions.

use std::net::SocketAddr;

use rand::RngExt;

use crate::membership::Membership;
use crate::membership::byte_budget::Priority;
use crate::membership::membership::PendingAck;
use crate::membership::prober::IndirectProbe;
use crate::membership::prober::PendingProbe;
use crate::membership::suspicions::Suspicion;
use crate::schema::DatagramBody;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;
use crate::schema::News;
use crate::schema::Probe;
use crate::schema::ProbeAck;
use crate::schema::ProbeRequest;

/// members that are asked for an indirect probe of a target that did not ack.
const INDIRECT_PROBES: usize = 3;
/// factor on the time of a suspicion while this instance is probably isolated.
const ISOLATION_FACTOR: u64 = 8;
/// probe timeouts that a suspect has for the final probe of an instance that did not raise the suspicion.
const FINAL_PROBE_TIMEOUTS: u64 = 3;
/// target interval between two probes of a dead member or unknown address, over all instances.
const RECONNECT_MS: u64 = 2_000;
/// minimum and maximum interval between such probes by one instance.
const RECONNECT_RANGE_MS: (u64, u64) = (1_000, 30_000);
/// addresses that an instance without other members probes at once.
const JOIN_FANOUT: usize = 3;

impl Membership {
    pub(super) fn request_indirect_probes(&mut self, now_ms: u64) {
        for (sequence, probe) in self.prober.take_due_indirect(now_ms) {
            let request = ProbeRequest { sequence, target: probe.to.to_string() };
            for name in self.random_running(INDIRECT_PROBES, probe.target.as_deref()) {
                self.send_to_member(&name, request.clone().into(), &[], Priority::Liveness);
            }
        }
    }

    pub(super) fn expire_probes(&mut self, now_ms: u64) {
        for probe in self.prober.take_expired(now_ms) {
            let Some(target) = probe.target.filter(|_| probe.can_suspect) else {
                continue;
            };
            if now_ms < self.grace_until_ms {
                continue;
            }
            self.health.record_failure();
            let alive = self.peers.get(&target).is_some_and(|peer| peer.member.health == MemberHealth::Alive);
            if alive {
                self.suspect(now_ms, &target);
            }
        }
    }

    pub(super) fn suspect(&mut self, now_ms: u64, name: &str) {
        self.peers.set_health(name, MemberHealth::Suspect, now_ms);
        self.view_changed = true;
        self.outbox.news.push(name, false);
        self.start_suspicion(now_ms, name, true);
    }

    pub(super) fn start_suspicion(&mut self, now_ms: u64, name: &str, raised_here: bool) {
        let deadline_ms = now_ms + self.suspicion_timeout_ms();
        let reprobe_ms = raised_here.then_some(now_ms);
        self.suspicions
            .start(name, Suspicion { deadline_ms, extended: false, reprobe_ms, probed: raised_here });
    }

    /// time from a suspicion to a death; grows with the member count, as gossip takes longer to reach all.
    pub(super) fn suspicion_timeout_ms(&self) -> u64 {
        let member_count = self.peers.running().count() + 1;
        let growth = (member_count as f64).log10().max(1.0);
        (self.settings.suspicion_ms as f64 * growth) as u64 * self.health.timeout_factor()
    }

    /// declares suspects dead that have not refuted in time.
    pub(super) fn expire_suspicions(&mut self, now_ms: u64) {
        for name in self.suspicions.due(now_ms) {
            if self.health.is_isolated(self.peers.running().count()) {
                let extra_ms = self.settings.suspicion_ms * (ISOLATION_FACTOR - 1);
                if self.suspicions.extend(&name, extra_ms) {
                    continue;
                }
            }
            // The refutation may have reached all instances but this one.
            if self.suspicions.begin_final_probe(&name, FINAL_PROBE_TIMEOUTS * self.settings.probe_timeout_ms)
            {
                self.probe_member(now_ms, &name, false);
                continue;
            }
            self.suspicions.end(&name);
            self.peers.set_health(&name, MemberHealth::Dead, now_ms);
            self.view_changed = true;
            self.outbox.news.push(&name, true);
        }
    }

    pub(super) fn reprobe_suspects(&mut self, now_ms: u64) {
        let pause_ms = (self.settings.suspicion_ms / 4).max(self.settings.probe_timeout_ms);
        for name in self.suspicions.take_reprobes(now_ms, pause_ms) {
            self.probe_member(now_ms, &name, false);
        }
    }

    pub(super) fn probe_next(&mut self, now_ms: u64) {
        if now_ms < self.next_probe_ms {
            return;
        }
        let peers = &self.peers;
        let refill = || peers.running().map(|peer| peer.member.name.clone()).collect();
        let target = self.prober.next_target(&mut self.random, refill);
        self.next_probe_ms = now_ms + self.settings.probe_ms;
        let Some(name) = target else {
            return;
        };
        let is_running = self.peers.get(&name).is_some_and(|peer| !peer.member.is_gone());
        if is_running {
            self.probe_member(now_ms, &name, true);
        }
    }

    /// probes a member; `can_suspect` tells whether a missing ack raises a suspicion.
    pub(super) fn probe_member(&mut self, now_ms: u64, name: &str, can_suspect: bool) {
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        // A suspect or dead member learns of its state from the probe and can refute it.
        let records =
            if peer.member.health == MemberHealth::Alive { Vec::new() } else { vec![peer.record()] };
        let factor = self.health.timeout_factor();
        let timeout_ms = (self.settings.probe_timeout_ms.max(2 * peer.round_trip_ms)) * factor;
        let indirect_ms = now_ms + timeout_ms;
        let probe = PendingProbe {
            target: Some(name.to_owned()),
            to: peer.member.mesh,
            sent_ms: now_ms,
            indirect_ms,
            fail_ms: indirect_ms + 3 * timeout_ms,
            indirect_requested: false,
            can_suspect,
        };
        // A suspect must get the chance to refute, even when this instance is short of bytes.
        let priority = if records.is_empty() { Priority::Normal } else { Priority::Liveness };
        self.send_probe(probe, &records, priority);
    }

    fn send_probe(&mut self, probe: PendingProbe, records: &[MemberRecord], priority: Priority) {
        let sequence = self.prober.next_sequence();
        let body = DatagramBody::Probe(Probe { sequence });
        if self.outbox.send(&self.own, &self.peers, probe.to, body, records, priority) {
            self.prober.add_pending(sequence, probe);
        }
    }

    /// probes dead members and listed addresses without a running member, at a low rate.
    pub(super) fn reconnect(&mut self, now_ms: u64) {
        if now_ms < self.next_reconnect_ms {
            return;
        }
        let (min_ms, max_ms) = RECONNECT_RANGE_MS;
        let running_count = self.peers.running().count();
        let mut targets = self.reconnect_targets();
        let mut pause_ms = min_ms;
        let mut probe_count = 1;
        if running_count == 0 {
            pause_ms = self.settings.probe_ms;
            probe_count = JOIN_FANOUT;
        } else if !targets.is_empty() {
            let share_ms = RECONNECT_MS * running_count as u64 / targets.len() as u64;
            pause_ms = share_ms.clamp(min_ms, max_ms);
        }
        self.next_reconnect_ms = now_ms + self.random.random_range(pause_ms / 2..=pause_ms * 3 / 2);
        for _ in 0..probe_count.min(targets.len()) {
            let to = targets.swap_remove(self.random.random_range(0..targets.len()));
            self.probe_address(now_ms, to);
        }
    }

    /// probes an address whose member is gone or not known yet.
    pub(super) fn probe_address(&mut self, now_ms: u64, to: SocketAddr) {
        let gone = self.peers.iter().find(|peer| peer.member.mesh == to);
        let record = match gone {
            Some(peer) => peer.record(),
            None => self.own.record(),
        };
        let fail_ms = now_ms + 4 * self.settings.probe_timeout_ms;
        let probe = PendingProbe {
            target: gone.map(|peer| peer.member.name.clone()),
            to,
            sent_ms: now_ms,
            indirect_ms: fail_ms,
            fail_ms,
            indirect_requested: false,
            can_suspect: false,
        };
        self.send_probe(probe, &[record], Priority::Normal);
    }

    /// addresses of dead members and of listed instances that are not running members.
    pub(super) fn reconnect_targets(&self) -> Vec<SocketAddr> {
        let mut targets = self.listed_addresses.clone();
        for peer in self.peers.iter() {
            match peer.member.health {
                MemberHealth::Dead => targets.insert(peer.member.mesh),
                MemberHealth::Alive | MemberHealth::Suspect => targets.remove(&peer.member.mesh),
                MemberHealth::Left => false,
            };
        }
        targets.into_iter().collect()
    }

    /// acks a probe at once, or later if a pause left a backlog.
    pub(super) fn on_probe(&mut self, from: SocketAddr, ack: PendingAck) {
        match &mut self.backlog {
            Some(backlog) => {
                backlog.acks.insert(from, ack);
            }
            None => self.send_ack(from, ack),
        }
    }

    /// sends the deferred acks once the backlog of a pause has been read.
    pub(super) fn send_backlog(&mut self, now_ms: u64) {
        let Some(backlog) = self.backlog.take_if(|backlog| now_ms >= backlog.until_ms) else {
            return;
        };
        for (from, ack) in backlog.acks {
            self.send_ack(from, ack);
        }
    }

    fn send_ack(&mut self, from: SocketAddr, ack: PendingAck) {
        let mut records: Vec<MemberRecord> = ack.correction.into_iter().collect();
        if ack.is_newcomer {
            records.push(self.own.record());
        }
        let probe_ack = ProbeAck { sequence: ack.sequence, wants_record: ack.wants_record };
        let body = DatagramBody::Ack(probe_ack);
        self.outbox.send(&self.own, &self.peers, from, body, &records, Priority::Reply);
    }

    pub(super) fn on_ack(&mut self, now_ms: u64, from: SocketAddr, sender_name: &str, ack: &ProbeAck) {
        if ack.wants_record {
            let record = [self.own.record()];
            let body = DatagramBody::News(News { urgent: true });
            self.outbox.send(&self.own, &self.peers, from, body, &record, Priority::Reply);
        }
        // One ack shows that the member receives probes; it need not ack each of them.
        let others = self.prober.take_others_to(sender_name, ack.sequence);
        for _ in others.iter().filter(|probe| probe.can_suspect) {
            self.health.record_ack();
        }
        if let Some(indirect) = self.prober.take_indirect(ack.sequence) {
            let body = DatagramBody::Ack(ProbeAck { sequence: indirect.sequence, wants_record: false });
            self.outbox.send(&self.own, &self.peers, indirect.requester, body, &[], Priority::Reply);
            return;
        }
        let Some(probe) = self.prober.take_pending(ack.sequence) else {
            return;
        };
        if probe.can_suspect {
            self.health.record_ack();
        }
        if probe.target.as_deref() == Some(sender_name) {
            self.peers.observe_round_trip(sender_name, now_ms.saturating_sub(probe.sent_ms));
        }
    }

    pub(super) fn on_probe_request(&mut self, from: SocketAddr, request: &ProbeRequest) {
        if self.backlog.is_some() {
            // The request may be from before the pause; its sender has asked other members too.
            return;
        }
        let Ok(to) = request.target.parse() else {
            return;
        };
        // Known members only, so that no one can direct probes at a third party.
        let Some(peer) = self.peers.iter().find(|peer| peer.member.mesh == to) else {
            return;
        };
        let records =
            if peer.member.health == MemberHealth::Alive { Vec::new() } else { vec![peer.record()] };
        let sequence = self.prober.next_sequence();
        self.prober.add_indirect(sequence, IndirectProbe { requester: from, sequence: request.sequence });
        let body = DatagramBody::Probe(Probe { sequence });
        self.outbox.send(&self.own, &self.peers, to, body, &records, Priority::Liveness);
    }
}
