use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use async_channel::Receiver;
use async_channel::Sender;
use flamingo_edge::Spawner;
use slog::Logger;
use slog::debug;
use slog::info;

use crate::allotment::AllotmentBounds;
use crate::allotment::DoorAllotments;
use crate::allotment::RecentPrograms;
use crate::clock::Deadline;
use crate::clock::Moment;
use crate::door::FleetView;
use crate::door::StopPlan;
use crate::door::answer_buffer::AnswerBuffers;
use crate::door::connections::ConnectError;
use crate::door::connections::Connection;
use crate::door::connections::ConnectionPool;
use crate::door::poison_sender::PoisonSender;
use crate::door::reach_monitor::ReachMonitor;
use crate::door::workspace_label::WorkspaceLabels;
use crate::fleet::MergedMirror;
use crate::ledger_client::LedgerClient;
use crate::platform::CONFIG_PREFIX;
use crate::platform::REPLICA_PREFIX;
use crate::poison::PoisonState;
use crate::reach::HelperChoice;
use crate::reach::PassWindows;
use crate::routing::Affinity;
use crate::routing::AttemptTimeouts;
use crate::routing::LimitChange;
use crate::routing::NoPick;
use crate::routing::PickCriteria;
use crate::routing::RETENTION_MARGIN_MS;
use crate::routing::RateNotice;
use crate::routing::ReplicaId;
use crate::routing::ReplicaPick;
use crate::routing::ReplicaTable;
use crate::routing::RequestKind;
use crate::routing::Route;
use crate::routing::RouteTable;
use crate::routing::Software;
use crate::routing::SpillChange;
use crate::schema::DoorHelper;
use crate::schema::DoorRow;
use crate::schema::LeavingReplica;
use crate::schema::LimitShare;
use crate::schema::MirrorMark;
use crate::settings::DoorAddresses;
use crate::settings::NodeSettings;
use crate::telemetry::Lateness;

/// total time that a request waits for limited replicas: less than a caller needs to come back after a refusal.
pub(super) const MAX_LIMIT_WAIT: Duration = Duration::from_millis(300);

/// state that the tasks of a front door, a reverse proxy, share.
pub(super) struct Door {
    pub settings: NodeSettings,
    pub addresses: DoorAddresses,
    pub spawner: Spawner,
    pub log: Logger,
    pub started: Instant,
    /// identifies this run of the process; differs after a restart.
    pub incarnation: String,
    pub ledger: LedgerClient,
    pub connections: ConnectionPool,
    /// connections to doors that take requests of this one.
    pub helper_connections: ConnectionPool,
    pub reach: ReachMonitor,
    helper_choice: Mutex<HelperChoice>,
    /// numbers of the requests that were passed on to this door.
    pass_windows: Mutex<PassWindows>,
    /// requests that this door has passed on.
    passed_count: AtomicU64,
    /// requests of other doors under way here.
    pub taken_count: AtomicUsize,
    pub answers: AnswerBuffers,
    pub table: ArcSwapOption<RouteTable>,
    replicas: Mutex<ReplicaTable>,
    attempt_timeouts: Mutex<AttemptTimeouts>,
    fleet: Mutex<FleetView>,
    /// tokens of workspaces' allotments; `None` where allotments are not in force.
    allotments: Option<Mutex<DoorAllotments>>,
    recent_programs: Mutex<RecentPrograms>,
    /// platform state merged from all sources, one entry for each followed prefix.
    merges: Mutex<Vec<MergedMirror>>,
    poison: Mutex<PoisonState>,
    pub poison_sender: PoisonSender,
    /// tracks how long the ledger takes to admit a turn.
    ledger_lateness: Mutex<Lateness>,
    /// when the stop signal came, and what follows.
    stop: OnceLock<(Instant, StopPlan)>,
    /// closed shortly before the process exits.
    exit: (Sender<()>, Receiver<()>),
    pub workspace_labels: WorkspaceLabels,
    draw_state: AtomicU64,
}

/// how the door learned that a replica is leaving.
#[derive(Clone, Copy, Debug)]
pub(super) enum LeavingSource<'a> {
    /// a replica's answer to a request of this door.
    Answer {
        /// id of the request that was answered.
        request: Option<&'a str>,
    },
    /// another door, through a ledger node.
    Door,
}

