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
use crate::membership::byte_budget::Purpose;
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

/// a gap between two inputs after which this instance takes itself for paused.
const PAUSE_MS: u64 = 400;
/// how long answers wait after a pause.
const BACKLOG_MS: u64 = 50;
/// how long an instance that was paused for long gathers what is believed of it before it refutes.
const LEARN_MS: u64 = 200;
/// members that are asked to probe a target that did not answer.
const RELAY_COUNT: usize = 3;
/// members that hear at once of this instance's own departure.
const DEPARTURE_FANOUT: usize = 8;
/// when a departure is told again, after the first time.
const DEPARTURE_REPEATS_MS: [u64; 2] = [200, 600];
/// how long a gone member is remembered.
const GONE_KEEP_MS: u64 = 3_600_000;
/// time between two rounds of forgetting.
const FORGET_MS: u64 = 60_000;
/// least time between two views that differ in the configuration in force only.
const VERSION_VIEW_MS: u64 = 500;

/// how far a new instance has read the view of the others.
#[derive(Debug)]
pub(super) enum CatchUp {
    NotStarted,
    Reading { after: String, retry_ms: u64, unanswered: u32 },
    Done,
}

/// answers that wait until the datagrams of a pause have been read.
#[derive(Debug)]
pub(super) struct Backlog {
    pub until_ms: u64,
    pub answers: BTreeMap<SocketAddr, Answer>,
}

/// what is known of a probe when it is answered.
#[derive(Debug)]
pub(super) struct Answer {
    pub sequence: u64,
    pub wants_record: bool,
    /// whether the prober does not know this instance yet.
    pub is_newcomer: bool,
    /// what the prober does not know of itself.
    pub correction: Option<MemberRecord>,
}

/// the membership of one instance.
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
    pub(super) listed: BTreeSet<SocketAddr>,
    pub(super) last_input_ms: Option<u64>,
    /// whether another instance has had the same view since the start or the last pause.
    pub(super) has_agreed: bool,
    pub(super) catch_up: CatchUp,
    pub(super) next_probe_ms: u64,
    pub(super) next_revive_ms: u64,
    pub(super) next_sync_ms: u64,
    pub(super) next_forget_ms: u64,
    /// until when failed probes say nothing about their targets.
    pub(super) doubt_until_ms: u64,
    /// answers put off after a pause, the latest for each asker, and until when.
    pub(super) backlog: Option<Backlog>,
    pub(super) departure_repeats_ms: Vec<u64>,
    pub(super) view_changed: bool,
    pub(super) versions_changed: bool,
    pub(super) viewed_ms: u64,
}

impl Membership {
    /// starts with a view of this instance alone.
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
            listed: BTreeSet::new(),
            last_input_ms: None,
            has_agreed: false,
            catch_up: CatchUp::NotStarted,
            next_probe_ms: 0,
            next_revive_ms: 0,
            next_sync_ms: 0,
            next_forget_ms: 0,
            doubt_until_ms: 0,
            backlog: None,
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
            MembershipInput::InstanceList(list) => self.on_listed(&list),
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

    /// after a pause, what this instance missed says nothing about the others.
    fn on_pause(&mut self, now_ms: u64, gap_ms: u64) {
        // The socket's buffer may be full of old questions: answering all would take the bytes of a second.
        self.backlog = Some(Backlog { until_ms: now_ms + BACKLOG_MS, answers: BTreeMap::new() });
        self.prober.forget();
        self.health.forget_outcomes();
        self.health.doubt();
        self.suspicions.extend_all(gap_ms + self.settings.suspicion_ms);
        self.doubt_until_ms = now_ms + self.settings.suspicion_ms;
        if gap_ms >= self.settings.suspicion_ms {
            self.own.learn_until(now_ms + LEARN_MS);
        }
        self.next_sync_ms = now_ms;
        self.has_agreed = false;
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

    fn on_tick(&mut self, now_ms: u64) {
        if self.own.has_left() || self.own.is_superseded() {
            return;
        }
        self.answer_backlog(now_ms);
        let accusation = self.own.end_learning(now_ms);
        self.answer_accusation(accusation);
        if self.own.end_hold(now_ms) {
            self.announce_own();
        }
        self.read_page(now_ms, None);
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

    pub(super) fn mesh_of(&self, name: &str) -> Option<SocketAddr> {
        Some(self.peers.get(name)?.member.mesh)
    }

    pub(super) fn send_to_member(
        &mut self,
        name: &str,
        body: DatagramBody,
        records: &[MemberRecord],
        purpose: Purpose,
    ) -> bool {
        let Some(peer) = self.peers.get(name) else {
            return false;
        };
        self.outbox.send(&self.own, &self.peers, peer.member.mesh, body, records, purpose)
    }

    /// some running members at random.
    pub(super) fn some_running(&mut self, count: usize, except: Option<&str>) -> Vec<String> {
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
        let own_incarnation = self.own.member.incarnation.clone();
        self.outbox.push(MembershipAction::PublishView(Arc::new(MemberView {
            own_incarnation,
            members,
            changed_ms: now_ms,
        })));
    }
}
