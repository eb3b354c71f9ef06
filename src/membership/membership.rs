use std::collections::BTreeMap;
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
use crate::membership::byte_budget::Priority;
use crate::membership::local_health::LocalHealth;
use crate::membership::outbox::Outbox;
use crate::membership::own_state::OwnState;
use crate::membership::peer_table::PeerTable;
use crate::membership::prober::Prober;
use crate::membership::suspicions::Suspicions;
use crate::platform::InstanceKind;
use crate::platform::ListedInstance;
use crate::schema::DatagramBody;
use crate::schema::MemberHealth;
use crate::schema::MemberRecord;
use crate::schema::MembershipSettings;

/// longest gap between two inputs; after a longer one, this instance was itself paused.
const PAUSE_MS: u64 = 400;
/// delay of acks after a pause.
const BACKLOG_MS: u64 = 50;
/// how long an instance collects accusations after a long pause before it refutes them.
const COLLECT_MS: u64 = 200;
/// random members that are probed right after a pause.
const PAUSE_PROBES: usize = 3;
/// random members that a departure is sent to at once.
const DEPARTURE_FANOUT: usize = 8;
/// delays after which a departure is sent again.
const DEPARTURE_REPEATS_MS: [u64; 2] = [200, 600];
/// how long a dead or departed member is remembered.
const GONE_KEEP_MS: u64 = 3_600_000;
/// interval at which members that have been gone for long are removed.
const PRUNE_MS: u64 = 60_000;
/// minimum interval between views that differ only in release versions.
const VERSION_VIEW_MS: u64 = 500;

/// state of the initial transfer of the members from other instances, page by page.
#[derive(Debug)]
pub(super) enum CatchUp {
    NotStarted,
    Reading { after: String, retry_ms: u64, unanswered: u32 },
    Done,
}

/// acks deferred until the datagrams that arrived during a pause have been read.
#[derive(Debug)]
pub(super) struct Backlog {
    pub until_ms: u64,
    pub acks: BTreeMap<SocketAddr, PendingAck>,
}

/// content of the ack to a probe.
#[derive(Debug)]
pub(super) struct PendingAck {
    pub sequence: u64,
    pub wants_record: bool,
    /// whether the prober's incarnation is unknown here; the ack then carries this instance's record.
    pub is_newcomer: bool,
    /// newer record of the prober's name than its probe showed.
    pub correction: Option<MemberRecord>,
}

/// membership state machine of one instance.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: OwnState,
    pub(super) peers: PeerTable,
    pub(super) outbox: Outbox,
    pub(super) prober: Prober,
    pub(super) suspicions: Suspicions,
    pub(super) health: LocalHealth,
    pub(super) random: StdRng,
    /// mesh addresses of the other entries on the platform's list.
    pub(super) listed_addresses: BTreeSet<SocketAddr>,
    pub(super) last_input_ms: Option<u64>,
    /// whether the digest of the view has matched another instance's since the start or the last pause.
    pub(super) has_converged: bool,
    pub(super) catch_up: CatchUp,
    pub(super) next_probe_ms: u64,
    pub(super) next_reconnect_ms: u64,
    pub(super) next_sync_ms: u64,
    pub(super) next_prune_ms: u64,
    /// until when unanswered probes are ignored, after a pause.
    pub(super) grace_until_ms: u64,
    /// acks deferred after a pause; for each prober only the latest.
    pub(super) backlog: Option<Backlog>,
    pub(super) departure_repeats_ms: Vec<u64>,
    pub(super) view_changed: bool,
    pub(super) versions_changed: bool,
    pub(super) view_sent_ms: u64,
}

impl Membership {
    /// starts with this instance as the only member; `seed` drives its random choices.
    pub fn new(settings: &MembershipSettings, cluster: &str, own: Member, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        Self {
            settings: settings.clone(),
            own: OwnState::new(own),
            peers: PeerTable::default(),
            outbox: Outbox::new(cluster, settings.max_bytes_per_second),
            prober: Prober::new(random.random()),
            suspicions: Suspicions::default(),
            health: LocalHealth::default(),
            random,
            listed_addresses: BTreeSet::new(),
            last_input_ms: None,
            has_converged: false,
            catch_up: CatchUp::NotStarted,
            next_probe_ms: 0,
            next_reconnect_ms: 0,
            next_sync_ms: 0,
            next_prune_ms: 0,
            grace_until_ms: 0,
            backlog: None,
            departure_repeats_ms: Vec::new(),
            view_changed: true,
            versions_changed: false,
            view_sent_ms: 0,
        }
    }