impl Door {
    pub fn new(
        settings: NodeSettings,
        addresses: DoorAddresses,
        incarnation: String,
        spawner: Spawner,
        log: Logger,
    ) -> Self {
        let bounds = settings.bounds.allotments.as_ref().map(AllotmentBounds::from);
        let allotments = bounds.map(|bounds| DoorAllotments::new(&settings.instance.name, bounds));
        let ledger = LedgerClient::new(settings.tolerance.lost_disks, log.clone());
        let mut replicas = ReplicaTable::new(rand::random());
        if let Some(zones) = &settings.zones {
            replicas.set_leave_cost(zones.leave_cost_ms);
        }
        Self {
            settings,
            addresses,
            spawner,
            log,
            started: Instant::now(),
            incarnation,
            ledger,
            connections: ConnectionPool::default(),
            helper_connections: ConnectionPool::default(),
            reach: ReachMonitor::default(),
            helper_choice: Mutex::default(),
            pass_windows: Mutex::default(),
            passed_count: AtomicU64::new(0),
            taken_count: AtomicUsize::new(0),
            answers: AnswerBuffers::default(),
            table: ArcSwapOption::empty(),
            replicas: Mutex::new(replicas),
            attempt_timeouts: Mutex::default(),
            fleet: Mutex::default(),
            allotments: allotments.map(Mutex::new),
            recent_programs: Mutex::default(),
            merges: Mutex::new(vec![MergedMirror::new(CONFIG_PREFIX), MergedMirror::new(REPLICA_PREFIX)]),
            poison: Mutex::default(),
            poison_sender: PoisonSender::default(),
            ledger_lateness: Mutex::default(),
            stop: OnceLock::new(),
            exit: async_channel::bounded(1),
            workspace_labels: WorkspaceLabels::default(),
            draw_state: AtomicU64::new(rand::random()),
        }
    }

