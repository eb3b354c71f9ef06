use std::collections::BTreeMap;
use std::collections::BTreeSet;

use flamingostand::door::TurnTokens;
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

use super::conversations::Conversation;
use super::door::PREFERRED_TIMEOUT_MS;
use super::door::STAGE_TIMEOUT_MS;
use super::door::Stage;
use super::door::Turn;
use super::machine::Machine;
use super::passed_turns::PassedTurn;
use super::reference::Reference;
use super::streams::CallerStream;
use super::streams::Replicas;
use super::strikes::StrikeBatch;
use super::strikes::StrikeDoor;

const TICK_MS: u64 = 250;
pub const DOORS: usize = 3;
const PROGRAMS: u64 = 4;
/// tokens of one turn.
pub const TURN_TOKENS: u64 = 10;
/// duration of the final phase without faults.
const RECOVERY_MS: u64 = 30_000;

/// a scheduled event; numbers beside names are process starts.
pub enum Event {
    Boot(String),
    Tick(String, u64),
    Synced(String, u64, u64),
    Input(String, u64, CoreInput),
    Answer(u64, LedgerAnswer),
    View(String, u64, Option<LedgerView>),
    Heal((String, String)),
    PlatformBack,
    Fault,
    NewTurn,
    TurnTimeout(usize, u64),
    Strike,
    SendStrikes(usize),
    StrikesTimeout(StrikeBatch),
    Release,
    List(usize),
    NewStream,
    TakeUp(usize),
    /// the attempt and round of a stream.
    StreamTimeout(usize, (u64, u64)),
    Continue(usize),
    NewPassedTurn,
    Pass(usize),
    /// a frozen helper of a turn that was passed on goes on.
    Thaw(usize, TurnTokens),
}

/// sender of a request, found by its connection.
#[derive(Clone)]
pub enum Requester {
    Node {
        name: String,
        start: u64,
    },
    Turn {
        index: usize,
        member: String,
        turn: Option<String>,
        about_program: bool,
        round: u64,
    },
    Strikes(StrikeBatch),
    /// `key` is the attempt and round of the stream.
    Stream {
        index: usize,
        member: String,
        key: (u64, u64),
    },
    /// the answer does not matter.
    Nobody,
}

