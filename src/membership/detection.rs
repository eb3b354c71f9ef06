//! failure detection: probes, indirect probes and suspicions.

use std::net::SocketAddr;

use rand::RngExt;

use crate::membership::Membership;
use crate::membership::byte_budget::Purpose;
use crate::membership::membership::Answer;
use crate::membership::prober::PendingProbe;
use crate::membership::prober::Relay;
use crate::membership::suspicions::Suspicion;
use crate::schema::DatagramBody;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;
use crate::schema::News;
use crate::schema::Probe;
use crate::schema::ProbeAck;
use crate::schema::ProbeRequest;

/// members that are asked to probe a target that did not answer.
const RELAY_COUNT: usize = 3;
/// factor on a suspicion while this instance is probably cut off itself.
const CUT_OFF_STRETCH: u64 = 8;
/// timeouts that a suspect has to answer one who only heard of the suspicion.
const ASK_TIMEOUTS: u64 = 3;
/// aim for the time after which some instance tries a gone member or an unknown address again.
const REVIVE_MS: u64 = 2_000;
/// least and longest time between two such tries of one instance.
const REVIVE_RANGE_MS: (u64, u64) = (1_000, 30_000);
/// addresses that a lone instance tries at once.
const JOIN_FANOUT: usize = 3;

impl Membership {
    pub(super) fn relay_probes(&mut self, now_ms: u64) {
        for (sequence, probe) in self.prober.due_relays(now_ms) {
            let request = ProbeRequest { sequence, target: probe.to.to_string() };
            for name in self.some_running(RELAY_COUNT, probe.target.as_deref()) {
                self.send_to_member(&name, request.clone().into(), &[], Purpose::Defence);
            }
        }
    }

    pub(super) fn fail_probes(&mut self, now_ms: u64) {
        for probe in self.prober.take_failed(now_ms) {
            let Some(target) = probe.target.filter(|_| probe.judges) else {
                continue;
            };
            if now_ms < self.doubt_until_ms {
                continue;
            }
            self.health.unanswered();
            let alive = self.peers.get(&target).is_some_and(|peer| peer.member.health == MemberHealth::Alive);
            if alive {
                self.suspect(now_ms, &target);
            }
        }
    }

    pub(super) fn suspect(&mut self, now_ms: u64, name: &str) {
        self.peers.judge(name, MemberHealth::Suspect, now_ms);
        self.view_changed = true;
        self.outbox.news.push(name, false);
        self.start_suspicion(now_ms, name, true);
    }

    pub(super) fn start_suspicion(&mut self, now_ms: u64, name: &str, raised_here: bool) {
        let deadline_ms = now_ms + self.suspicion_ms();
        let reprobe_ms = raised_here.then_some(now_ms);
        self.suspicions
            .start(name, Suspicion { deadline_ms, extended: false, reprobe_ms, asked: raised_here });
    }

    /// grows with the number of members, as news takes longer to reach all of them.
    pub(super) fn suspicion_ms(&self) -> u64 {
        let member_count = self.peers.running().count() + 1;
        let growth = (member_count as f64).log10().max(1.0);
        (self.settings.suspicion_ms as f64 * growth) as u64 * self.health.stretch()
    }

