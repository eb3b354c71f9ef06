//! replica choice by many doors at once, in a simulation without a network: the engines run near capacity,
//! and each door knows its own requests immediately but those of others only by reports as old as a turn is
//! long.
//!
//! Guards against doors that send to the same few replicas, which then reject requests although others are
//! idle.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use std::time::Duration;

use flamingostand::routing::Affinity;
use flamingostand::routing::PickCriteria;
use flamingostand::routing::ReplicaEntry;
use flamingostand::routing::ReplicaId;
use flamingostand::routing::ReplicaTable;
use flamingostand::schema::ReplicaUse;
use test_case::test_case;

/// time that a turn takes once it is running.
const TURN_MS: u64 = 220;
/// interval between reports of a door; the loads that it is sent are one report old.
const REPORT_MS: u64 = 250;
const SLOTS: u32 = 6;
/// requests that a replica queues before it rejects more.
const QUEUE_LENGTH: usize = 18;
const ZONES: usize = 3;

/// pseudorandom numbers, the same in each run.
struct Random(u64);

impl Random {
    fn below(&mut self, count: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % count
    }
}

/// affinity of the requests.
#[derive(Clone, Copy, PartialEq)]
enum AffinityKind {
    /// the replica that ran the program's previous turn, as the ledger reports it.
    Home,
    /// an affinity key.
    Key,
    /// none.
    Nothing,
}

/// a turn in flight at a replica.
struct Turn {
    program: String,
    replica: String,
    door: usize,
    key: ReplicaId,
    sent_ms: u64,
}

#[derive(Default)]
struct Engine {
    /// running turns with the time of their end.
    running: Vec<(u64, Turn)>,
    waiting: VecDeque<Turn>,
}

struct Door {
    table: ReplicaTable,
    /// its last report.
    reported: Vec<ReplicaUse>,
}

/// doors and engines in simulated time.
struct Simulation {
    doors: Vec<Door>,
    engines: Vec<Engine>,
    random: Random,
    affinity_kind: AffinityKind,
    /// replica of each program's last finished turn.
    homes: HashMap<String, String>,
    rejected_count: usize,
    served_count: usize,
    /// turns that were queued for longer than they ran.
    slow_count: usize,
}

impl Simulation {
    fn new(doors: usize, engines: usize, affinity_kind: AffinityKind) -> Self {
        let door = |door| {
            let mut table = ReplicaTable::new(door as u64);
            for number in 0..engines {
                table.upsert(entry(number));
            }
            Door { table, reported: Vec::new() }
        };
        Self {
            doors: (0..doors).map(door).collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            random: Random(7),
            affinity_kind,
            homes: HashMap::new(),
            rejected_count: 0,
            served_count: 0,
            slow_count: 0,
        }
    }

