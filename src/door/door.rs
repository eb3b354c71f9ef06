use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use flamingo_edge::Spawner;
use slog::Logger;
use slog::info;

use crate::door::FleetView;
use crate::door::answer_buffer::AnswerBuffers;
use crate::door::connections::Connection;
use crate::door::connections::Connections;
use crate::door::connections::OpenFailure;
use crate::door::request::DoorRequest;
use crate::fleet::MergedMirror;
use crate::ledger_client::LedgerClient;
use crate::platform::OPERATOR_CONFIG;
use crate::platform::REPLICAS;
use crate::poison::Evidence;
use crate::poison::HOLD_THRESHOLD;
use crate::poison::PoisonState;
use crate::poison::ReplicaRun;
use crate::routing::Affinity;
use crate::routing::AttemptTimeouts;
use crate::routing::PickCriteria;
use crate::routing::ReplicaId;
use crate::routing::ReplicaPick;
use crate::routing::ReplicaTable;
use crate::routing::Route;
use crate::routing::RouteTable;
use crate::schema::LeavingReplica;
use crate::schema::MirrorMark;
use crate::schema::PoisonStrike;
use crate::settings::DoorAddresses;
use crate::settings::NodeSettings;
use crate::telemetry::Lateness;

/// what the tasks of a front door share.
pub(super) struct Door {
    pub settings: NodeSettings,
    pub addresses: DoorAddresses,
    pub spawner: Spawner,
    pub log: Logger,
    pub started: Instant,
    /// names this start of the process.
    pub incarnation: String,
    pub ledger: LedgerClient,
    pub connections: Connections,
    pub answers: AnswerBuffers,
    pub table: ArcSwapOption<RouteTable>,
    replicas: Mutex<ReplicaTable>,
    patience: Mutex<AttemptTimeouts>,
    fleet: Mutex<FleetView>,
    /// what is known of the platform, by prefix.
    merges: Mutex<Vec<MergedMirror>>,
    poison: Mutex<PoisonState>,
    /// how long the ledger takes to say whether a turn may begin.
    ledger_lateness: Mutex<Lateness>,
    is_leaving: AtomicBool,
    draws: AtomicU64,
}

