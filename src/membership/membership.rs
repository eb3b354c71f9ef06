use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::ids::Incarnation;
use crate::member::Member;
use crate::member::MemberView;
use crate::membership::MembershipAction;
use crate::membership::MembershipInput;
use crate::membership::local_health::LocalHealth;
use crate::membership::outbox::Outbox;
use crate::membership::outbox::Spending;
use crate::membership::own_state::Accusation;
use crate::membership::own_state::OwnState;
use crate::membership::peer_table::Merged;
use crate::membership::peer_table::PeerTable;
use crate::membership::prober::PendingProbe;
use crate::membership::prober::Prober;
use crate::membership::prober::Relay;
use crate::membership::suspicions::Suspicion;
use crate::membership::suspicions::Suspicions;
use crate::membership::sync;
use crate::platform::InstanceKind;
use crate::platform::ListedInstance;
use crate::schema::Datagram;
use crate::schema::DatagramBody;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;
use crate::schema::MembershipSettings;
use crate::schema::News;
use crate::schema::Probe;
use crate::schema::ProbeAck;
use crate::schema::ProbeRequest;
use crate::schema::SyncNames;
use crate::schema::SyncWanted;

/// a gap between two inputs after which this instance takes itself for paused.
const PAUSE_MS: u64 = 400;
/// members that are asked to probe a target that did not answer.
const RELAY_COUNT: usize = 3;
/// members that urgent news goes to at once.
const URGENT_FANOUT: usize = 4;
/// members that hear at once of this instance's own departure.
const DEPARTURE_FANOUT: usize = 8;
/// members that hear again of this instance's own departure.
const DEPARTURE_REPEAT_FANOUT: usize = 2;
/// when a departure is told again, after the first time.
const DEPARTURE_REPEATS_MS: [u64; 2] = [200, 600];
/// factor on a suspicion while this instance is probably cut off itself.
const CUT_OFF_STRETCH: u64 = 8;
/// time between two comparisons of views.
const SYNC_MS: u64 = 1_000;
/// time between two comparisons of views while this instance is new or was paused.
const FAST_SYNC_MS: u64 = 200;
/// how long an instance is new.
const YOUNG_MS: u64 = 10_000;
/// buckets that one comparison answers.
const SYNC_BUCKETS: usize = 3;
/// records that fit in a datagram.
const RECORDS_PER_DATAGRAM: usize = 7;
/// aim for the time after which some instance tries a gone member or an unknown address again.
const REVIVE_MS: u64 = 2_000;
/// least and longest time between two such tries of one instance.
const REVIVE_RANGE_MS: (u64, u64) = (1_000, 30_000);
/// addresses that a lone instance tries at once.
const JOIN_FANOUT: usize = 3;
/// how long a gone member is remembered.
const GONE_KEEP_MS: u64 = 3_600_000;
/// time between two rounds of forgetting.
const FORGET_MS: u64 = 60_000;
/// least time between two views that differ in the configuration in force only.
const VERSION_VIEW_MS: u64 = 500;

/// the membership of one instance.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: OwnState,
    peers: PeerTable,
    outbox: Outbox,
    prober: Prober,
    suspicions: Suspicions,
    health: LocalHealth,
    random: StdRng,
    listed: BTreeSet<SocketAddr>,
    started_ms: Option<u64>,
    last_input_ms: u64,
    next_probe_ms: u64,
    next_revive_ms: u64,
    next_sync_ms: u64,
    next_forget_ms: u64,
    /// until when failed probes say nothing about their targets.
    doubt_until_ms: u64,
    departure_repeats_ms: Vec<u64>,
    view_changed: bool,
    versions_changed: bool,
    viewed_ms: u64,
}

