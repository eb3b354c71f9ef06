use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flamingostand::ledger::CoreAction;
use flamingostand::ledger::CoreInput;
use flamingostand::ledger::empty_view;
use flamingostand::mesh::ConnectionId;
use flamingostand::platform::RetirementPhase;
use flamingostand::schema::LedgerAnswer;
use flamingostand::schema::LedgerAsk;
use flamingostand::schema::LedgerPush;
use flamingostand::schema::LedgerReply;
use flamingostand::schema::LedgerRequest;
use flamingostand::schema::LedgerView;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::door::PATIENCE_MS;
use super::door::STAGE_LIMIT_MS;
use super::door::Stage;
use super::door::Turn;
use super::machine::Machine;
use super::reference::Reference;
use super::strikes::StrikeDoor;
use super::strikes::Telling;

const TICK_MS: u64 = 250;
const DOORS: usize = 3;
const PROGRAMS: u64 = 4;
/// tokens of one turn.
const TURN_TOKENS: u64 = 10;
/// time of the last phase, in which nothing fails any more.
const QUIET_MS: u64 = 30_000;

/// something that happens at a time.
pub enum Event {
    Boot(String),
    Tick(String, u64),
    Synced(String, u64, u64),
    Input(String, u64, CoreInput),
    Answer(u64, LedgerAnswer),
    View(String, u64, Option<LedgerView>),
    Heal((String, String)),
    StoreBack,
    Fault,
    NewTurn,
    TurnLate(usize, u64),
    Strike,
    TellStrikes(usize),
    StrikesLate(Telling),
}

/// who asked a question, by its connection.
#[derive(Clone)]
pub enum Asker {
    Node { name: String, start: u64 },
    Turn { index: usize, member: String, turn: Option<String>, about_program: bool, round: u64 },
    Strikes(Telling),
}

pub struct World {
    pub rng: StdRng,
    pub now_ms: u64,
    pub machines: BTreeMap<String, Machine>,
    pub view: LedgerView,
    pub store_up: bool,
    pub cuts: BTreeSet<(String, String)>,
    pub retiring: BTreeSet<String>,
    pub door_views: Vec<LedgerView>,
    pub disk_count: u64,
    pub reference: Reference,
    pub strike_doors: Vec<StrikeDoor>,
    /// tellings of strikes that were not answered yet.
    pub waiting_strikes: BTreeSet<(usize, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    askers: BTreeMap<u64, Asker>,
    asker_count: u64,
    turns: Vec<(usize, Turn, u64)>,
    lost_disks: u32,
    budget_tokens: u64,
    is_traced: bool,
    /// whether messages are no longer delayed.
    is_calm: bool,
}

impl World {
    pub fn new(seed: u64, lost_disks: u32) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let budget_tokens = TURN_TOKENS * rng.random_range(2..40);
        let mut world = Self {
            rng,
            now_ms: 0,
            machines: BTreeMap::new(),
            view: empty_view(lost_disks),
            store_up: true,
            cuts: BTreeSet::new(),
            retiring: BTreeSet::new(),
            door_views: vec![empty_view(lost_disks); DOORS],
            disk_count: 0,
            reference: Reference::default(),
            strike_doors: (0..DOORS).map(|_| StrikeDoor::default()).collect(),
            waiting_strikes: BTreeSet::new(),
            events: BTreeMap::new(),
            event_count: 0,
            askers: BTreeMap::new(),
            asker_count: 0,
            turns: Vec::new(),
            lost_disks,
            budget_tokens,
            is_traced: std::env::var_os("LEDGER_TRACE").is_some(),
            is_calm: false,
        };
        for _ in 0..2 * lost_disks + 1 {
            world.add_machine();
        }
        world
    }

    /// runs with faults, then without, and looks whether all that was confirmed is still there.
    pub fn run(&mut self, faults: usize, turns: usize) {
        let span_ms = 20_000;
        for _ in 0..faults {
            let at_ms = self.rng.random_range(3_000..span_ms);
            self.schedule(at_ms, Event::Fault);
        }
        for _ in 0..turns {
            let at_ms = self.rng.random_range(2_000..span_ms);
            self.schedule(at_ms, Event::NewTurn);
        }
        self.run_until(span_ms + 5_000);
        self.cuts.clear();
        self.is_calm = true;
        self.run_until(self.now_ms + QUIET_MS);
        self.check_kept();
    }

