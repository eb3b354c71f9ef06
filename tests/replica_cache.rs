//! choice of a replica by what its cache holds. Pattern of load: a burst of two and a half times the usual rate of
//! programs, before engines that spend most of their time on reading prompts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use flamingostand::rendezvous;
use flamingostand::routing::Affinity;
use flamingostand::routing::PickCriteria;
use flamingostand::routing::ReplicaEntry;
use flamingostand::routing::ReplicaId;
use flamingostand::routing::ReplicaTable;
use flamingostand::schema::ReplicaUse;
use test_case::test_case;

/// time between two reports of a door; what it is told is one report old.
const REPORT_MS: u64 = 250;
/// prompt tokens that an engine reads in a millisecond.
const READ_PER_MS: u64 = 83;
/// time in which an engine generates an answer while it reads nothing.
const ANSWER_MS: u64 = 200;
/// tokens that each turn adds to the prompt of its program.
const TURN_TOKENS: u64 = 500;
const TURNS: u64 = 5;
/// time between two turns of a program.
const THINK_MS: u64 = 100;
/// wasted cache in relation to pure prefix affinity, as MEASURES states the target.
const MOST_WASTE_RATIO: f64 = 1.15;

/// how a world chooses replicas.
#[derive(Clone, Copy)]
enum Choice {
    /// the table of the doors.
    Table,
    /// the reference: each program always at the first replica by rendezvous.
    PureAffinity,
}

#[derive(Clone, Copy)]
struct Sizes {
    doors: usize,
    engines: usize,
    slots: u32,
    /// programs a second before and after the burst, for each engine.
    rate: f64,
}

const FEW_DOORS: Sizes = Sizes { doors: 7, engines: 8, slots: 16, rate: 3.0 };
const MANY_DOORS: Sizes = Sizes { doors: 83, engines: 20, slots: 8, rate: 2.5 };

/// numbers without a pattern, the same in each run.
struct Draws(u64);

impl Draws {
    fn below(&mut self, count: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as usize) % count
    }
}

struct Turn {
    program: usize,
    number: u64,
    door: usize,
    key: Option<ReplicaId>,
    unread_tokens: u64,
    answer_left_ms: u64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Turn>,
    waiting: VecDeque<Turn>,
    /// tokens kept of each program.
    kept: HashMap<usize, u64>,
}

impl Engine {
    /// plays a millisecond and returns the turns that ended in it.
    fn step(&mut self, slots: usize) -> Vec<Turn> {
        while self.running.len() < slots {
            let Some(turn) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(turn);
        }
        // Reading goes before generating, one prompt after another.
        if let Some(turn) = self.running.iter_mut().find(|turn| turn.unread_tokens > 0) {
            turn.unread_tokens = turn.unread_tokens.saturating_sub(READ_PER_MS);
            return Vec::new();
        }
        for turn in &mut self.running {
            turn.answer_left_ms -= 1;
        }
        let (ended, running) = self.running.drain(..).partition(|turn| turn.answer_left_ms == 0);
        self.running = running;
        ended
    }
}

struct World {
    sizes: Sizes,
    choice: Choice,
    tables: Vec<ReplicaTable>,
    reported: Vec<Vec<ReplicaUse>>,
    engines: Vec<Engine>,
    draws: Draws,
    /// turns that programs will send, by their time.
    due: BTreeMap<u64, Vec<(usize, u64)>>,
    /// replica of the last turn of each program, which the ledger names.
    homes: HashMap<usize, String>,
    program_count: usize,
    read_tokens: u64,
}

impl World {
    fn new(sizes: Sizes, choice: Choice, seed: u64) -> Self {
        let table = |door: usize| {
            let mut table = ReplicaTable::new(door as u64);
            for number in 0..sizes.engines {
                table.upsert(entry(number, sizes.slots));
            }
            table
        };
        Self {
            sizes,
            choice,
            tables: (0..sizes.doors).map(table).collect(),
            reported: vec![Vec::new(); sizes.doors],
            engines: (0..sizes.engines).map(|_| Engine::default()).collect(),
            draws: Draws(seed),
            due: BTreeMap::new(),
            homes: HashMap::new(),
            program_count: 0,
            read_tokens: 0,
        }
    }