impl Membership {
    /// starts with a view of this instance alone.
    pub fn new(settings: &MembershipSettings, cluster: &str, own: Member, seed: u64) -> Self {
        Self {
            settings: settings.clone(),
            own: OwnState::new(own),
            peers: PeerTable::default(),
            outbox: Outbox::new(cluster, settings.max_bytes_per_second),
            prober: Prober::default(),
            suspicions: Suspicions::default(),
            health: LocalHealth::default(),
            random: StdRng::seed_from_u64(seed),
            listed: BTreeSet::new(),
            started_ms: None,
            last_input_ms: 0,
            next_probe_ms: 0,
            next_revive_ms: 0,
            next_sync_ms: 0,
            next_forget_ms: 0,
            doubt_until_ms: 0,
            departure_repeats_ms: Vec::new(),
            view_changed: true,
            versions_changed: false,
            viewed_ms: 0,
        }
    }

    /// takes one input at a time of the monotonic clock.
    pub fn handle(&mut self, now_ms: u64, input: MembershipInput) -> Vec<MembershipAction> {
        self.advance(now_ms);
        match input {
            MembershipInput::Datagram { from, datagram } => self.on_datagram(now_ms, from, *datagram),
            MembershipInput::Listed(list) => self.on_listed(&list),
            MembershipInput::ReleaseInForce(version) => self.on_release(version),
            MembershipInput::Restart(incarnation) => self.on_restart(incarnation),
            MembershipInput::Leave => self.on_leave(now_ms),
            MembershipInput::Left => self.on_left(),
            MembershipInput::Tick => self.on_tick(now_ms),
        }
        self.emit_view(now_ms);
        self.outbox.take_actions()
    }

    fn advance(&mut self, now_ms: u64) {
        self.outbox.budget.refill(now_ms);
        if self.started_ms.is_none() {
            self.started_ms = Some(now_ms);
            self.last_input_ms = now_ms;
        }
        let gap_ms = now_ms.saturating_sub(self.last_input_ms);
        self.last_input_ms = self.last_input_ms.max(now_ms);
        if gap_ms > PAUSE_MS {
            self.on_pause(now_ms, gap_ms);
        }
    }

    /// after a pause what this instance missed says nothing about the others.
    fn on_pause(&mut self, now_ms: u64, gap_ms: u64) {
        self.prober.forget();
        self.health.forget_outcomes();
        self.health.doubt();
        self.suspicions.extend_all(gap_ms + self.settings.suspicion_ms);
        self.doubt_until_ms = now_ms + self.settings.suspicion_ms;
        self.next_sync_ms = now_ms;
        for name in self.some_running(RELAY_COUNT, None) {
            self.probe_member(now_ms, &name, false);
        }
    }

    fn on_listed(&mut self, list: &[ListedInstance]) {
        let entries = list.iter().filter(|listed| listed.kind == InstanceKind::Entry);
        let own = self.own.member.mesh;
        self.listed = entries.map(|listed| listed.address).filter(|address| *address != own).collect();
    }

    fn on_release(&mut self, version: u64) {
        if version <= self.own.member.release_version {
            return;
        }
        self.own.member.release_version = version;
        self.view_changed = true;
    }

    fn on_restart(&mut self, incarnation: Incarnation) {
        self.own.restart(incarnation);
        self.announce_own();
    }

    fn on_leave(&mut self, now_ms: u64) {
        if self.own.member.leaving || self.own.has_left() {
            return;
        }
        self.own.member.leaving = true;
        self.view_changed = true;
        self.departure_repeats_ms = DEPARTURE_REPEATS_MS.iter().map(|after_ms| now_ms + after_ms).collect();
        self.tell_departure(DEPARTURE_FANOUT);
    }

    fn on_left(&mut self) {
        self.own.member.leaving = true;
        self.own.member.health = MemberHealth::Left;
        self.view_changed = true;
        self.tell_departure(DEPARTURE_FANOUT);
    }

    fn tell_departure(&mut self, fanout: usize) {
        let own_name = self.own.member.name.clone();
        self.outbox.news.push(&own_name, false);
        let record = [self.own.record()];
        for name in self.some_running(fanout, None) {
            self.send_to_member(&name, News { urgent: true }.into(), &record, Spending::Credit);
        }
    }

