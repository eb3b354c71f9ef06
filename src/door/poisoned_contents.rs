use std::time::Instant;

use slog::info;
use slog::warn;

use crate::door::connections::ConnectError;
use crate::door::door::Door;
use crate::door::request::DoorRequest;
use crate::platform::REPLICA_PREFIX;
use crate::poison::Evidence;
use crate::poison::Hold;
use crate::poison::LifeSign;
use crate::poison::ReplicaRun;
use crate::poison::RunKey;
use crate::routing::ReplicaPick;
use crate::routing::Route;
use crate::schema::PoisonStrike;

impl Door {
    /// records that a replica begins to run a request.
    pub fn begin_run(&self, pick: &ReplicaPick, request: &DoorRequest) -> RunKey {
        let id = request.caller.id.clone().unwrap_or_default();
        let started_unix_ms = pick.started_unix_ms;
        self.poison().active.begin(self.now_ms(), request.content(), id, pick.id.clone(), started_unix_ms)
    }

    /// records a run that the replica broke off; `true` unless the probe shows that a process listens at its
    /// address.
    pub fn record_broken_run(&self, run: RunKey, probe: Result<(), ConnectError>) -> bool {
        match probe {
            // It may be the next process of the replica.
            Ok(()) => self.suspect(run, false),
            Err(ConnectError::Refused) => {
                let ended = self.poison().active.remove(run);
                let runs = ended.map(|ended| self.poison().runs_of(self.now_ms(), &ended));
                for run in runs.unwrap_or_default() {
                    self.strike(&run, Evidence::Refused);
                }
            }
            Err(ConnectError::Inconclusive) => self.suspect(run, true),
        }
        probe.is_err()
    }

    /// suspects a run that ended without an answer of having ended its replica; `is_silent` if its address did
    /// not answer a probe since.
    pub fn suspect(&self, run: RunKey, is_silent: bool) {
        let now_ms = self.now_ms();
        let run = {
            let mut poison = self.poison();
            let Some(ended) = poison.active.remove(run) else {
                return;
            };
            poison.suspect_all(now_ms, &ended, is_silent);
            ended.to_replica_run()
        };
        if self.reach.is_cut_off() {
            self.explain_by_cut(true);
        }
        self.poison_sender.wake();
        metrics::counter!("door_runs_suspected_total").increment(1);
        info!(self.log, "run ended without an answer; its replica is suspected to have ended";
            "request" => &run.request, "content" => &run.content, "replica" => &run.replica,
            "is_silent" => is_silent);
    }

    /// notes the runs whose ends a cut from all replicas explains, and whether it lasts.
    pub fn explain_by_cut(&self, is_cut_off: bool) {
        let heard_ms = self.reach.reach().heard_ms();
        let explained = self.poison().set_cut_off(self.now_ms(), is_cut_off, heard_ms);
        for run in explained {
            metrics::counter!("door_runs_cleared_total", "evidence" => "cut_off").increment(1);
            info!(self.log, "cut from the replicas explains an unanswered run; it does not weigh for now";
                "request" => &run.request, "content" => &run.content, "replica" => &run.replica);
        }
    }

    /// handles an answer of a replica, over a connection that was opened at `connected`.
    pub fn replica_answered(&self, replica: &str, started_unix_ms: u64, connected: Instant) {
        let connected_ms = connected.saturating_duration_since(self.started).as_millis() as u64;
        let sign = LifeSign { replica, started_unix_ms, connected_ms };
        let cleared = self.poison().replica_answered(self.now_ms(), &sign);
        self.log_cleared(&cleared, "same_process");
    }

    /// handles a successful answer to a request.
    pub fn request_succeeded(&self, request: &DoorRequest) {
        let content = request.content();
        let acquitted =
            self.poison().content_succeeded(self.now_ms(), content.digests(), content.is_specific());
        if acquitted > 0 {
            metrics::counter!("door_strikes_cleared_total").increment(acquitted as u64);
            info!(self.log, "request succeeded; the strikes against its content no longer count";
                "request" => request.caller.id.as_deref(), "content" => &content.digests().exact,
                "strikes" => acquitted);
            self.poison_sender.wake();
        }
    }

    /// shows how many runs weigh against contents, and how many of them no ledger node has stored.
    pub fn record_unresolved(&self) {
        let (unresolved, unreported) = self.poison().unresolved_counts();
        metrics::gauge!("door_unresolved_runs").set(unresolved as f64);
        metrics::gauge!("door_unreported_runs").set(unreported as f64);
        let dropped = self.poison().pending.take_dropped();
        if dropped > 0 {
            metrics::counter!("door_poison_records_dropped_total").increment(dropped);
            warn!(self.log, "too many strikes and unanswered runs wait for ledger nodes; some are dropped";
                "dropped" => dropped, "unresolved" => unresolved);
        }
    }

