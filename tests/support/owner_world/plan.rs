use std::collections::BTreeMap;
use std::sync::Arc;

use flamingostand::config::Configuration;
use flamingostand::schema::AgentProgramEntry;
use flamingostand::schema::ServiceEntry;
use flamingostand::schema::StateSettings;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::caller::WORKSPACE;

/// kinds and rates of injected faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// share of platform calls whose reply is lost; seven in ten of them take effect, some of these late.
    pub lost_reply: f64,
    /// share of platform calls that are rate limited.
    pub refused: f64,
    /// share of jobs that fail.
    pub job: f64,
    /// share of service calls that fail.
    pub service: f64,
    /// share of requests that are sent twice.
    pub duplicate: f64,
    /// number of process kills during the run; the fields below count the other kinds.
    pub kills: u32,
    pub pauses: u32,
    pub outages: u32,
    pub suspicions: u32,
    pub leaves: u32,
    /// longest platform outage.
    pub outage_ms: u64,
    /// virtual time during which faults are injected.
    pub active_ms: u64,
}

impl Faults {
    /// multiplies the number of kills, pauses, outages, suspicions and leaves, and the time for them.
    pub fn multiply(&mut self, times: u32) {
        self.kills *= times;
        self.pauses *= times;
        self.outages *= times;
        self.suspicions *= times;
        self.leaves *= times;
        self.active_ms *= u64::from(times);
    }
}

/// parameters of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub instances: usize,
    pub programs: usize,
    pub turns: usize,
    pub budget_tokens: u64,
    pub faults: Faults,
    /// settings of journals and snapshots.
    pub state: StateSettings,
}

/// result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub turns: u64,
    pub calls_run: u64,
    pub platform_calls: BTreeMap<&'static str, u64>,
    pub ended_ms: u64,
    pub deposed: u32,
    pub stopped: BTreeMap<String, u32>,
}

impl Plan {
    /// derives the size and the faults of a run from the seed.
    pub fn seeded(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let state = StateSettings {
            max_entry_bytes: [2048, 786_432][rng.random_range(0..2)],
            compact_entries: [20, 2000][rng.random_range(0..2)],
            sweep_ms: [400, 60_000][rng.random_range(0..2)],
            allowance_tokens: [0, 64, 4096][rng.random_range(0..3)],
            ..StateSettings::default()
        };
        Self {
            seed,
            instances: rng.random_range(2..=4),
            programs: rng.random_range(1..=4),
            turns: rng.random_range(2..=6),
            budget_tokens: [600, 3000, 1_000_000][rng.random_range(0..3)],
            faults: Faults {
                lost_reply: [0.0, 0.03, 0.15][rng.random_range(0..3)],
                refused: [0.0, 0.05][rng.random_range(0..2)],
                job: [0.0, 0.1, 0.4][rng.random_range(0..3)],
                service: [0.0, 0.2, 0.5][rng.random_range(0..3)],
                duplicate: [0.0, 0.2, 0.5][rng.random_range(0..3)],
                kills: rng.random_range(0..4),
                pauses: rng.random_range(0..4),
                outages: rng.random_range(0..2),
                suspicions: rng.random_range(0..3),
                leaves: rng.random_range(0..3),
                outage_ms: 8000,
                active_ms: 6000,
            },
            state,
        }
    }
}

/// configuration with one agent program, and services with and without look-up.
pub fn configuration(budget_tokens: u64) -> Configuration {
    let mut configuration = Configuration { version: 1, ..Configuration::default() };
    let entry = AgentProgramEntry {
        id: "reader".to_owned(),
        workspace: WORKSPACE.to_owned(),
        model: "m".to_owned(),
        budget_tokens,
        max_turns: 430,
        deadline_ms: 86_400_000,
        system_prompt: None,
    };
    configuration.agent_programs.insert((WORKSPACE.to_owned(), "reader".to_owned()), Arc::new(entry));
    for (id, finds_by_key) in [("mail", false), ("pay", true), ("alarm", false)] {
        let entry =
            ServiceEntry { id: id.to_owned(), checks_fencing: false, finds_by_key, timeout_ms: 30_000 };
        configuration.services.insert(id.to_owned(), Arc::new(entry));
    }
    configuration
}