/// where it was heard that a replica leaves.
#[derive(Clone, Copy, Debug)]
pub(super) enum LeavingSource<'a> {
    /// in an answer to this door.
    Answer {
        /// id of the request that was answered.
        request: Option<&'a str>,
    },
    /// from another door.
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
        let ledger = LedgerClient::new(settings.tolerance.lost_disks, log.clone());
        Self {
            settings,
            addresses,
            spawner,
            log,
            started: Instant::now(),
            incarnation,
            ledger,
            connections: Connections::default(),
            answers: AnswerBuffers::default(),
            table: ArcSwapOption::empty(),
            replicas: Mutex::new(ReplicaTable::new(rand::random())),
            patience: Mutex::default(),
            fleet: Mutex::default(),
            merges: Mutex::new(vec![MergedMirror::new(OPERATOR_CONFIG), MergedMirror::new(REPLICAS)]),
            poison: Mutex::default(),
            ledger_lateness: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            draws: AtomicU64::new(rand::random()),
        }
    }

    /// milliseconds since the start of the process.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn replicas(&self) -> MutexGuard<'_, ReplicaTable> {
        self.replicas.lock().expect("replica lock poisoned")
    }

    pub fn patience(&self) -> MutexGuard<'_, AttemptTimeouts> {
        self.patience.lock().expect("patience lock poisoned")
    }

    pub fn fleet(&self) -> MutexGuard<'_, FleetView> {
        self.fleet.lock().expect("fleet lock poisoned")
    }

    /// works on what is known of the platform below a prefix; `None` if the door follows no such prefix.
    pub fn merge<T>(&self, prefix: &str, work: impl FnOnce(&mut MergedMirror, u64) -> T) -> Option<T> {
        let now_ms = self.now_ms();
        let mut merges = self.merges.lock().expect("merge lock poisoned");
        let merge = merges.iter_mut().find(|merge| merge.prefix() == prefix)?;
        Some(work(merge, now_ms))
    }

    /// whether ledger nodes have word of the platform.
    pub fn is_told_of(&self, prefix: &str) -> bool {
        self.merge(prefix, |merge, now_ms| merge.is_fresh(now_ms)).unwrap_or(false)
    }

    /// how far the mirrors of a ledger node are known.
    pub fn marks(&self, node: &str) -> Vec<MirrorMark> {
        let merges = self.merges.lock().expect("merge lock poisoned");
        merges.iter().map(|merge| merge.mark_for(node)).collect()
    }

    /// chooses a replica, which then counts one more request until its lease is dropped.
    pub fn pick(&self, service: &str, affinity: Affinity<'_>, avoid: &[ReplicaId]) -> Option<ReplicaPick> {
        let wanted = PickCriteria { service, zone: &self.settings.instance.zone, affinity };
        self.replicas().pick(self.now_ms(), &wanted, avoid)
    }

    /// a number that spreads evenly, to split traffic between backends.
    pub fn draw(&self) -> u64 {
        // An odd constant with no pattern in its bits visits all numbers, far apart from each other.
        self.draws.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed) >> 16
    }

    /// tokens that one event stands for at the engines of a route.
    pub fn tokens_per_event(&self, route: &Route) -> u64 {
        let table = self.table.load();
        let engines = route.backends.iter().filter_map(|backend| {
            table.as_ref()?.service(&backend.service)?.engine.as_ref().map(|engine| engine.tokens_per_event)
        });
        engines.max().unwrap_or(1)
    }

    /// puts a newer configuration in force; older ones are ignored.
    pub fn put_in_force(&self, table: RouteTable) {
        let known = self.table.load().as_ref().map_or(0, |table| table.version);
        if table.version <= known {
            return;
        }
        info!(self.log, "a configuration is in force"; "version" => table.version,
            "routes" => table.route_count(), "previous" => known);
        self.table.store(Some(Arc::new(table)));
    }

    /// takes note that a replica leaves.
    pub fn hear_leaving(&self, leaving: &LeavingReplica, word: LeavingSource<'_>) {
        let is_own = matches!(word, LeavingSource::Answer { .. });
        if !self.replicas().mark_leaving(self.now_ms(), leaving, is_own) {
            return;
        }
        let (source, request) = match word {
            LeavingSource::Answer { request } => ("answer", request),
            LeavingSource::Door => ("door", None),
        };
        metrics::counter!("door_replicas_leaving_total", "source" => source).increment(1);
        info!(self.log, "a replica says that it leaves"; "replica" => &leaving.replica,
            "request" => request, "source" => source, "age_ms" => leaving.age_ms);
    }

    /// keeps a connection for later requests, unless its replica leaves.
    pub fn keep(&self, connection: Connection, pick: &ReplicaPick, keeps: Option<Duration>) {
        if !self.replicas().is_leaving(pick) {
            self.connections.put(connection, keeps);
        }
    }

    /// looks whether somebody still listens at the address of a replica that broke an answer off.
    pub async fn probe(&self, pick: &ReplicaPick) -> Result<(), OpenFailure> {
        Connection::open(&self.spawner, pick.address).await.map(drop)
    }

    /// takes a run that was broken off; `true` if its replica has ended, as far as the probe tells.
    pub fn take_broken(&self, run: ReplicaRun, probe: Result<(), OpenFailure>) -> bool {
        match probe {
            Ok(()) => {
                info!(self.log, "a replica lives after it broke a run off"; "request" => &run.request,
                    "content" => &run.content, "replica" => &run.replica);
                return false;
            }
            Err(OpenFailure::Refused) => self.strike(run, Evidence::Refused),
            Err(OpenFailure::Silent) => self.poison().suspects.add(self.now_ms(), run, true),
        }
        true
    }

    /// watches whether the replica of a run lives on that ended without an answer.
    pub fn suspect(&self, run: ReplicaRun) {
        self.poison().suspects.add(self.now_ms(), run, false);
    }

    /// a replica has started, perhaps again.
    pub fn replica_started(&self, replica: &str, started_unix_ms: u64) {
        let ended = self.poison().suspects.replica_started(replica, started_unix_ms);
        for (run, evidence) in ended {
            self.strike(run, evidence);
        }
    }

    /// a replica's entry is gone.
    pub fn replica_gone(&self, replica: &str) {
        let ended = self.poison().suspects.replica_gone(replica);
        for (run, evidence) in ended {
            self.strike(run, evidence);
        }
    }

    /// counts a replica that ended against the content that it ran.
    fn strike(&self, run: ReplicaRun, evidence: Evidence) {
        let evidence: &'static str = evidence.into();
        metrics::counter!("door_strikes_total", "evidence" => evidence).increment(1);
        let ReplicaRun { content, request, replica, .. } = &run;
        info!(self.log, "a replica ended under a request"; "request" => request, "content" => content,
            "replica" => replica, "evidence" => evidence);
        let strike = run.into_strike();
        self.poison().pending.add(strike.clone());
        self.learn_strike(&strike, &self.settings.instance.name);
    }

    /// takes a strike that this door has seen, or that a ledger node tells of.
    pub fn learn_strike(&self, strike: &PoisonStrike, source: &str) {
        let victims = self.poison().strikes.add(self.now_ms(), strike);
        if victims == Some(HOLD_THRESHOLD) {
            info!(self.log, "a content is refused from now on"; "content" => &strike.content,
                "victims" => HOLD_THRESHOLD, "source" => source);
        }
    }

    /// whether the content of a request has ended too many replicas to be sent to another one.
    pub fn is_held(&self, request: &DoorRequest, route: &Route) -> bool {
        if self.poison().strikes.is_empty() {
            return false;
        }
        let content = request.content().digest();
        let victims = self.poison().strikes.victim_count(&content);
        let is_held = victims >= HOLD_THRESHOLD;
        if is_held {
            info!(self.log, "a content is held back"; "request" => request.caller.id.as_deref(),
                "content" => content, "victims" => victims, "route" => &route.name);
        }
        is_held
    }

    /// takes how long the ledger took to say whether a turn may begin.
    pub fn note_ledger_wait(&self, waited_ms: u64) {
        metrics::histogram!("door_ledger_wait_ms").record(waited_ms as f64);
        let note =
            self.ledger_lateness.lock().expect("lateness lock poisoned").take(self.now_ms(), waited_ms);
        let Some(note) = note else {
            return;
        };
        let note: &'static str = note.into();
        info!(self.log, "how long the ledger takes has changed"; "note" => note, "waited_ms" => waited_ms,
            "asks" => self.ledger.take_counts().to_string());
    }

    pub fn poison(&self) -> MutexGuard<'_, PoisonState> {
        self.poison.lock().expect("poison table lock poisoned")
    }

    /// whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.table.load().is_some() && self.ledger.is_reachable()
    }

    /// starts to leave: the door takes requests for a while, but is not named any more.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }
}
