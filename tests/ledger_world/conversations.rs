use rand::RngExt;

use super::door::Stage;
use super::door::Turn;
use super::world::DOORS;
use super::world::Event;
use super::world::TURN_TOKENS;
use super::world::World;

/// how long after its end a turn may be continued.
const RETENTION_MS: u64 = 60_000;
/// what doors add to the retention.
const MARGIN_MS: u64 = 30_000;
/// pause of a caller whose turn has failed.
const RETRY_MS: u64 = 300;
/// longest pause between two turns: the rest of the retention is left for retries.
const MAX_PAUSE_MS: u64 = 55_000;
/// budget that no conversation exhausts.
const BUDGET_TOKENS: u64 = 1_000_000;

/// a conversation whose turns go on from each other.
#[derive(Default)]
pub struct Conversation {
    /// the last turn sent, by its index in the world.
    sent: Option<usize>,
    /// the newest confirmed turn, and when it was seen as confirmed.
    newest: Option<(String, u64)>,
}

impl World {
    /// conversations with long pauses, over faults; each goes on from its newest turn until its retention ends.
    pub fn run_with_pauses(&mut self, faults: usize, conversations: usize) {
        let span_ms = 200_000;
        for _ in 0..faults {
            let at_ms = self.rng.random_range(3_000..span_ms);
            self.schedule(at_ms, Event::Fault);
        }
        for index in 0..conversations {
            self.conversations.push(Conversation::default());
            let at_ms = self.rng.random_range(2_000..10_000);
            self.schedule(at_ms, Event::Continue(index));
        }
        self.run_until(span_ms + 2 * (RETENTION_MS + MARGIN_MS));
    }

    /// sends the next turn of a conversation, once the last one has ended.
    pub fn continue_conversation(&mut self, index: usize) {
        if let Some(sent) = self.conversations[index].sent {
            let turn = &self.turns[sent].1;
            if turn.stage != Stage::Done {
                return self.schedule(RETRY_MS, Event::Continue(index));
            }
            let request = turn.request.clone();
            self.conversations[index].sent = None;
            if self.reference.confirmed.contains_key(&request) {
                self.conversations[index].newest = Some((request, self.now_ms));
                // Short pauses build up histories, long ones outlast what was not extended.
                let is_long = self.rng.random_range(0..3) == 0;
                let pause_ms = self.rng.random_range(RETRY_MS..if is_long { MAX_PAUSE_MS } else { 5_000 });
                return self.schedule(pause_ms, Event::Continue(index));
            }
        }
        let newest = self.conversations[index].newest.clone();
        let is_kept = |at_ms: u64| self.now_ms < at_ms + RETENTION_MS;
        let previous = newest.filter(|(_, at_ms)| is_kept(*at_ms)).map(|(request, _)| request);
        let request = format!("c{index}-{}", self.turns.len());
        let mut turn = Turn::new(index as u64, request, previous, BUDGET_TOKENS, TURN_TOKENS);
        turn.keep_ms = RETENTION_MS + MARGIN_MS;
        self.conversations[index].sent = Some(self.turns.len());
        let door = self.rng.random_range(0..DOORS);
        self.begin(door, turn);
        self.schedule(RETRY_MS, Event::Continue(index));
    }
}
