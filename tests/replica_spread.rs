//! choice of a replica by many doors at once. Pattern of load: a fleet of doors near the capacity of its engines,
//! each of which sees its own requests at once and those of others only by reports that are as old as a turn is long.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use flamingostand::routing::Affinity;
use flamingostand::routing::PickCriteria;
use flamingostand::routing::ReplicaEntry;
use flamingostand::routing::ReplicaId;
use flamingostand::routing::ReplicaTable;
use flamingostand::schema::ReplicaUse;
use test_case::test_case;

/// time that a turn takes once it runs.
const TURN_MS: u64 = 220;
/// time between two reports of a door; what it is told is one report old.
const REPORT_MS: u64 = 250;
const SLOTS: u32 = 6;
/// requests that wait in a replica before it refuses more.
const QUEUE: usize = 18;
const ZONES: usize = 3;

/// numbers without a pattern, the same in each run.
struct Draws(u64);

impl Draws {
    fn below(&mut self, count: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % count
    }
}

/// what doors choose by.
#[derive(Clone, Copy, PartialEq)]
enum By {
    /// the replica that ran the program's turn before, which the ledger names.
    Home,
    /// a key of the request.
    Key,
    /// nothing.
    Nothing,
}

/// a turn that a door has sent to a replica.
struct Turn {
    program: String,
    replica: String,
    door: usize,
    key: ReplicaId,
    sent_ms: u64,
}

#[derive(Default)]
struct Engine {
    /// turns that run, by their end.
    running: Vec<(u64, Turn)>,
    waiting: VecDeque<Turn>,
}

struct Door {
    table: ReplicaTable,
    /// what it reported last.
    reported: Vec<ReplicaUse>,
}

/// doors and engines in virtual time.
struct World {
    doors: Vec<Door>,
    engines: Vec<Engine>,
    draws: Draws,
    by: By,
    /// replica of the last turn of each program that has ended.
    homes: HashMap<String, String>,
    shed_count: usize,
    served_count: usize,
    /// turns that waited longer than they ran.
    slow_count: usize,
}

impl World {
    fn new(doors: usize, engines: usize, by: By) -> Self {
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
            draws: Draws(7),
            by,
            homes: HashMap::new(),
            shed_count: 0,
            served_count: 0,
            slow_count: 0,
        }
    }

    /// plays `length_ms` at a share of what the engines bear.
    fn play(&mut self, length_ms: u64, load: f64) {
        let per_ms = load * (self.engines.len() as f64) * f64::from(SLOTS) / TURN_MS as f64;
        let mut due = 0.0;
        for now_ms in 0..length_ms {
            self.end_turns(now_ms);
            if now_ms % REPORT_MS == 0 {
                self.report();
            }
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
                self.begin_turn(now_ms);
            }
        }
    }

    fn begin_turn(&mut self, now_ms: u64) {
        let number = self.draws.below(self.doors.len());
        let program = format!("p{}", self.draws.below(400));
        let zone = format!("zone-{}", number % ZONES);
        let affinity = match self.by {
            By::Home => Affinity::Program { home: self.homes.get(&program).map(String::as_str) },
            By::Key => Affinity::Key(&program),
            By::Nothing => Affinity::None,
        };
        let wanted = PickCriteria { service: "models", zone: &zone, affinity };
        let pick = self.doors[number].table.pick(now_ms, &wanted, &[]).expect("all replicas are up");
        let engine = &mut self.engines[usize::from(pick.address.port())];
        let turn = Turn { program, replica: pick.id, door: number, key: pick.key, sent_ms: now_ms };
        if engine.running.len() < SLOTS as usize {
            engine.running.push((now_ms + TURN_MS, turn));
        } else if engine.waiting.len() < QUEUE {
            engine.waiting.push_back(turn);
        } else {
            self.shed_count += 1;
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

    /// each door is told what the others reported a period before, and reports.
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
        slots: SLOTS,
        leaving: false,
        started_unix_ms: 1,
    }
}

#[test_case(52, 36, By::Home; "turns by many doors")]
#[test_case(9, 8, By::Home; "turns by few doors")]
#[test_case(52, 36, By::Key; "keyed by many doors")]
#[test_case(9, 8, By::Key; "keyed by few doors")]
#[test_case(52, 36, By::Nothing; "calls by many doors")]
#[test_case(9, 8, By::Nothing; "calls by few doors")]
fn nothing_is_refused_below_capacity(doors: usize, engines: usize, by: By) {
    let mut world = World::new(doors, engines, by);
    world.play(20_000, 0.85);
    assert_eq!(world.shed_count, 0, "of {}", world.served_count);
}

#[test_case(52, 36, By::Home; "turns by many doors")]
#[test_case(9, 8, By::Home; "turns by few doors")]
#[test_case(52, 36, By::Key; "keyed by many doors")]
#[test_case(9, 8, By::Key; "keyed by few doors")]
#[test_case(52, 36, By::Nothing; "calls by many doors")]
#[test_case(9, 8, By::Nothing; "calls by few doors")]
fn few_wait_longer_than_they_run(doors: usize, engines: usize, by: By) {
    let mut world = World::new(doors, engines, by);
    world.play(20_000, 0.75);
    // A program may take half as long again as on idle replicas: a twentieth of its turns may wait that long.
    assert!(world.slow_count * 20 < world.served_count, "{} of {}", world.slow_count, world.served_count);
}
