use std::collections::BTreeMap;

use flamingostand::door::TurnRole;
use flamingostand::door::TurnTokens;
use rand::RngExt;

use super::door::Stage;
use super::door::Turn;
use super::door::TurnKind;
use super::world::DOORS;
use super::world::Event;
use super::world::TURN_TOKENS;
use super::world::World;

/// tokens of one event.
const EVENT_TOKENS: u64 = 5;
/// helpers that a door asks for one turn.
const MAX_HELPERS: usize = 3;
/// interval at which a turn looks whether its step has ended.
const POLL_MS: u64 = 20;
/// programs whose turns are passed on.
const PROGRAMS: u64 = 3;
/// time in which turns begin.
const SPAN_MS: u64 = 12_000;

/// what becomes of a turn at a helper that has reserved its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// the helper is cut off too and declines the turn.
    Declines,
    /// the helper is frozen; it goes on later, for nobody.
    Freezes,
    /// the helper runs the turn.
    Runs,
    /// the helper runs the turn and ends before it can report anything.
    Dies,
}

#[derive(Clone, Debug)]
struct Helper {
    tokens: TurnTokens,
    fate: Fate,
}

enum Step {
    /// a reservation is under way, at the caller's door or at a helper.
    Reserving(usize, Option<Helper>),
    /// a helper runs the turn until then.
    Running(u64, Helper),
    /// the caller's door has ended the reservation.
    Ended,
}

/// a turn that a door passes on to others.
pub struct PassedTurn {
    program: u64,
    request: String,
    /// the account of the caller's door.
    tokens: TurnTokens,
    helpers: usize,
    step: Step,
}

impl World {
    /// turns that are passed on to doors which decline them, freeze, die or run them, over faults.
    ///
    /// No program is handed more than its budget, and in the end nothing is held but what was handed out.
    pub fn run_with_passed_turns(&mut self, faults: usize, turns: usize) {
        for _ in 0..faults {
            let at_ms = self.rng.random_range(3_000..SPAN_MS);
            self.schedule(at_ms, Event::Fault);
        }
        for _ in 0..turns {
            let at_ms = self.rng.random_range(2_000..SPAN_MS);
            self.schedule(at_ms, Event::NewPassedTurn);
        }
        self.run_until(SPAN_MS + 6_000);
        self.partitions.clear();
        self.has_short_delays = true;
        self.run_until(self.now_ms + 30_000);
        for program in 0..PROGRAMS {
            let handed_out = self.reference.handed_out.get(&program).copied().unwrap_or(0);
            assert_eq!(
                self.held_tokens(program),
                handed_out,
                "held by program {program}: {}",
                self.describe()
            );
        }
    }

    pub fn new_passed_turn(&mut self) {
        let index = self.passed_turns.len();
        let program = self.rng.random_range(0..PROGRAMS);
        let request = format!("passed-{index}");
        let tokens = TurnTokens::new(TurnRole::Caller, EVENT_TOKENS, TURN_TOKENS);
        self.passed_turns.push(PassedTurn { program, request, tokens, helpers: 0, step: Step::Ended });
        // The cut shows before the door has reserved tokens, or after.
        match self.rng.random_range(0..2) {
            0 => self.reserve(index, None),
            _ => {
                self.passed_turns[index].tokens.close();
                self.pass_on(index);
            }
        }
    }

    fn reserve(&mut self, index: usize, helper: Option<Helper>) {
        let passed = &self.passed_turns[index];
        let (program, request) = (passed.program, passed.request.clone());
        let mut turn = Turn::new(program, request, None, self.budget_tokens, TURN_TOKENS);
        turn.kind = TurnKind::Reservation;
        self.passed_turns[index].step = Step::Reserving(self.turns.len(), helper);
        let door = self.rng.random_range(0..DOORS);
        self.begin(door, turn);
        self.schedule(POLL_MS, Event::Pass(index));
    }

    fn pass_on(&mut self, index: usize) {
        let passed = &mut self.passed_turns[index];
        if passed.helpers == MAX_HELPERS {
            return self.end(index);
        }
        passed.helpers += 1;
        passed.tokens.reopen();
        let fate = match self.rng.random_range(0..8) {
            0..3 => Fate::Declines,
            3 => Fate::Freezes,
            4 => Fate::Dies,
            _ => Fate::Runs,
        };
        let tokens = TurnTokens::new(TurnRole::Helper, EVENT_TOKENS, TURN_TOKENS);
        self.reserve(index, Some(Helper { tokens, fate }));
    }