    /// runs for `length_ms` at `load`, a share of the engines' capacity.
    fn run(&mut self, length_ms: u64, load: f64) {
        let per_ms = load * (self.engines.len() as f64) * f64::from(SLOTS) / TURN_MS as f64;
        let mut arrivals = 0.0;
        for now_ms in 0..length_ms {
            self.end_turns(now_ms);
            if now_ms % REPORT_MS == 0 {
                self.report();
            }
            arrivals += per_ms;
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.begin_turn(now_ms);
            }
        }
    }

    fn begin_turn(&mut self, now_ms: u64) {
        let number = self.random.below(self.doors.len());
        let program = format!("p{}", self.random.below(400));
        let zone = format!("zone-{}", number % ZONES);
        let affinity = match self.affinity_kind {
            AffinityKind::Home => Affinity::Program { home: self.homes.get(&program).map(String::as_str) },
            AffinityKind::Key => Affinity::Key(&program),
            AffinityKind::Nothing => Affinity::None,
        };
        let criteria = PickCriteria {
            service: "models",
            version: None,
            zone: &zone,
            affinity,
            max_wait: Duration::ZERO,
            has_waited: false,
        };
        let pick = self.doors[number].table.pick(now_ms, &criteria, &[]).expect("all replicas are up");
        let engine = &mut self.engines[usize::from(pick.address.port())];
        let turn = Turn { program, replica: pick.id, door: number, key: pick.key, sent_ms: now_ms };
        if engine.running.len() < SLOTS as usize {
            engine.running.push((now_ms + TURN_MS, turn));
        } else if engine.waiting.len() < QUEUE_LENGTH {
            engine.waiting.push_back(turn);
        } else {
            self.rejected_count += 1;
            self.doors[number].table.release(pick.key);
        }
    }

    fn end_turns(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            let (ended, running) = engine.running.drain(..).partition(|(end_ms, _)| *end_ms <= now_ms);
            engine.running = running;
            for (end_ms, turn) in Vec::<(u64, Turn)>::from_iter(ended) {
                self.served_count += 1;
                self.slow_count += usize::from(end_ms - turn.sent_ms > 2 * TURN_MS);
                self.doors[turn.door].table.release(turn.key);
                self.homes.insert(turn.program, turn.replica);
            }
            while engine.running.len() < SLOTS as usize {
                let Some(turn) = engine.waiting.pop_front() else {
                    break;
                };
                engine.running.push((now_ms + TURN_MS, turn));
            }
        }
    }

    /// sends each door the loads that the others reported an interval ago, then takes its report.
    fn report(&mut self) {
        for number in 0..self.doors.len() {
            let mut others: BTreeMap<String, u32> = BTreeMap::new();
            for (other, door) in self.doors.iter().enumerate() {
                for load in door.reported.iter().filter(|_| other != number) {
                    *others.entry(load.replica.clone()).or_default() += load.running;
                }
            }
            let loads: Vec<ReplicaUse> =
                others.into_iter().map(|(replica, running)| ReplicaUse { replica, running }).collect();
            self.doors[number].table.set_remote_loads(&loads);
        }
        for door in &mut self.doors {
            door.reported = door.table.local_loads();
        }
    }
}

fn entry(number: usize) -> ReplicaEntry {
    ReplicaEntry {
        id: format!("r{number}"),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], number as u16).into(),
        zone: format!("zone-{}", number % ZONES),
        version: "v1".to_owned(),
        slots: SLOTS,
        leaving: false,
        started_unix_ms: 1,
    }
}

#[test_case(52, 36, AffinityKind::Home; "turns by many doors")]
#[test_case(9, 8, AffinityKind::Home; "turns by few doors")]
#[test_case(52, 36, AffinityKind::Key; "keyed by many doors")]
#[test_case(9, 8, AffinityKind::Key; "keyed by few doors")]
#[test_case(52, 36, AffinityKind::Nothing; "calls by many doors")]
#[test_case(9, 8, AffinityKind::Nothing; "calls by few doors")]
fn no_request_is_rejected_below_capacity(doors: usize, engines: usize, affinity_kind: AffinityKind) {
    let mut simulation = Simulation::new(doors, engines, affinity_kind);
    simulation.run(20_000, 0.85);
    assert_eq!(simulation.rejected_count, 0, "rejected, beside {} served", simulation.served_count);
}

#[test_case(52, 36, AffinityKind::Home; "turns by many doors")]
#[test_case(9, 8, AffinityKind::Home; "turns by few doors")]
#[test_case(52, 36, AffinityKind::Key; "keyed by many doors")]
#[test_case(9, 8, AffinityKind::Key; "keyed by few doors")]
#[test_case(52, 36, AffinityKind::Nothing; "calls by many doors")]
#[test_case(9, 8, AffinityKind::Nothing; "calls by few doors")]
fn few_turns_are_queued_longer_than_they_run(doors: usize, engines: usize, affinity_kind: AffinityKind) {
    let mut simulation = Simulation::new(doors, engines, affinity_kind);
    simulation.run(20_000, 0.75);
    // A program may take 1.5 times as long as on idle replicas, so at most 5 % of the turns may be queued
    // that long.
    assert!(
        simulation.slow_count * 20 < simulation.served_count,
        "{} of {}",
        simulation.slow_count,
        simulation.served_count
    );
}