pub struct World {
    pub rng: StdRng,
    pub now_ms: u64,
    pub machines: BTreeMap<String, Machine>,
    pub view: LedgerView,
    pub platform_up: bool,
    pub partitions: BTreeSet<(String, String)>,
    pub retiring: BTreeSet<String>,
    pub door_views: Vec<LedgerView>,
    pub disk_count: u64,
    pub reference: Reference,
    pub strike_doors: Vec<StrikeDoor>,
    pub streams: Vec<CallerStream>,
    pub replicas: Replicas,
    pub conversations: Vec<Conversation>,
    pub passed_turns: Vec<PassedTurn>,
    /// requests with strikes in flight, by door and number.
    pub batches_in_flight: BTreeSet<(usize, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    requesters: BTreeMap<u64, Requester>,
    request_count: u64,
    /// turns with their doors and rounds.
    pub turns: Vec<(usize, Turn, u64)>,
    lost_disks: u32,
    pub budget_tokens: u64,
    is_traced: bool,
    /// whether messages have short delays only.
    pub has_short_delays: bool,
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
            platform_up: true,
            partitions: BTreeSet::new(),
            retiring: BTreeSet::new(),
            door_views: vec![empty_view(lost_disks); DOORS],
            disk_count: 0,
            reference: Reference::default(),
            strike_doors: (0..DOORS).map(|_| StrikeDoor::default()).collect(),
            streams: Vec::new(),
            replicas: Replicas::new(DOORS),
            conversations: Vec::new(),
            passed_turns: Vec::new(),
            batches_in_flight: BTreeSet::new(),
            events: BTreeMap::new(),
            event_count: 0,
            requesters: BTreeMap::new(),
            request_count: 0,
            turns: Vec::new(),
            lost_disks,
            budget_tokens,
            is_traced: std::env::var_os("LEDGER_TRACE").is_some(),
            has_short_delays: false,
        };
        for _ in 0..2 * lost_disks + 1 {
            world.add_machine();
        }
        world
    }

    /// runs with faults, then without, and checks that each confirmed turn can be continued.
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
        self.partitions.clear();
        self.has_short_delays = true;
        self.run_until(self.now_ms + RECOVERY_MS);
        self.check_confirmed();
    }

    /// continues each confirmed turn.
    fn check_confirmed(&mut self) {
        let confirmed: Vec<String> = self.reference.confirmed.keys().cloned().collect();
        for (number, previous) in confirmed.iter().enumerate() {
            // A program of its own still has its whole budget.
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
            assert!(
                self.reference.confirmed.contains_key(&format!("after-{previous}")),
                "the turn after {previous} was not confirmed"
            );
        }
    }

    /// state of the nodes and the view, for messages of failed checks.
    pub fn describe(&self) -> String {
        let mut text = format!("platform view {:?}\n", self.view);
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

    pub fn run_until(&mut self, until_ms: u64) {
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

    /// prints an event if `LEDGER_TRACE` is set, to analyze a failed seed.
    pub fn trace(&self, what: &str) {
        if self.is_traced {
            eprintln!("{:>6} {what}", self.now_ms);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Boot(name) => {
                self.trace(&format!("boot {name}"));
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
            Event::Heal(partition) => {
                self.partitions.remove(&partition);
            }
            Event::PlatformBack => self.platform_up = true,
            Event::Fault => self.inject_fault(),
            Event::NewTurn => self.new_turn(),
            Event::TurnTimeout(index, round) => self.on_turn_timeout(index, round),
            Event::Strike => self.add_strike(),
            Event::SendStrikes(door) => self.send_strikes(door),
            Event::StrikesTimeout(batch) => self.on_strikes_timeout(&batch),
            Event::Release => self.release(),
            Event::List(door) => self.list_replicas(door),
            Event::NewStream => self.new_stream(),
            Event::TakeUp(index) => self.take_up(index),
            Event::StreamTimeout(index, key) => self.on_stream_timeout(index, key),
            Event::Continue(index) => self.continue_conversation(index),
            Event::NewPassedTurn => self.new_passed_turn(),
            Event::Pass(index) => self.advance_passed(index),
            Event::Thaw(index, tokens) => self.thaw(index, &tokens),
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

    pub fn send_retiring(&mut self) {
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
                let requester = Requester::Node { name: name.to_owned(), start };
                self.send(name, &member.name, requester, ask);
            }
            CoreAction::ReadView => {
                let view = self.platform_up.then(|| self.view.clone());
                let in_ms = self.delay_ms();
                self.schedule(in_ms, Event::View(name.to_owned(), start, view));
            }
            CoreAction::ProposeView { change, view } => {
                let is_next = self.platform_up && self.view.epoch + 1 == view.epoch;
                if is_next {
                    let members: Vec<String> = view
                        .members
                        .iter()
                        .map(|member| format!("{}/{}", member.name, member.disk))
                        .collect();
                    self.trace(&format!("{name} writes view {} {change} {members:?}", view.epoch));
                    self.view = view;
                }
                // The reply may be lost although the write has succeeded.
                let is_reply_received = self.platform_up && self.rng.random_range(0..10) > 0;
                let seen = is_reply_received.then(|| self.view.clone());
                let in_ms = self.delay_ms();
                self.schedule(in_ms, Event::View(name.to_owned(), start, seen));
            }
            CoreAction::ReportRetirement(phase) => {
                let reported = self.platform_up.then_some(phase);
                if reported == Some(RetirementPhase::Completed) {
                    self.trace(&format!("{name} is retired and removed"));
                    let machine = self.machines.get_mut(name).expect("a machine");
                    machine.stop(0);
                    machine.is_removed = true;
                    machine.synced.clear();
                    self.retiring.remove(name);
                    self.send_retiring();
                    return;
                }
                let in_ms = self.delay_ms();
                let input = CoreInput::RetirementReported { phase: reported };
                self.schedule(in_ms, Event::Input(name.to_owned(), start, input));
            }
            CoreAction::CaughtUp => self.trace(&format!("{name} is complete")),
            CoreAction::StrikeAdded { .. } | CoreAction::RunsOrphaned(_) => {}
            CoreAction::ToldMissingTurns { .. } | CoreAction::TurnsExtended(_) => {}
            CoreAction::CompactLog(_) | CoreAction::ViewChanged(_) => {}
        }
    }

    fn delay_ms(&mut self) -> u64 {
        if !self.has_short_delays && self.rng.random_range(0..20) == 0 {
            return self.rng.random_range(10..400);
        }
        self.rng.random_range(1..6)
    }

    fn is_partitioned(&self, left: &str, right: &str) -> bool {
        let contains =
            |left: &str, right: &str| self.partitions.contains(&(left.to_owned(), right.to_owned()));
        contains(left, right) || contains(right, left)
    }

    pub fn send(&mut self, from: &str, to: &str, requester: Requester, ask: LedgerAsk) {
        let in_ms = self.delay_ms();
        let Some(machine) = self.machines.get(to) else {
            return;
        };
        if self.is_partitioned(from, to) || machine.core.is_none() {
            return;
        }
        let start = machine.start;
        self.request_count += 1;
        let connection = self.request_count;
        self.requesters.insert(connection, requester);
        let input = CoreInput::Ask(ConnectionId(connection), Box::new(ask));
        self.schedule(in_ms, Event::Input(to.to_owned(), start, input));
    }

    fn on_answer(&mut self, connection: u64, answer: LedgerAnswer) {
        match self.requesters.get(&connection).cloned() {
            None | Some(Requester::Nobody) => {}
            Some(Requester::Stream { index, member, key }) => {
                self.on_stream_answer(index, &member, key, answer.reply);
            }
            Some(Requester::Node { name, start }) => {
                if let LedgerReply::Records(page) = &answer.reply
                    && page.last < u64::MAX / 2
                {
                    let what =
                        format!("{name} copies {} records, complete {}", page.records.len(), page.complete);
                    self.trace(&what);
                }
                self.input(&name, start, CoreInput::Answer(Box::new(answer)));
            }
            Some(Requester::Strikes(batch)) => self.on_strikes_answer(&batch, answer.reply),
            // An answer to an earlier round is dropped.
            Some(Requester::Turn { round, index, .. }) if self.turns[index].2 != round => {}
            Some(Requester::Turn { index, member, turn, about_program, .. }) => {
                self.on_turn_answer(index, &member, turn.as_deref(), about_program, answer.reply);
            }
        }
    }

    fn new_turn(&mut self) {
        let program = self.rng.random_range(0..PROGRAMS);
        let request = format!("t{}", self.turns.len());
        let confirmed: Vec<String> =
            self.reference.confirmed.keys().filter(|name| !name.starts_with("after")).cloned().collect();
        let continues = !confirmed.is_empty() && self.rng.random_range(0..4) > 0;
        let previous = continues.then(|| confirmed[self.rng.random_range(0..confirmed.len())].clone());
        let door = self.rng.random_range(0..DOORS);
        self.begin(door, Turn::new(program, request, previous, self.budget_tokens, TURN_TOKENS));
    }

    pub fn begin(&mut self, door: usize, mut turn: Turn) {
        turn.away_offset = self.rng.random_range(0..5);
        self.turns.push((door, turn, 0));
        // A door without a view reads it from the platform.
        if self.door_views[door].members.is_empty() && self.platform_up {
            self.door_views[door] = self.view.clone();
        }
        self.restart_turn(self.turns.len() - 1);
    }

    fn restart_turn(&mut self, index: usize) {
        let (door, turn, round) = &mut self.turns[index];
        let view = self.door_views[*door].clone();
        *round += 1;
        turn.stage_ends_ms = self.now_ms + STAGE_TIMEOUT_MS;
        let request = turn.restart(&view);
        let round = *round;
        let may_ask_others = matches!(turn.stage, Stage::Begin | Stage::Store) && !turn.asks_all;
        let asked = turn.asked();
        for member in asked {
            self.ask_one(index, &member.name, request.clone());
        }
        let timeout_ms = if may_ask_others { PREFERRED_TIMEOUT_MS } else { STAGE_TIMEOUT_MS };
        self.schedule(timeout_ms, Event::TurnTimeout(index, round));
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
        let requester =
            Requester::Turn { index, member: member.to_owned(), turn: named, about_program, round: *round };
        self.send(&from, member, requester, LedgerAsk { id: 1, epoch, request });
    }

    fn on_turn_answer(
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
                    turn.replies.add_account(member, named, account);
                } else {
                    turn.replies.add_history(member, named, account);
                }
            }
            LedgerReply::Stored(stored) => {
                turn.replies.add_stored(member, stored);
                let what = format!(
                    "{} {:?} stored at {member}, epoch {}",
                    turn.request, turn.stage, turn.view.epoch
                );
                self.trace(&what);
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
                let request = turn.request_message();
                self.ask_one(index, member, LedgerRequest::Push(push));
                self.ask_one(index, member, request);
                return;
            }
            LedgerReply::Stale(_)
            | LedgerReply::Records(_)
            | LedgerReply::News(_)
            | LedgerReply::Granted(_) => {}
        }
        let (_, turn, _) = &mut self.turns[index];
        let before = turn.stage;
        let request = turn.advance(&mut self.reference);
        let after = turn.stage;
        let what = format!(
            "p{} {} {before:?} -> {after:?} away {} after {member}, held {}",
            turn.program,
            turn.request,
            turn.is_away,
            turn.replies.held_tokens()
        );
        if before != after {
            self.trace(&what);
        }
        if after != before && after != Stage::Done && after != Stage::Store {
            self.restart_turn(index);
        } else if let Some(request) = request {
            self.ask_all(index, &request);
        }
    }

    /// handles a timeout: a turn that ends or may still ask other members retries, any other is abandoned
    /// undecided.
    fn on_turn_timeout(&mut self, index: usize, round: u64) {
        let (_, turn, current) = &mut self.turns[index];
        if *current != round || turn.stage == Stage::Done {
            return;
        }
        let may_ask_others = matches!(turn.stage, Stage::Begin | Stage::Store) && !turn.asks_all;
        if turn.stage == Stage::Finish || may_ask_others {
            // First retry at members other than the preferred ones, then at all.
            turn.asks_all |= may_ask_others && turn.is_away;
            turn.is_away |= may_ask_others;
            self.restart_turn(index);
            return;
        }
        turn.stage = Stage::Done;
        self.reference.undecided_count += 1;
    }
}