    /// milliseconds since the process started.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn replicas(&self) -> MutexGuard<'_, ReplicaTable> {
        self.replicas.lock().expect("replica lock poisoned")
    }

    pub fn attempt_timeouts(&self) -> MutexGuard<'_, AttemptTimeouts> {
        self.attempt_timeouts.lock().expect("attempt timeout lock poisoned")
    }

    pub fn fleet(&self) -> MutexGuard<'_, FleetView> {
        self.fleet.lock().expect("fleet lock poisoned")
    }

    /// whether allotments are in force.
    pub fn has_allotments(&self) -> bool {
        self.allotments.is_some()
    }

    /// the tokens of workspaces' allotments; `None` where allotments are not in force.
    pub fn allotments(&self) -> Option<MutexGuard<'_, DoorAllotments>> {
        let allotments = self.allotments.as_ref()?;
        Some(allotments.lock().expect("allotment lock poisoned"))
    }

    pub fn recent_programs(&self) -> MutexGuard<'_, RecentPrograms> {
        self.recent_programs.lock().expect("program lock poisoned")
    }

    pub fn helper_choice(&self) -> MutexGuard<'_, HelperChoice> {
        self.helper_choice.lock().expect("helper lock poisoned")
    }

    pub fn pass_windows(&self) -> MutexGuard<'_, PassWindows> {
        self.pass_windows.lock().expect("pass window lock poisoned")
    }

    /// the number of the next request that is passed on.
    pub fn next_pass(&self) -> u64 {
        self.passed_count.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// another door for a request, which counts as under way there; `tried` are those that it has been to.
    pub fn choose_helper(&self, tried: &[String]) -> Option<DoorRow> {
        let fleet = self.fleet();
        let helpers = fleet.helpers(&self.addresses.callers.to_string());
        let zone = &self.settings.instance.zone;
        let mut choice = self.helper_choice();
        let helper = choice.choose(self.now_ms(), zone, &helpers, tried, rand::random())?;
        choice.begin(&helper.callers);
        Some(helper.clone())
    }

    /// where this door takes requests of others; `None` while it takes none.
    pub fn helper(&self) -> Option<DoorHelper> {
        let address = self.addresses.peers.to_string();
        self.is_ready().then(|| DoorHelper { address, started: self.incarnation.clone() })
    }

    /// runs `work` on the merged state of a platform prefix; `None` if the door does not follow the prefix.
    pub fn merge<T>(&self, prefix: &str, work: impl FnOnce(&mut MergedMirror, u64) -> T) -> Option<T> {
        let now_ms = self.now_ms();
        let mut merges = self.merges.lock().expect("merge lock poisoned");
        let merge = merges.iter_mut().find(|merge| merge.prefix() == prefix)?;
        Some(work(merge, now_ms))
    }

    /// whether the state of a platform prefix was in force a moment ago, as far as this door can tell.
    pub fn is_current(&self, prefix: &str) -> bool {
        self.merge(prefix, |merge, now_ms| merge.is_current(now_ms)).unwrap_or(false)
    }

    /// whether ledger nodes supply current state of a platform prefix.
    pub fn has_fresh_mirror(&self, prefix: &str) -> bool {
        self.merge(prefix, |merge, now_ms| merge.is_fresh(now_ms)).unwrap_or(false)
    }

    /// positions up to which the mirrors of a ledger node are known, for incremental updates.
    pub fn marks(&self, node: &str) -> Vec<MirrorMark> {
        let merges = self.merges.lock().expect("merge lock poisoned");
        merges.iter().map(|merge| merge.mark_for(node)).collect()
    }

    /// selects a replica and counts the request as in flight there until the lease is dropped; `version` is
    /// that of its software, any if `None`, and `waited` the time that the request has spent waiting for limited
    /// replicas.
    pub fn pick(
        &self,
        service: &str,
        version: Option<&str>,
        affinity: Affinity<'_>,
        avoid: &[ReplicaId],
        waited: Duration,
    ) -> Result<ReplicaPick, NoPick> {
        let wanted = PickCriteria {
            service,
            version,
            zone: &self.settings.instance.zone,
            affinity,
            max_wait: MAX_LIMIT_WAIT.saturating_sub(waited),
            has_waited: !waited.is_zero(),
        };
        let (pick, changes) = {
            let mut replicas = self.replicas();
            let pick = replicas.pick(self.now_ms(), &wanted, avoid);
            (pick, replicas.take_spill_changes())
        };
        for change in changes {
            self.log_spill(&change);
        }
        if let Ok(ReplicaPick { crossing: Some(crossing), .. }) = &pick {
            let reason: &'static str = crossing.into();
            metrics::counter!("door_zone_crossings_total", "reason" => reason).increment(1);
        }
        pick
    }

    fn log_spill(&self, change: &SpillChange) {
        let note = if change.is_started { "started" } else { "ended" };
        info!(self.log, "requests leaving the availability zone changed"; "note" => note,
            "service" => &change.service, "zone" => &self.settings.instance.zone,
            "occupancy" => change.occupancy, "pays_above" => change.pays_above);
    }

    /// tells the metrics how much of each service's new work leaves the availability zone.
    pub fn record_spill_shares(&self) {
        for (service, share) in self.replicas().spill_shares() {
            metrics::gauge!("door_zone_spill_share", "service" => service.to_owned()).set(share);
        }
    }

    /// an evenly distributed number that splits traffic between backends.
    pub fn draw(&self) -> u64 {
        // Steps of this odd constant (2^64 divided by the golden ratio) visit all numbers, successive ones
        // far apart.
        self.draw_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed) >> 16
    }

    /// the software that a stream on a route will begin at, if all replicas run the same.
    pub fn sole_software(&self, route: &Route) -> Option<Software> {
        let service = route.backend(self.draw())?;
        let replicas = self.replicas();
        let version = replicas.sole_version(self.now_ms(), service)?;
        Some(Software { service: service.to_owned(), version: version.to_owned() })
    }

    /// tokens that one event stands for at the engines of a route; the most if they differ.
    pub fn tokens_per_event(&self, route: &Route) -> u64 {
        let table = self.table.load();
        let engines = route.backends.iter().filter_map(|backend| {
            table.as_ref()?.service(&backend.service)?.engine.as_ref().map(|engine| engine.tokens_per_event)
        });
        engines.max().unwrap_or(1)
    }

    /// how long the ledger keeps a turn of a route with this retention.
    pub fn keep_ms(&self, retention_ms: u64) -> u64 {
        let table = self.table.load();
        // A door without a configuration has no route either.
        table.as_ref().map_or(retention_ms + RETENTION_MARGIN_MS, |table| table.keep_ms(retention_ms))
    }

    /// activates a configuration if it is newer than the active one.
    pub fn apply_config(&self, table: RouteTable) {
        let active_version = self.table.load().as_ref().map_or(0, |table| table.version);
        if table.version <= active_version {
            return;
        }
        info!(self.log, "configuration activated"; "version" => table.version,
            "routes" => table.route_count(), "previous" => active_version);
        self.log_workspaces(&table);
        self.table.store(Some(Arc::new(table)));
    }

    /// handles the rate limit that an answer of a replica names, or does not name any more.
    pub fn record_limit(&self, pick: &ReplicaPick, notice: RateNotice) {
        if notice == RateNotice::Unreadable {
            metrics::counter!("door_unreadable_limits_total").increment(1);
            debug!(self.log, "rate limit in an answer cannot be read; ignored"; "replica" => &pick.id);
        }
        let change = self.replicas().observe_limit(self.now_ms(), pick, notice);
        if let Some(change) = change {
            self.log_limit(&pick.id, change, "answer");
        }
    }

    /// applies the shares of replicas' rate limits that a ledger node told.
    pub fn apply_limit_shares(&self, shares: &[LimitShare]) {
        let others = self.fleet().ready_count(&self.addresses.callers.to_string());
        let changes = {
            let mut replicas = self.replicas();
            replicas.set_door_count(others + 1);
            replicas.apply_limit_shares(self.now_ms(), shares)
        };
        for (replica, change) in changes {
            self.log_limit(&replica, change, "door");
        }
    }

    fn log_limit(&self, replica: &str, change: LimitChange, source: &'static str) {
        metrics::counter!("door_limit_changes_total", "source" => source).increment(1);
        match change {
            LimitChange::Set(limit_per_s) => info!(self.log, "replica limits its requests";
                "replica" => replica, "limit_per_s" => limit_per_s, "source" => source),
            LimitChange::Lifted => info!(self.log, "replica no longer limits its requests";
                "replica" => replica, "source" => source),
        }
    }

    /// records that a replica is leaving.
    pub fn record_leaving(&self, leaving: &LeavingReplica, origin: LeavingSource<'_>) {
        let is_first_hand = matches!(origin, LeavingSource::Answer { .. });
        if !self.replicas().mark_leaving(self.now_ms(), leaving, is_first_hand) {
            return;
        }
        let (source, request) = match origin {
            LeavingSource::Answer { request } => ("answer", request),
            LeavingSource::Door => ("door", None),
        };
        metrics::counter!("door_replicas_leaving_total", "source" => source).increment(1);
        info!(self.log, "replica announced that it is leaving"; "replica" => &leaving.replica,
            "request" => request, "source" => source, "age_ms" => leaving.age_ms);
    }

    /// returns a connection to the pool, unless its replica is leaving.
    pub fn pool_connection(
        &self,
        connection: Connection,
        pick: &ReplicaPick,
        idle_timeout: Option<Duration>,
    ) {
        if !self.replicas().is_leaving(pick) {
            self.connections.put(connection, idle_timeout);
        }
    }

    /// checks whether a process still listens at the address of a replica that broke off an answer.
    pub async fn probe(&self, pick: &ReplicaPick) -> Result<(), ConnectError> {
        Connection::open(&self.spawner, pick.address).await.map(drop)
    }

    /// records how long the ledger took to admit or reject a turn.
    pub fn record_ledger_wait(&self, waited_ms: u64) {
        metrics::histogram!("door_ledger_wait_ms").record(waited_ms as f64);
        let change =
            self.ledger_lateness.lock().expect("lateness lock poisoned").observe(self.now_ms(), waited_ms);
        let Some(change) = change else {
            return;
        };
        let change: &'static str = change.into();
        info!(self.log, "ledger latency changed"; "note" => change, "waited_ms" => waited_ms,
            "asks" => self.ledger.take_counts().to_string());
    }

    pub fn poison(&self) -> MutexGuard<'_, PoisonState> {
        self.poison.lock().expect("poison table lock poisoned")
    }

    /// whether new callers should be directed here.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.table.load().is_some();
        !self.is_draining() && is_configured && self.ledger.is_reachable() && !self.reach.is_cut_off()
    }

    /// starts draining: requests are still served, but the door reports itself as not ready.
    pub fn start_draining(&self, signalled_at: Instant, plan: StopPlan) {
        // Only the first signal counts.
        let _ = self.stop.set((signalled_at, plan));
    }

    /// whether a request can be answered before the process exits.
    pub fn may_take(&self, route: &Route, deadline: Deadline) -> bool {
        let Some((signalled_at, plan)) = self.stop.get() else {
            return true;
        };
        let usual = match route.kind {
            RequestKind::Idempotent => self.attempt_timeouts().usual_ms(&route.name),
            RequestKind::NonIdempotent | RequestKind::Streaming => None,
        };
        let left = deadline.remaining(&Moment::now());
        plan.may_take(signalled_at.elapsed(), left, usual.map(Duration::from_millis))
    }

    /// has the requests that still wait answered, as the process is about to exit.
    pub fn announce_exit(&self) {
        self.exit.0.close();
    }

    /// waits until the process is about to exit.
    pub async fn until_exit(&self) {
        // Nothing is sent on the channel; this returns when it closes.
        let _ = self.exit.1.recv().await;
    }

    pub fn is_draining(&self) -> bool {
        self.stop.get().is_some()
    }
}