    /// continues from each turn that was confirmed.
    fn check_kept(&mut self) {
        let kept: Vec<String> = self.reference.kept.keys().cloned().collect();
        for (number, previous) in kept.iter().enumerate() {
            // A program of its own has budget left.
            let program = PROGRAMS + number as u64;
            let request = format!("after-{previous}");
            self.begin(
                0,
                Turn::new(program, request, Some(previous.clone()), self.budget_tokens, TURN_TOKENS),
            );
            let index = self.turns.len() - 1;
            self.run_until(self.now_ms + 1_000);
            let stage = self.turns[index].1.stage;
            assert_eq!(stage, Stage::Done, "turn {previous} cannot be continued: {}", self.describe());
            assert!(self.reference.kept.contains_key(&format!("after-{previous}")), "{previous} was refused");
        }
    }

    /// the nodes and the view, for a failed check.
    pub fn describe(&self) -> String {
        let mut text = format!("store {:?}\n", self.view);
        for machine in self.machines.values() {
            let state = machine
                .core
                .as_ref()
                .map(|core| (core.node().is_member(), core.node().is_complete(), core.node().view().epoch));
            text += &format!("{}: removed {}, state {state:?}\n", machine.name, machine.is_removed);
        }
        text + &format!("doors {:?}", self.door_views.iter().map(|view| view.epoch).collect::<Vec<_>>())
    }