    /// applies one input; `now_ms` is the monotonic clock.
    pub fn handle(&mut self, now_ms: u64, input: MembershipInput) -> Vec<MembershipAction> {
        self.advance(now_ms);
        match input {
            MembershipInput::Datagram { from, datagram } => self.on_datagram(now_ms, from, *datagram),
            MembershipInput::InstanceList(list) => self.on_instance_list(&list),
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
        self.outbox.budget.advance(now_ms);
        let last_ms = self.last_input_ms.replace(now_ms).unwrap_or(now_ms);
        let gap_ms = now_ms.saturating_sub(last_ms);
        if gap_ms > PAUSE_MS {
            self.on_pause(now_ms, gap_ms);
        }
    }

    /// resets failure detection after a pause: acks missed meanwhile say nothing about the other members.
    fn on_pause(&mut self, now_ms: u64, gap_ms: u64) {
        // The socket buffer may be full of old probes; to ack each would use up the bytes of a second.
        self.backlog = Some(Backlog { until_ms: now_ms + BACKLOG_MS, acks: BTreeMap::new() });
        self.prober.clear();
        self.health.clear_outcomes();
        self.health.raise_score();
        self.suspicions.extend_all(gap_ms + self.settings.suspicion_ms);
        self.grace_until_ms = now_ms + self.settings.suspicion_ms;
        if gap_ms >= self.settings.suspicion_ms {
            self.own.collect_until(now_ms + COLLECT_MS);
        }
        self.next_sync_ms = now_ms;
        self.has_converged = false;
        for name in self.random_running(PAUSE_PROBES, None) {
            self.probe_member(now_ms, &name, false);
        }
    }

    fn on_instance_list(&mut self, list: &[ListedInstance]) {
        let entries = list.iter().filter(|listed| listed.kind == InstanceKind::Entry);
        let own = self.own.member.mesh;
        self.listed_addresses =
            entries.map(|listed| listed.address).filter(|address| *address != own).collect();
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
        self.announce_departure(DEPARTURE_FANOUT);
    }

    fn on_left(&mut self) {
        self.own.member.leaving = true;
        self.own.member.health = MemberHealth::Left;
        self.view_changed = true;
        self.announce_departure(DEPARTURE_FANOUT);
    }

    fn on_tick(&mut self, now_ms: u64) {
        if self.own.has_left() || self.own.is_superseded() {
            return;
        }
        self.send_backlog(now_ms);
        let outcome = self.own.finish_collecting(now_ms);
        self.apply_accusation(outcome);
        if self.own.refute_deferred(now_ms) {
            self.announce_own();
        }
        self.request_page(now_ms, None);
        self.request_indirect_probes(now_ms);
        self.expire_probes(now_ms);
        self.expire_suspicions(now_ms);
        self.repeat_departure(now_ms);
        self.send_urgent();
        self.reprobe_suspects(now_ms);
        self.probe_next(now_ms);
        self.reconnect(now_ms);
        if now_ms >= self.next_prune_ms {
            self.next_prune_ms = now_ms + PRUNE_MS;
            self.view_changed |= self.peers.remove_gone(now_ms, GONE_KEEP_MS);
        }
    }

    pub(super) fn mesh_address(&self, name: &str) -> Option<SocketAddr> {
        Some(self.peers.get(name)?.member.mesh)
    }

    pub(super) fn send_to_member(
        &mut self,
        name: &str,
        body: DatagramBody,
        records: &[MemberRecord],
        priority: Priority,
    ) -> bool {
        let Some(peer) = self.peers.get(name) else {
            return false;
        };
        self.outbox.send(&self.own, &self.peers, peer.member.mesh, body, records, priority)
    }

    /// up to `count` random members that are not gone.
    pub(super) fn random_running(&mut self, count: usize, except: Option<&str>) -> Vec<String> {
        let running = self.peers.running().filter(|peer| Some(peer.member.name.as_str()) != except);
        let names: Vec<&str> = running.map(|peer| peer.member.name.as_str()).collect();
        names.sample(&mut self.random, count).map(|name| (*name).to_owned()).collect()
    }

    fn emit_view(&mut self, now_ms: u64) {
        let versions_due = self.versions_changed && now_ms >= self.view_sent_ms + VERSION_VIEW_MS;
        if !self.view_changed && !versions_due {
            return;
        }
        self.view_changed = false;
        self.versions_changed = false;
        self.view_sent_ms = now_ms;
        let mut members: Vec<Member> = self.peers.iter().map(|peer| peer.member.clone()).collect();
        if !self.own.is_superseded() {
            members.push(self.own.member.clone());
        }
        members.sort_by(|left, right| left.name.cmp(&right.name));
        let own_incarnation = self.own.member.incarnation.clone();
        self.outbox.push(MembershipAction::PublishView(Arc::new(MemberView {
            own_incarnation,
            members,
            changed_ms: now_ms,
        })));
    }
}