    /// the next step of a turn, if the last one has ended.
    pub fn advance_passed(&mut self, index: usize) {
        match std::mem::replace(&mut self.passed_turns[index].step, Step::Ended) {
            Step::Reserving(turn, helper) if self.turns[turn].1.stage != Stage::Done => {
                self.passed_turns[index].step = Step::Reserving(turn, helper);
                self.schedule(POLL_MS, Event::Pass(index));
            }
            Step::Reserving(turn, helper) => {
                let is_admitted = self.turns[turn].1.is_admitted;
                self.on_reserved(index, is_admitted, helper);
            }
            Step::Running(until_ms, helper) if self.now_ms < until_ms => {
                self.passed_turns[index].step = Step::Running(until_ms, helper);
                self.schedule(POLL_MS, Event::Pass(index));
            }
            Step::Running(_, helper) => self.on_answered(index, helper),
            Step::Ended => {}
        }
    }

    fn on_reserved(&mut self, index: usize, is_admitted: bool, helper: Option<Helper>) {
        match helper {
            None if is_admitted => self.pass_on(index),
            None => self.end(index),
            Some(mut helper) if helper.fate == Fate::Declines => {
                helper.tokens.leave_to_others();
                self.settle(index, &helper.tokens);
                self.pass_on(index);
            }
            Some(helper) if helper.fate == Fate::Freezes => {
                let in_ms = self.rng.random_range(0..3_000);
                self.schedule(in_ms, Event::Thaw(index, helper.tokens));
                self.pass_on(index);
            }
            Some(helper) if is_admitted => {
                let until_ms = self.now_ms + self.rng.random_range(POLL_MS..600);
                self.passed_turns[index].step = Step::Running(until_ms, helper);
                self.schedule(POLL_MS, Event::Pass(index));
            }
            Some(helper) => {
                self.settle(index, &helper.tokens);
                self.end(index);
            }
        }
    }

    fn on_answered(&mut self, index: usize, mut helper: Helper) {
        let events = self.rng.random_range(0..=TURN_TOKENS / EVENT_TOKENS);
        let passed = &mut self.passed_turns[index];
        for _ in 0..events {
            assert!(passed.tokens.record_event() && helper.tokens.record_event());
        }
        self.reference.hand_out(passed.program, events * EVENT_TOKENS, self.budget_tokens);
        if helper.fate != Fate::Dies {
            self.settle(index, &helper.tokens);
        }
        self.end(index);
    }

    /// a frozen helper goes on: its answer reaches nobody.
    pub fn thaw(&mut self, index: usize, tokens: &TurnTokens) {
        self.settle(index, tokens);
    }

    fn end(&mut self, index: usize) {
        let tokens = self.passed_turns[index].tokens.clone();
        self.settle(index, &tokens);
    }

    /// reports the end of a turn as a door does, until it is stored.
    fn settle(&mut self, index: usize, tokens: &TurnTokens) {
        let Some(used_tokens) = tokens.at_end() else {
            return;
        };
        let passed = &self.passed_turns[index];
        let mut turn = Turn::new(passed.program, passed.request.clone(), None, 0, TURN_TOKENS);
        turn.kind = TurnKind::Settlement(used_tokens);
        turn.stage = Stage::Finish;
        let door = self.rng.random_range(0..DOORS);
        self.begin(door, turn);
    }

    /// the tokens that a program holds by what all members know.
    fn held_tokens(&self, program: u64) -> u64 {
        let mut held: BTreeMap<String, (bool, u64)> = BTreeMap::new();
        for machine in self.machines.values() {
            let Some(core) = machine.core.as_ref().filter(|core| core.node().is_member()) else {
                continue;
            };
            for spend in core.node().store().spends(&format!("p{program}"), 0) {
                let known = held.entry(spend.request).or_default();
                // An end counts before a reservation, and the largest of several.
                *known = (*known).max((spend.settled, spend.tokens));
            }
        }
        held.values().map(|(_, tokens)| tokens).sum()
    }
}
