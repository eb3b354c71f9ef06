use flamingostand::routing::CallerLimits;
use flamingostand::routing::RequestKind;
use flamingostand::routing::Route;
use flamingostand::routing::RouteTable;
use rand::RngExt;

use super::door::Stage;
use super::door::Turn;
use super::door::TurnKind;
use super::world::DOORS;
use super::world::Event;
use super::world::TURN_TOKENS;
use super::world::World;

/// how long after its end a turn may be continued.
const RETENTION_MS: u64 = 60_000;
/// pause of a caller whose turn has failed, and until it looks again at one that has not ended.
const RETRY_MS: u64 = 300;
/// longest pause between two turns: the rest of the retention is left for retries.
const MAX_PAUSE_MS: u64 = 55_000;
/// longest pause between two turns of a caller that goes on at once.
const SHORT_PAUSE_MS: u64 = 5_000;
/// longest time of a usual turn, and the shortest timeout.
const USUAL_TURN_MS: u64 = 3_000;
/// budget that no conversation exhausts.
const BUDGET_TOKENS: u64 = 1_000_000;

/// a conversation whose turns go on from each other.
#[derive(Default)]
pub struct Conversation {
    step: Step,
    /// longest time that a turn may take.
    turn_timeout_ms: u64,
    /// the newest confirmed turn, and when it was seen as confirmed.
    newest: Option<(String, u64)>,
}

/// what a conversation waits for.
#[derive(Clone, Default)]
enum Step {
    /// the next turn, which may be sent.
    #[default]
    Idle,
    /// the turn with this index in the world to be granted.
    Beginning(usize),
    /// the end of the run of a granted turn.
    Running(usize),
    /// the end of the turn to be stored.
    Ending(usize),
}

/// how long doors have a turn kept, on a route with this timeout.
fn keep_ms(turn_timeout_ms: u64) -> u64 {
    let limits = CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 100_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let route = Route {
        name: "kept".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RequestKind::Streaming,
        backends: Vec::new(),
        timeout_ms: turn_timeout_ms,
        target_latency_ms: 250,
        priority: 0,
        max_attempts: 1,
        retention_ms: Some(RETENTION_MS),
        sticky: true,
        resumable: false,
        is_public: false,
    };
    RouteTable::new(1, limits, vec![route], Vec::new()).keep_ms(RETENTION_MS)
}

impl World {
    /// conversations with long pauses, over faults, whose turns take as long as they may; each goes on from its newest turn until its
    /// retention ends.
    pub fn run_with_pauses(&mut self, faults: usize, conversations: usize, turn_timeout_ms: u64) {
        let span_ms = 200_000;
        for _ in 0..faults {
            let at_ms = self.rng.random_range(3_000..span_ms);
            self.schedule(at_ms, Event::Fault);
        }
        for index in 0..conversations {
            self.conversations.push(Conversation { turn_timeout_ms, ..Conversation::default() });
            let at_ms = self.rng.random_range(2_000..10_000);
            self.schedule(at_ms, Event::Continue(index));
        }
        self.run_until(span_ms + 2 * keep_ms(turn_timeout_ms));
    }

    /// the next step of a conversation, if the last one has ended.
    pub fn continue_conversation(&mut self, index: usize) {
        let next_ms = match self.conversations[index].step.clone() {
            Step::Beginning(turn) | Step::Ending(turn) if self.turns[turn].1.stage != Stage::Done => RETRY_MS,
            Step::Idle => self.send_turn(index),
            Step::Beginning(turn) if self.turns[turn].1.is_admitted => {
                self.conversations[index].step = Step::Running(turn);
                let most_ms = self.sometimes(self.conversations[index].turn_timeout_ms, USUAL_TURN_MS);
                self.rng.random_range(RETRY_MS..most_ms)
            }
            Step::Running(turn) => self.end_turn(index, turn),
            Step::Ending(turn) if self.is_confirmed(turn) => {
                let request = self.turns[turn].1.request.clone();
                self.conversations[index].newest = Some((request, self.now_ms));
                self.conversations[index].step = Step::Idle;
                // Short pauses build up histories, long ones outlast what was not extended.
                let most_ms = self.sometimes(MAX_PAUSE_MS, SHORT_PAUSE_MS);
                self.rng.random_range(RETRY_MS..most_ms)
            }
            Step::Beginning(_) | Step::Ending(_) => {
                self.conversations[index].step = Step::Idle;
                RETRY_MS
            }
        };
        self.schedule(next_ms, Event::Continue(index));
    }

    fn sometimes(&mut self, rare: u64, usual: u64) -> u64 {
        if self.rng.random_range(0..3) == 0 { rare } else { usual }
    }

    fn is_confirmed(&self, turn: usize) -> bool {
        self.reference.confirmed.contains_key(&self.turns[turn].1.request)
    }

    /// begins the next turn; returns when to look at it.
    fn send_turn(&mut self, index: usize) -> u64 {
        let newest = self.conversations[index].newest.clone();
        let is_kept = |at_ms: u64| self.now_ms < at_ms + RETENTION_MS;
        let previous = newest.filter(|(_, at_ms)| is_kept(*at_ms)).map(|(request, _)| request);
        let request = format!("c{index}-{}", self.turns.len());
        let mut turn = Turn::new(index as u64, request, previous, BUDGET_TOKENS, TURN_TOKENS);
        turn.kind = TurnKind::Reservation;
        self.conversations[index].step = Step::Beginning(self.turns.len());
        let door = self.rng.random_range(0..DOORS);
        self.begin(door, turn);
        RETRY_MS
    }

    /// stores the end of a turn whose run has ended; returns when to look at it.
    fn end_turn(&mut self, index: usize, begun: usize) -> u64 {
        let begun = &self.turns[begun].1;
        let (request, previous) = (begun.request.clone(), begun.previous.clone());
        let mut turn = Turn::new(index as u64, request, previous, BUDGET_TOKENS, TURN_TOKENS);
        turn.keep_ms = keep_ms(self.conversations[index].turn_timeout_ms);
        turn.stage = Stage::Finish;
        self.reference.said.insert(turn.request.clone(), (turn.previous.clone(), turn.said()));
        self.conversations[index].step = Step::Ending(self.turns.len());
        let door = self.rng.random_range(0..DOORS);
        self.begin(door, turn);
        RETRY_MS
    }
}