    /// drops what is no longer held against a content.
    pub fn expire_poison(&self) {
        let is_list_current = self.has_fresh_mirror(REPLICA_PREFIX);
        let cleared = self.poison().expire(self.now_ms(), is_list_current);
        self.log_cleared(&cleared, "no_restart_listed");
        if self.poison().unresolved_counts().1 > 0 {
            self.poison_sender.wake();
        }
    }

    fn log_cleared(&self, runs: &[ReplicaRun], evidence: &'static str) {
        for run in runs {
            metrics::counter!("door_runs_cleared_total", "evidence" => evidence).increment(1);
            info!(self.log, "unanswered run is cleared";
                "request" => &run.request, "content" => &run.content, "replica" => &run.replica,
                "evidence" => evidence);
        }
    }

    /// handles the start time in a replica's entry; a later one than before shows a restart.
    pub fn replica_started(&self, replica: &str, started_unix_ms: u64) {
        let ended = self.poison().suspects.replica_started(replica, started_unix_ms);
        for (run, evidence) in ended {
            self.strike(&run, evidence);
        }
    }

    /// handles the end of a replica: its entry was removed, or its address belongs to another one.
    pub fn replica_gone(&self, replica: &str) {
        let ended = self.poison().suspects.replica_gone(replica);
        let reopened = self.poison().suspects.reopen(replica);
        for run in reopened {
            metrics::counter!("door_runs_reopened_total").increment(1);
            info!(self.log, "replica is gone soon after an unanswered run was cleared; the run weighs again";
                "request" => &run.request, "content" => &run.content, "replica" => replica);
        }
        self.poison().update_local(self.now_ms());
        self.poison_sender.wake();
        for (run, evidence) in ended {
            self.strike(&run, evidence);
        }
    }

    /// records a strike: a replica ended while it ran this content.
    fn strike(&self, run: &ReplicaRun, evidence: Evidence) {
        let evidence: &'static str = evidence.into();
        metrics::counter!("door_strikes_total", "evidence" => evidence).increment(1);
        let ReplicaRun { content, request, replica, .. } = run;
        info!(self.log, "replica ended while it ran a request; strike recorded";
            "request" => request, "content" => content,
            "replica" => replica, "evidence" => evidence);
        let strike = run.to_strike();
        self.poison().pending.add_strike(strike.clone());
        self.record_strike(&strike, &self.settings.instance.name);
        self.poison().update_local(self.now_ms());
        self.poison_sender.wake();
    }

    /// counts a strike that this door observed or a ledger node reported.
    pub fn record_strike(&self, strike: &PoisonStrike, source: &str) {
        let was_held = self.poison().strikes.is_held(&strike.content);
        let victims = self.poison().add_strike(self.now_ms(), strike);
        let is_held = self.poison().strikes.is_held(&strike.content);
        match (was_held, is_held) {
            (false, true) => info!(self.log, "content reached the strike limit; it is refused from now on";
                "content" => &strike.content, "victims" => victims, "source" => source),
            (true, false) => {
                info!(self.log, "content is no longer refused: it has been answered, or another one \
                explains the ends of its replicas"; "content" => &strike.content, "source" => source)
            }
            (false, false) | (true, true) => {}
        }
    }

    /// whether a request may have ended a replica already.
    pub fn is_suspect(&self, request: &DoorRequest) -> bool {
        let poison = self.poison();
        !poison.is_empty() && poison.is_suspect(self.now_ms(), request.content().digests())
    }

    /// whether a request must not be sent to another replica because its content has ended too many, or may
    /// have.
    pub fn hold(&self, request: &DoorRequest, route: &Route) -> Option<Hold> {
        if self.poison().is_empty() {
            return None;
        }
        let content = request.content();
        let (hold, content) = self.poison().hold_any(self.now_ms(), content.digests())?;
        if hold == Hold::Suspected {
            self.poison().adopt_runs(self.now_ms(), content);
        }
        let why: &'static str = hold.into();
        metrics::counter!("door_requests_held_total", "why" => why).increment(1);
        let victims = self.poison().strikes.victim_count(content);
        info!(self.log, "content is held; request not sent to a replica"; "why" => why,
            "request" => request.caller.id.as_deref(), "content" => content, "victims" => victims,
            "route" => &route.name);
        Some(hold)
    }
}