    /// plays 20 s with a burst in the middle and returns the prompt tokens that engines read.
    fn play(mut self) -> u64 {
        let mut owed = 0.0;
        for now_ms in 0..20_000 {
            let burst = if (5_000..12_000).contains(&now_ms) { 2.5 } else { 1.0 };
            owed += burst * self.sizes.rate * self.sizes.engines as f64 / 1_000.0;
            while owed >= 1.0 {
                owed -= 1.0;
                self.due.entry(now_ms).or_default().push((self.program_count, 0));
                self.program_count += 1;
            }
            if now_ms % REPORT_MS == 0 {
                self.report();
            }
            for (program, number) in self.due.remove(&now_ms).unwrap_or_default() {
                self.send(now_ms, program, number);
            }
            for engine in 0..self.engines.len() {
                for turn in self.engines[engine].step(self.sizes.slots as usize) {
                    self.end(now_ms, turn);
                }
            }
        }
        self.read_tokens
    }

    fn send(&mut self, now_ms: u64, program: usize, number: u64) {
        let door = self.draws.below(self.sizes.doors);
        let (engine, key) = match self.choice {
            Choice::Table => {
                let affinity = Affinity::Program { home: self.homes.get(&program).map(String::as_str) };
                let wanted = PickCriteria { service: "models", zone: "a", affinity };
                let pick = self.tables[door].pick(now_ms, &wanted, &[]).expect("all replicas are up");
                self.homes.insert(program, pick.id);
                (usize::from(pick.address.port()), Some(pick.key))
            }
            Choice::PureAffinity => {
                let name = format!("p{program}");
                let names: Vec<String> = (0..self.sizes.engines).map(|number| format!("r{number}")).collect();
                let first = rendezvous::first(&name, names.iter(), |name| name).expect("there are engines");
                (first[1..].parse().expect("engines are numbered"), None)
            }
        };
        let prompt_tokens = TURN_TOKENS * (number + 1);
        let kept = self.engines[engine].kept.insert(program, prompt_tokens).unwrap_or(0);
        let unread_tokens = prompt_tokens.saturating_sub(kept);
        self.read_tokens += unread_tokens;
        let turn = Turn { program, number, door, key, unread_tokens, answer_left_ms: ANSWER_MS };
        self.engines[engine].waiting.push_back(turn);
    }

    fn end(&mut self, now_ms: u64, turn: Turn) {
        if let Some(key) = turn.key {
            self.tables[turn.door].release(key);
        }
        if turn.number + 1 < TURNS {
            self.due.entry(now_ms + THINK_MS).or_default().push((turn.program, turn.number + 1));
        }
    }

    /// each door is told what the others reported a period before, and reports.
    fn report(&mut self) {
        for (number, table) in self.tables.iter_mut().enumerate() {
            let mut others: BTreeMap<&str, u32> = BTreeMap::new();
            for (_, loads) in self.reported.iter().enumerate().filter(|(other, _)| *other != number) {
                for load in loads {
                    *others.entry(&load.replica).or_default() += load.running;
                }
            }
            let others = others.into_iter();
            let others: Vec<ReplicaUse> = others
                .map(|(replica, running)| ReplicaUse { replica: replica.to_owned(), running })
                .collect();
            table.set_remote_loads(&others);
        }
        self.reported = self.tables.iter().map(ReplicaTable::local_loads).collect();
    }
}

fn entry(number: usize, slots: u32) -> ReplicaEntry {
    ReplicaEntry {
        id: format!("r{number}"),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], number as u16).into(),
        zone: "a".to_owned(),
        slots,
        leaving: false,
        started_unix_ms: 1,
    }
}

#[test_case(FEW_DOORS; "few doors")]
#[test_case(MANY_DOORS; "many doors")]
fn burst_keeps_programs_at_their_replicas(sizes: Sizes) {
    for seed in 0..5 {
        let read = World::new(sizes, Choice::Table, seed).play();
        let reference = World::new(sizes, Choice::PureAffinity, seed).play();
        let ratio = read as f64 / reference as f64;
        assert!(ratio <= MOST_WASTE_RATIO, "seed {seed}: {read} tokens read, {reference} by affinity alone");
    }
}