    pub fn schedule(&mut self, in_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now_ms + in_ms, self.event_count), event);
    }

    fn run_until(&mut self, until_ms: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at_ms, _), event) = entry.remove_entry();
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    /// prints what happens, to follow a seed that failed.
    pub fn note(&self, what: &str) {
        if self.is_traced {
            eprintln!("{:>6} {what}", self.now_ms);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Boot(name) => {
                self.note(&format!("boot {name}"));
                self.boot(&name);
            }
            Event::Tick(name, start) => {
                if self.input(&name, start, CoreInput::Tick) {
                    self.schedule(TICK_MS, Event::Tick(name, start));
                }
            }
            Event::Synced(name, start, number) => {
                let machine = self.machines.get_mut(&name).expect("a machine");
                if machine.start == start {
                    let synced = machine.unsynced.partition_point(|(unsynced, _)| *unsynced <= number);
                    machine.synced.extend(machine.unsynced.drain(..synced).map(|(_, record)| record));
                    self.input(&name, start, CoreInput::Synced(number));
                }
            }
            Event::Input(name, start, input) => {
                self.input(&name, start, input);
            }
            Event::Answer(connection, answer) => self.on_answer(connection, answer),
            Event::View(name, start, view) => {
                self.input(&name, start, CoreInput::View(view));
            }
            Event::Heal(cut) => {
                self.cuts.remove(&cut);
            }
            Event::StoreBack => self.store_up = true,
            Event::Fault => self.draw_fault(),
            Event::NewTurn => self.new_turn(),
            Event::TurnLate(index, round) => self.turn_late(index, round),
            Event::Strike => self.new_strike(),
            Event::TellStrikes(door) => self.tell_strikes(door),
            Event::StrikesLate(telling) => self.strikes_late(&telling),
        }
    }

    pub fn add_machine(&mut self) {
        self.disk_count += 1;
        let name = format!("node-{}", self.disk_count);
        self.machines.insert(name.clone(), Machine::new(&name, self.disk_count));
        let in_ms = self.rng.random_range(0..300);
        self.schedule(in_ms, Event::Boot(name));
    }

    fn boot(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        if machine.is_removed || machine.core.is_some() {
            return;
        }
        machine.boot(self.now_ms, self.lost_disks);
        let start = machine.start;
        self.schedule(0, Event::Tick(name.to_owned(), start));
        let retiring = self.retiring.clone();
        self.input(name, start, CoreInput::Retiring(retiring));
    }

    pub fn tell_retiring(&mut self) {
        let names: Vec<(String, u64)> =
            self.machines.values().map(|machine| (machine.name.clone(), machine.start)).collect();
        for (name, start) in names {
            self.input(&name, start, CoreInput::Retiring(self.retiring.clone()));
        }
    }

    fn input(&mut self, name: &str, start: u64, input: CoreInput) -> bool {
        let machine = self.machines.get_mut(name).expect("a machine");
        let Some(core) = machine.core.as_mut().filter(|_| machine.start == start) else {
            return false;
        };
        let actions = core.handle(self.now_ms, input);
        for action in actions {
            self.perform(name, start, action);
        }
        true
    }

    fn perform(&mut self, name: &str, start: u64, action: CoreAction) {
        match action {
            CoreAction::Append { number, record } => {
                self.machines.get_mut(name).expect("a machine").unsynced.push((number, record));
                let in_ms = self.rng.random_range(1..20);
                self.schedule(in_ms, Event::Synced(name.to_owned(), start, number));
            }
            CoreAction::Answer { to, answer } => {
                let in_ms = self.delay_ms();
                self.schedule(in_ms, Event::Answer(to.0, answer));
            }
            CoreAction::Ask { member, ask } => {
                let asker = Asker::Node { name: name.to_owned(), start };
                self.send(name, &member.name, asker, ask);
            }
            CoreAction::ReadView => {
                let view = self.store_up.then(|| self.view.clone());
                let in_ms = self.delay_ms();
                self.schedule(in_ms, Event::View(name.to_owned(), start, view));
            }
            CoreAction::ProposeView { change, view } => {
                let is_next = self.store_up && self.view.epoch + 1 == view.epoch;
                if is_next {
                    let members: Vec<String> = view
                        .members
                        .iter()
                        .map(|member| format!("{}/{}", member.name, member.disk))
                        .collect();
                    self.note(&format!("{name} writes view {} {change} {members:?}", view.epoch));
                    self.view = view;
                }
                // The reply may be lost although the write took effect.
                let is_heard = self.store_up && self.rng.random_range(0..10) > 0;
                let seen = is_heard.then(|| self.view.clone());
                let in_ms = self.delay_ms();
                self.schedule(in_ms, Event::View(name.to_owned(), start, seen));
            }
            CoreAction::ReportRetirement(phase) => {
                let reported = self.store_up.then_some(phase);
                if reported == Some(RetirementPhase::Completed) {
                    self.note(&format!("{name} is emptied and removed"));
                    let machine = self.machines.get_mut(name).expect("a machine");
                    machine.stop(0);
                    machine.is_removed = true;
                    machine.synced.clear();
                    self.retiring.remove(name);
                    self.tell_retiring();
                    return;
                }
                let in_ms = self.delay_ms();
                let input = CoreInput::RetirementReported { phase: reported };
                self.schedule(in_ms, Event::Input(name.to_owned(), start, input));
            }
            CoreAction::CaughtUp => self.note(&format!("{name} is complete")),
            CoreAction::StrikeAdded { .. } => {}
            CoreAction::CompactLog(_) | CoreAction::ViewChanged(_) => {}
        }
    }

    fn delay_ms(&mut self) -> u64 {
        if !self.is_calm && self.rng.random_range(0..20) == 0 {
            return self.rng.random_range(10..400);
        }
        self.rng.random_range(1..6)
    }

    fn is_cut(&self, left: &str, right: &str) -> bool {
        let cut = |left: &str, right: &str| self.cuts.contains(&(left.to_owned(), right.to_owned()));
        cut(left, right) || cut(right, left)
    }

    pub fn send(&mut self, from: &str, to: &str, asker: Asker, ask: LedgerAsk) {
        let in_ms = self.delay_ms();
        let Some(machine) = self.machines.get(to) else {
            return;
        };
        if self.is_cut(from, to) || machine.core.is_none() {
            return;
        }
        let start = machine.start;
        self.asker_count += 1;
        let connection = self.asker_count;
        self.askers.insert(connection, asker);
        let input = CoreInput::Ask(ConnectionId(connection), Box::new(ask));
        self.schedule(in_ms, Event::Input(to.to_owned(), start, input));
    }

    fn on_answer(&mut self, connection: u64, answer: LedgerAnswer) {
        match self.askers.get(&connection).cloned() {
            None => {}
            Some(Asker::Node { name, start }) => {
                if let LedgerReply::Records(page) = &answer.reply
                    && page.last < u64::MAX / 2
                {
                    let what =
                        format!("{name} copies {} records, complete {}", page.records.len(), page.complete);
                    self.note(&what);
                }
                self.input(&name, start, CoreInput::Answer(Box::new(answer)));
            }
            Some(Asker::Strikes(telling)) => self.strikes_heard(&telling, answer.reply),
            // What was meant for an earlier round is dropped.
            Some(Asker::Turn { round, index, .. }) if self.turns[index].2 != round => {}
            Some(Asker::Turn { index, member, turn, about_program, .. }) => {
                self.turn_heard(index, &member, turn.as_deref(), about_program, answer.reply);
            }
        }
    }

    fn new_turn(&mut self) {
        let program = self.rng.random_range(0..PROGRAMS);
        let request = format!("t{}", self.turns.len());
        let kept: Vec<String> =
            self.reference.kept.keys().filter(|name| !name.starts_with("after")).cloned().collect();
        let goes_on = !kept.is_empty() && self.rng.random_range(0..4) > 0;
        let previous = goes_on.then(|| kept[self.rng.random_range(0..kept.len())].clone());
        let door = self.rng.random_range(0..DOORS);
        self.begin(door, Turn::new(program, request, previous, self.budget_tokens, TURN_TOKENS));
    }

    fn begin(&mut self, door: usize, mut turn: Turn) {
        turn.away_shift = self.rng.random_range(0..5);
        self.turns.push((door, turn, 0));
        // A door that knows no view reads it from the platform.
        if self.door_views[door].members.is_empty() && self.store_up {
            self.door_views[door] = self.view.clone();
        }
        self.restart_turn(self.turns.len() - 1);
    }

    fn restart_turn(&mut self, index: usize) {
        let (door, turn, round) = &mut self.turns[index];
        let view = self.door_views[*door].clone();
        *round += 1;
        turn.stage_ends_ms = self.now_ms + STAGE_LIMIT_MS;
        let question = turn.restart(&view);
        let round = *round;
        let may_go_away = matches!(turn.stage, Stage::Begin | Stage::Store) && !turn.is_wide;
        let asked = turn.asked();
        for member in asked {
            self.ask_one(index, &member.name, question.clone());
        }
        let limit_ms = if may_go_away { PATIENCE_MS } else { STAGE_LIMIT_MS };
        self.schedule(limit_ms, Event::TurnLate(index, round));
    }

    fn ask_all(&mut self, index: usize, request: &LedgerRequest) {
        let members = self.turns[index].1.view.members.clone();
        for member in members {
            self.ask_one(index, &member.name, request.clone());
        }
    }

    fn ask_one(&mut self, index: usize, member: &str, request: LedgerRequest) {
        let (door, turn, round) = &self.turns[index];
        let named = match &request {
            LedgerRequest::Begin(begin) => begin.previous.clone(),
            LedgerRequest::History(history) => Some(history.turn.clone()),
            _ => None,
        };
        let from = format!("door-{door}");
        let epoch = turn.view.epoch;
        let about_program = !matches!(request, LedgerRequest::History(_));
        let asker =
            Asker::Turn { index, member: member.to_owned(), turn: named, about_program, round: *round };
        self.send(&from, member, asker, LedgerAsk { id: 1, epoch, request });
    }

    fn turn_heard(
        &mut self,
        index: usize,
        member: &str,
        named: Option<&str>,
        about_program: bool,
        reply: LedgerReply,
    ) {
        let (door, turn, _) = &mut self.turns[index];
        match reply {
            LedgerReply::Account(account) => {
                if about_program {
                    turn.gather.add_account(member, named, account);
                } else {
                    turn.gather.add_history(member, named, account);
                }
            }
            LedgerReply::Stored(stored) => {
                turn.gather.add_stored(member, stored);
                let what = format!(
                    "{} {:?} stored at {member}, epoch {}",
                    turn.request, turn.stage, turn.view.epoch
                );
                self.note(&what);
            }
            LedgerReply::Stale(stale) if stale.view.epoch > turn.view.epoch => {
                if stale.view.epoch > self.door_views[*door].epoch {
                    self.door_views[*door] = stale.view;
                }
                self.restart_turn(index);
                return;
            }
            LedgerReply::Stale(stale) if stale.view.epoch < turn.view.epoch => {
                let push = LedgerPush { view: turn.view.clone(), records: Vec::new() };
                let question = turn.question();
                self.ask_one(index, member, LedgerRequest::Push(push));
                self.ask_one(index, member, question);
                return;
            }
            LedgerReply::Stale(_) | LedgerReply::Records(_) | LedgerReply::News(_) => {}
        }
        let (_, turn, _) = &mut self.turns[index];
        let before = turn.stage;
        let question = turn.advance(&mut self.reference);
        let after = turn.stage;
        let what = format!(
            "p{} {} {before:?} -> {after:?} away {} after {member}, held {}",
            turn.program,
            turn.request,
            turn.is_away,
            turn.gather.held_tokens()
        );
        if before != after {
            self.note(&what);
        }
        if after != before && after != Stage::Done && after != Stage::Store {
            self.restart_turn(index);
        } else if let Some(question) = question {
            self.ask_all(index, &question);
        }
    }

    /// a turn that waits for too long asks again at its end, and gives up before.
    fn turn_late(&mut self, index: usize, round: u64) {
        let (_, turn, current) = &mut self.turns[index];
        if *current != round || turn.stage == Stage::Done {
            return;
        }
        let may_go_away = matches!(turn.stage, Stage::Begin | Stage::Store) && !turn.is_wide;
        if turn.stage == Stage::Finish || may_go_away {
            // First others than the first members, then all.
            turn.is_wide |= may_go_away && turn.is_away;
            turn.is_away |= may_go_away;
            self.restart_turn(index);
            return;
        }
        turn.stage = Stage::Done;
        self.reference.unsure_count += 1;
    }
}