    /// declares those members dead that had the time to refute.
    pub(super) fn end_suspicions(&mut self, now_ms: u64) {
        for name in self.suspicions.due(now_ms) {
            if self.health.is_cut_off(self.peers.running().count()) {
                let extra_ms = self.settings.suspicion_ms * (CUT_OFF_STRETCH - 1);
                if self.suspicions.extend(&name, extra_ms) {
                    continue;
                }
            }
            // Its refutation may have reached all others.
            if self.suspicions.ask(&name, ASK_TIMEOUTS * self.settings.probe_timeout_ms) {
                self.probe_member(now_ms, &name, false);
                continue;
            }
            self.suspicions.end(&name);
            self.peers.judge(&name, MemberHealth::Dead, now_ms);
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

    /// probes a member; `judges` tells whether silence raises a suspicion.
    pub(super) fn probe_member(&mut self, now_ms: u64, name: &str, judges: bool) {
        let Some(peer) = self.peers.get(name) else {
            return;
        };
        // A suspect or dead member learns what is believed of it and can refute.
        let told = if peer.member.health == MemberHealth::Alive { Vec::new() } else { vec![peer.record()] };
        let stretch = self.health.stretch();
        let patience_ms = (self.settings.probe_timeout_ms.max(2 * peer.round_trip_ms)) * stretch;
        let relay_ms = now_ms + patience_ms;
        let probe = PendingProbe {
            target: Some(name.to_owned()),
            to: peer.member.mesh,
            sent_ms: now_ms,
            relay_ms,
            fail_ms: relay_ms + 3 * patience_ms,
            relayed: false,
            judges,
        };
        // A suspect must have its chance to refute, however busy this instance is.
        let purpose = if told.is_empty() { Purpose::Common } else { Purpose::Defence };
        self.send_probe(probe, &told, purpose);
    }

    fn send_probe(&mut self, probe: PendingProbe, records: &[MemberRecord], purpose: Purpose) {
        let sequence = self.prober.sequence();
        let body = DatagramBody::Probe(Probe { sequence });
        if self.outbox.send(&self.own, &self.peers, probe.to, body, records, purpose) {
            self.prober.sent(sequence, probe);
        }
    }

    /// tries gone members and listed addresses that have not answered yet, at a slow rate.
    pub(super) fn revive(&mut self, now_ms: u64) {
        if now_ms < self.next_revive_ms {
            return;
        }
        let (least_ms, longest_ms) = REVIVE_RANGE_MS;
        let running_count = self.peers.running().count();
        let mut targets = self.lost_addresses();
        let mut pause_ms = least_ms;
        let mut try_count = 1;
        if running_count == 0 {
            pause_ms = self.settings.probe_ms;
            try_count = JOIN_FANOUT;
        } else if !targets.is_empty() {
            let share_ms = REVIVE_MS * running_count as u64 / targets.len() as u64;
            pause_ms = share_ms.clamp(least_ms, longest_ms);
        }
        self.next_revive_ms = now_ms + self.random.random_range(pause_ms / 2..=pause_ms * 3 / 2);
        for _ in 0..try_count.min(targets.len()) {
            let to = targets.swap_remove(self.random.random_range(0..targets.len()));
            self.probe_address(now_ms, to);
        }
    }

    /// probes an address that may not be a member's any more, or not yet.
    pub(super) fn probe_address(&mut self, now_ms: u64, to: SocketAddr) {
        let gone = self.peers.iter().find(|peer| peer.member.mesh == to);
        let told = match gone {
            Some(peer) => peer.record(),
            None => self.own.record(),
        };
        let fail_ms = now_ms + 4 * self.settings.probe_timeout_ms;
        let probe = PendingProbe {
            target: gone.map(|peer| peer.member.name.clone()),
            to,
            sent_ms: now_ms,
            relay_ms: fail_ms,
            fail_ms,
            relayed: false,
            judges: false,
        };
        self.send_probe(probe, &[told], Purpose::Common);
    }

    /// addresses of dead members and of listed instances that have not answered yet.
    pub(super) fn lost_addresses(&self) -> Vec<SocketAddr> {
        let mut lost = self.listed.clone();
        for peer in self.peers.iter() {
            match peer.member.health {
                MemberHealth::Dead => lost.insert(peer.member.mesh),
                MemberHealth::Alive | MemberHealth::Suspect => lost.remove(&peer.member.mesh),
                MemberHealth::Left => false,
            };
        }
        lost.into_iter().collect()
    }

    /// answers a probe, at once or after the backlog of a pause.
    pub(super) fn on_probe(&mut self, from: SocketAddr, answer: Answer) {
        match &mut self.backlog {
            Some(backlog) => {
                backlog.answers.insert(from, answer);
            }
            None => self.answer_probe(from, answer),
        }
    }

    /// answers the latest probe of each asker, once the backlog of a pause has been read.
    pub(super) fn answer_backlog(&mut self, now_ms: u64) {
        let Some(backlog) = self.backlog.take_if(|backlog| now_ms >= backlog.until_ms) else {
            return;
        };
        for (from, answer) in backlog.answers {
            self.answer_probe(from, answer);
        }
    }

    fn answer_probe(&mut self, from: SocketAddr, answer: Answer) {
        let mut first: Vec<MemberRecord> = answer.correction.into_iter().collect();
        if answer.is_newcomer {
            first.push(self.own.record());
        }
        let ack = ProbeAck { sequence: answer.sequence, wants_record: answer.wants_record };
        let body = DatagramBody::Ack(ack);
        self.outbox.send(&self.own, &self.peers, from, body, &first, Purpose::Answer);
    }

    pub(super) fn on_ack(&mut self, now_ms: u64, from: SocketAddr, sender_name: &str, ack: &ProbeAck) {
        if ack.wants_record {
            let record = [self.own.record()];
            let body = DatagramBody::News(News { urgent: true });
            self.outbox.send(&self.own, &self.peers, from, body, &record, Purpose::Answer);
        }
        // Whoever answers any probe hears this instance, and need not answer each.
        let others = self.prober.take_all_to(sender_name, ack.sequence);
        for _ in others.iter().filter(|probe| probe.judges) {
            self.health.answered();
        }
        if let Some(relay) = self.prober.relay_answered(ack.sequence) {
            let body = DatagramBody::Ack(ProbeAck { sequence: relay.sequence, wants_record: false });
            self.outbox.send(&self.own, &self.peers, relay.requester, body, &[], Purpose::Answer);
            return;
        }
        let Some(probe) = self.prober.answered(ack.sequence) else {
            return;
        };
        if probe.judges {
            self.health.answered();
        }
        if probe.target.as_deref() == Some(sender_name) {
            self.peers.observe_round_trip(sender_name, now_ms.saturating_sub(probe.sent_ms));
        }
    }

    pub(super) fn on_probe_request(&mut self, from: SocketAddr, request: &ProbeRequest) {
        if self.backlog.is_some() {
            // Whoever asked before the pause has asked others since.
            return;
        }
        let Ok(to) = request.target.parse() else {
            return;
        };
        // Members only: nobody can have probes sent to a third party.
        let Some(peer) = self.peers.iter().find(|peer| peer.member.mesh == to) else {
            return;
        };
        let told = if peer.member.health == MemberHealth::Alive { Vec::new() } else { vec![peer.record()] };
        let sequence = self.prober.sequence();
        self.prober.relayed_for(sequence, Relay { requester: from, sequence: request.sequence });
        let body = DatagramBody::Probe(Probe { sequence });
        self.outbox.send(&self.own, &self.peers, to, body, &told, Purpose::Defence);
    }
}