    fn on_tick(&mut self, now_ms: u64) {
        if self.own.has_left() || self.own.is_superseded() {
            return;
        }
        if self.own.end_hold(now_ms) {
            self.announce_own();
        }
        self.relay_probes(now_ms);
        self.fail_probes(now_ms);
        self.end_suspicions(now_ms);
        self.repeat_departure(now_ms);
        self.send_urgent();
        self.reprobe_suspects(now_ms);
        self.probe_next(now_ms);
        self.revive(now_ms);
        if now_ms >= self.next_forget_ms {
            self.next_forget_ms = now_ms + FORGET_MS;
            self.view_changed |= self.peers.forget_gone(now_ms, GONE_KEEP_MS);
        }
    }

    fn relay_probes(&mut self, now_ms: u64) {
        for (sequence, probe) in self.prober.due_relays(now_ms) {
            let request = ProbeRequest { sequence, target: probe.to.to_string() };
            for name in self.some_running(RELAY_COUNT, probe.target.as_deref()) {
                self.send_to_member(&name, request.clone().into(), &[], Spending::Credit);
            }
        }
    }

    fn fail_probes(&mut self, now_ms: u64) {
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

    fn suspect(&mut self, now_ms: u64, name: &str) {
        self.peers.judge(name, MemberHealth::Suspect, now_ms);
        self.view_changed = true;
        self.outbox.news.push(name, false);
        self.start_suspicion(now_ms, name, true);
    }

    fn start_suspicion(&mut self, now_ms: u64, name: &str, raised_here: bool) {
        let deadline_ms = now_ms + self.suspicion_ms();
        let reprobe_ms = raised_here.then_some(now_ms);
        self.suspicions.start(name, Suspicion { deadline_ms, extended: false, reprobe_ms });
    }

    /// grows with the number of members, as news takes longer to reach all of them.
    fn suspicion_ms(&self) -> u64 {
        let member_count = self.peers.running().count() + 1;
        let growth = (member_count as f64).log10().max(1.0);
        (self.settings.suspicion_ms as f64 * growth) as u64 * self.health.stretch()
    }

    fn end_suspicions(&mut self, now_ms: u64) {
        for name in self.suspicions.due(now_ms) {
            if self.health.is_cut_off(self.peers.running().count()) {
                let extra_ms = self.settings.suspicion_ms * (CUT_OFF_STRETCH - 1);
                if self.suspicions.extend(&name, extra_ms) {
                    continue;
                }
            }
            self.suspicions.end(&name);
            self.peers.judge(&name, MemberHealth::Dead, now_ms);
            self.view_changed = true;
            self.outbox.news.push(&name, true);
        }
    }

    fn reprobe_suspects(&mut self, now_ms: u64) {
        let pause_ms = (self.settings.suspicion_ms / 4).max(self.settings.probe_timeout_ms);
        for name in self.suspicions.take_reprobes(now_ms, pause_ms) {
            self.probe_member(now_ms, &name, false);
        }
    }

    fn repeat_departure(&mut self, now_ms: u64) {
        let due = self.departure_repeats_ms.iter().any(|repeat_ms| now_ms >= *repeat_ms);
        if due {
            self.departure_repeats_ms.retain(|repeat_ms| now_ms < *repeat_ms);
            self.tell_departure(DEPARTURE_REPEAT_FANOUT);
        }
    }

    /// passes urgent news on at once, to a few members.
    fn send_urgent(&mut self) {
        let urgent = self.outbox.news.urgent();
        if urgent.is_empty() {
            return;
        }
        let mut sent = false;
        for name in self.some_running(URGENT_FANOUT, None) {
            sent |= self.send_to_member(&name, News { urgent: true }.into(), &[], Spending::Saved);
        }
        if sent {
            self.outbox.news.urgent_sent(&urgent);
        }
    }

    fn probe_next(&mut self, now_ms: u64) {
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

    fn probe_member(&mut self, now_ms: u64, name: &str, judges: bool) {
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
        self.send_probe(probe, &told);
    }

    fn send_probe(&mut self, probe: PendingProbe, records: &[MemberRecord]) {
        let sequence = self.prober.sequence();
        let body = DatagramBody::Probe(Probe { sequence });
        if self.outbox.send(&self.own, &self.peers, probe.to, body, records, Spending::Saved) {
            self.prober.sent(sequence, probe);
        }
    }

    /// tries gone members and listed addresses that have not answered yet, at a slow rate.
    fn revive(&mut self, now_ms: u64) {
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

    fn probe_address(&mut self, now_ms: u64, to: SocketAddr) {
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
        self.send_probe(probe, &[told]);
    }

    fn lost_addresses(&self) -> Vec<SocketAddr> {
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

    fn on_datagram(&mut self, now_ms: u64, from: SocketAddr, datagram: Datagram) {
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
                self.answer_probe(from, probe.sequence, wants_record, is_newcomer, correction);
            }
            DatagramBody::Ack(ack) => self.on_ack(now_ms, from, sender_name, &ack),
            DatagramBody::ProbeRequest(request) => self.on_probe_request(from, &request),
            DatagramBody::News(_) => {}
            DatagramBody::SyncBuckets(theirs) => {
                self.answer_buckets(from, &theirs);
                return;
            }
            DatagramBody::SyncNames(theirs) => {
                self.answer_names(from, &theirs);
                return;
            }
            DatagramBody::SyncWanted(wanted) => {
                self.send_records(from, &wanted.names);
                return;
            }
        }
        self.compare_views(now_ms, from, datagram.view_digest);
    }

    /// what a sender does not know of itself, or of the later start of its name.
    fn correction(&self, sender_name: &str, merged: Option<Merged>) -> Option<MemberRecord> {
        if merged != Some(Merged::Stale) {
            return None;
        }
        if sender_name == self.own.member.name {
            return Some(self.own.record());
        }
        Some(self.peers.get(sender_name)?.record())
    }

    fn learn(&mut self, now_ms: u64, record: &MemberRecord, gossips: bool, sender_is_gone: bool) {
        if record.name == self.own.member.name {
            self.on_accusation(now_ms, record);
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

    fn apply(&mut self, now_ms: u64, name: &str, merged: Merged, gossips: bool) {
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
                if gossips {
                    self.outbox.news.push_join(name);
                }
            }
            Merged::Changed => {
                self.view_changed = true;
                let health = self.peers.get(name).map(|peer| peer.member.health);
                if health != Some(MemberHealth::Suspect) {
                    self.suspicions.end(name);
                }
                if gossips {
                    self.outbox.news.push(name, true);
                }
            }
        }
    }

    fn on_accusation(&mut self, now_ms: u64, record: &MemberRecord) {
        match self.own.accuse(record, now_ms) {
            Accusation::None => {}
            Accusation::Refuted => {
                self.health.doubt();
                self.announce_own();
            }
            Accusation::Returned => self.announce_own(),
            Accusation::Held | Accusation::Superseded => self.view_changed = true,
        }
    }

    fn announce_own(&mut self) {
        self.view_changed = true;
        let name = self.own.member.name.clone();
        self.outbox.news.push(&name, true);
    }

    fn answer_probe(
        &mut self,
        from: SocketAddr,
        sequence: u64,
        wants_record: bool,
        is_newcomer: bool,
        correction: Option<MemberRecord>,
    ) {
        let mut first: Vec<MemberRecord> = correction.into_iter().collect();
        if is_newcomer {
            first.push(self.own.record());
        }
        let body = DatagramBody::Ack(ProbeAck { sequence, wants_record });
        self.outbox.send(&self.own, &self.peers, from, body, &first, Spending::Credit);
    }

    fn on_ack(&mut self, now_ms: u64, from: SocketAddr, sender_name: &str, ack: &ProbeAck) {
        if ack.wants_record {
            let record = [self.own.record()];
            let body = DatagramBody::News(News { urgent: true });
            self.outbox.send(&self.own, &self.peers, from, body, &record, Spending::Credit);
        }
        if let Some(relay) = self.prober.relay_answered(ack.sequence) {
            let body = DatagramBody::Ack(ProbeAck { sequence: relay.sequence, wants_record: false });
            self.outbox.send(&self.own, &self.peers, relay.requester, body, &[], Spending::Credit);
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

    fn on_probe_request(&mut self, from: SocketAddr, request: &ProbeRequest) {
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
        self.outbox.send(&self.own, &self.peers, to, body, &told, Spending::Credit);
    }

    /// starts a comparison with an instance whose view differs.
    fn compare_views(&mut self, now_ms: u64, from: SocketAddr, their_digest: u64) {
        let own_digest = self.peers.digest() ^ self.own.entry_hash();
        if their_digest == own_digest || now_ms < self.next_sync_ms || self.own.is_superseded() {
            return;
        }
        let age_ms = now_ms.saturating_sub(self.started_ms.unwrap_or(now_ms));
        let is_young = age_ms < YOUNG_MS || now_ms < self.doubt_until_ms;
        self.next_sync_ms = now_ms + if is_young { FAST_SYNC_MS } else { SYNC_MS };
        let bucket_count = sync::bucket_count(self.peers.running().count() + 1);
        let body = if bucket_count == 1 {
            DatagramBody::SyncNames(sync::names(&self.own, &self.peers, 1, 0))
        } else {
            DatagramBody::SyncBuckets(sync::buckets(&self.own, &self.peers, bucket_count))
        };
        self.outbox.send(&self.own, &self.peers, from, body, &[], Spending::Saved);
    }

    fn answer_buckets(&mut self, from: SocketAddr, theirs: &crate::schema::SyncBuckets) {
        let bucket_count = theirs.digests.len();
        if bucket_count == 0 || bucket_count > u16::MAX as usize {
            return;
        }
        let mine = sync::buckets(&self.own, &self.peers, bucket_count);
        let differing = sync::differing(&mine, theirs);
        let chosen: Vec<usize> = differing.sample(&mut self.random, SYNC_BUCKETS).copied().collect();
        for bucket in chosen {
            let names = sync::names(&self.own, &self.peers, bucket_count, bucket);
            let body = DatagramBody::SyncNames(names);
            self.outbox.send(&self.own, &self.peers, from, body, &[], Spending::Saved);
        }
    }

    fn answer_names(&mut self, from: SocketAddr, theirs: &SyncNames) {
        let difference = sync::compare(&self.own, &self.peers, theirs);
        if difference.to_send.is_empty() && difference.wanted.is_empty() {
            return;
        }
        let body = DatagramBody::SyncWanted(SyncWanted { names: difference.wanted });
        self.outbox.send(&self.own, &self.peers, from, body, &difference.to_send, Spending::Saved);
    }

    fn send_records(&mut self, to: SocketAddr, wanted: &[u32]) {
        let records = sync::find(&self.own, &self.peers, wanted);
        for some in records.chunks(RECORDS_PER_DATAGRAM) {
            let body = DatagramBody::News(News { urgent: false });
            if !self.outbox.send(&self.own, &self.peers, to, body, some, Spending::Saved) {
                return;
            }
        }
    }

    fn send_to_member(
        &mut self,
        name: &str,
        body: DatagramBody,
        records: &[MemberRecord],
        spending: Spending,
    ) -> bool {
        let Some(peer) = self.peers.get(name) else {
            return false;
        };
        self.outbox.send(&self.own, &self.peers, peer.member.mesh, body, records, spending)
    }

    fn some_running(&mut self, count: usize, except: Option<&str>) -> Vec<String> {
        let running = self.peers.running().filter(|peer| Some(peer.member.name.as_str()) != except);
        let names: Vec<&str> = running.map(|peer| peer.member.name.as_str()).collect();
        names.sample(&mut self.random, count).map(|name| (*name).to_owned()).collect()
    }

    fn emit_view(&mut self, now_ms: u64) {
        let versions_due = self.versions_changed && now_ms >= self.viewed_ms + VERSION_VIEW_MS;
        if !self.view_changed && !versions_due {
            return;
        }
        self.view_changed = false;
        self.versions_changed = false;
        self.viewed_ms = now_ms;
        let mut members: Vec<Member> = self.peers.iter().map(|peer| peer.member.clone()).collect();
        if !self.own.is_superseded() {
            members.push(self.own.member.clone());
        }
        members.sort_by(|left, right| left.name.cmp(&right.name));
        let me = self.own.member.incarnation.clone();
        self.outbox.push(MembershipAction::View(Arc::new(MemberView { me, members, changed_ms: now_ms })));
    }
}
