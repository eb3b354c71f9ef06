use flamingostand::poison::Evidence;
use flamingostand::poison::PoisonState;
use flamingostand::poison::ReplicaRun;
use flamingostand::poison::RunKey;
use flamingostand::poison::UnansweredRun;
use flamingostand::schema::DoorReport;

/// a front door, with what it knows of the content.
#[derive(Debug)]
pub struct Door {
    pub poison: PoisonState,
    pub name: String,
    pub started: u64,
    pub waiting: Vec<Waiting>,
    pub report_at_ms: u64,
    pub busy_until_ms: u64,
    pub up_since_ms: u64,
    /// last sign of any replica.
    pub heard_ms: u64,
    /// end of a cut from all replicas.
    pub cut_until_ms: Option<u64>,
}

/// a run whose caller waits.
#[derive(Debug)]
pub struct Waiting {
    pub run: RunKey,
    pub until_ms: u64,
}

impl Door {
    pub fn new(name: String, report_at_ms: u64) -> Self {
        Self {
            poison: PoisonState::default(),
            name,
            started: 1,
            waiting: Vec::new(),
            report_at_ms,
            busy_until_ms: 0,
            up_since_ms: 0,
            heard_ms: report_at_ms,
            cut_until_ms: None,
        }
    }

    /// adds runs of other contents, whose replicas are gone for good.
    pub fn add_crowd(&mut self, now_ms: u64, count: usize) {
        for number in 0..count {
            let request = format!("{}-{}-{number}", self.name, self.started);
            let run = ReplicaRun {
                content: format!("{number:08}-{request}"),
                request,
                replica: "gone".to_owned(),
                started_unix_ms: 1,
            };
            let unanswered = UnansweredRun { run, begun_ms: now_ms, heard_ms: now_ms, is_silent: false };
            self.poison.suspect(now_ms, unanswered);
        }
    }

    pub fn suspect(&mut self, now_ms: u64, run: RunKey) {
        let Some(ended) = self.poison.active.remove(run) else {
            return;
        };
        let (begun_ms, heard_ms) = (ended.begun_ms, ended.heard_ms);
        let unanswered = UnansweredRun { run: ended.to_replica_run(), begun_ms, heard_ms, is_silent: false };
        self.poison.suspect(now_ms, unanswered);
    }

    pub fn replica_gone(&mut self, now_ms: u64, id: &str) {
        let ended = self.poison.suspects.replica_gone(id);
        self.poison.suspects.reopen(id);
        self.poison.update_local(now_ms);
        self.strike_all(now_ms, &ended);
    }

    pub fn strike_all(&mut self, now_ms: u64, ended: &[(ReplicaRun, Evidence)]) {
        for (run, _) in ended {
            self.strike(now_ms, run);
        }
    }

    pub fn strike(&mut self, now_ms: u64, run: &ReplicaRun) {
        let strike = run.to_strike();
        self.poison.pending.add_strike(strike.clone());
        self.poison.strikes.add(now_ms, &strike);
        self.poison.update_local(now_ms);
    }

    pub fn report(&self, now_ms: u64) -> DoorReport {
        DoorReport {
            callers: self.name.clone(),
            doors_mark: None,
            helper: None,
            leaving: Vec::new(),
            loads: Vec::new(),
            marks: Vec::new(),
            name: self.name.clone(),
            ready: true,
            started: self.started.to_string(),
            strikes_mark: None,
            limits: Vec::new(),
            unresolved: self.poison.in_flight_runs(now_ms),
            wants_fleet: true,
            zone: String::new(),
        }
    }
}
