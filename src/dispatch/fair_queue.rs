use std::collections::BTreeSet;
use std::collections::HashMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

/// resolution of the virtual clock: units for one token at weight one.
const UNITS_PER_TOKEN: u64 = 1_000;

new_key_type! {
    /// a workspace inside one queue.
    struct WorkspaceKey;
}

/// one turn as the queue sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedTurn<'a> {
    /// names the turn.
    pub ticket: u64,
    /// workspace that pays.
    pub workspace: &'a str,
    /// weight of the workspace, from now on.
    pub weight: u32,
    /// estimated cost for the engine.
    pub cost_tokens: u64,
    /// place inside the workspace, the smallest first.
    pub rank: u64,
}

/// one workspace's turns and what it has been served.
#[derive(Debug)]
struct WorkspaceLine {
    name: String,
    weight: u32,
    start: u64,
    turns: BTreeSet<(u64, u64)>,
    queued_cost_tokens: u64,
    running: u32,
}

/// place of a queued turn.
#[derive(Clone, Copy, Debug)]
struct Place {
    workspace: WorkspaceKey,
    rank: u64,
    cost_tokens: u64,
}

/// a queue that is fair by weight among workspaces, in cost for the engine.
///
/// Start-time fair queueing: each workspace carries the virtual time of its next turn, and the
/// least goes first. What a turn really cost is settled when it ends. A workspace that was idle
/// starts at the queue's virtual time, so idleness earns no credit.
#[derive(Debug, Default)]
pub struct FairQueue {
    lines: SlotMap<WorkspaceKey, WorkspaceLine>,
    names: HashMap<String, WorkspaceKey>,
    waiting: BTreeSet<(u64, WorkspaceKey)>,
    places: HashMap<u64, Place>,
    virtual_time: u64,
    queued_cost_tokens: u64,
    waiting_weight: u64,
}

impl FairQueue {
    /// number of queued turns.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// tells whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// estimated cost of all queued turns.
    pub fn queued_cost_tokens(&self) -> u64 {
        self.queued_cost_tokens
    }

    /// number of workspaces that the queue remembers.
    pub fn workspace_count(&self) -> usize {
        self.lines.len()
    }

    /// adds a turn.
    pub fn push(&mut self, turn: QueuedTurn<'_>) {
        let key = self.line_key(turn.workspace);
        self.set_weight(key, turn.weight);
        let line = &mut self.lines[key];
        if line.turns.is_empty() {
            line.start = line.start.max(self.virtual_time);
            self.waiting.insert((line.start, key));
            self.waiting_weight += u64::from(line.weight);
        }
        line.turns.insert((turn.rank, turn.ticket));
        line.queued_cost_tokens += turn.cost_tokens;
        self.queued_cost_tokens += turn.cost_tokens;
        let place = Place { workspace: key, rank: turn.rank, cost_tokens: turn.cost_tokens };
        self.places.insert(turn.ticket, place);
    }

    /// the turn that `pop` would take.
    pub fn peek(&self) -> Option<u64> {
        let (_, key) = self.waiting.first()?;
        let (_, ticket) = self.lines[*key].turns.first()?;
        Some(*ticket)
    }

    /// takes the next turn and charges its workspace the estimate.
    pub fn pop(&mut self) -> Option<u64> {
        let ticket = self.peek()?;
        let place = self.places[&ticket];
        let start = self.lines[place.workspace].start;
        self.virtual_time = self.virtual_time.max(start);
        self.detach(ticket);
        self.charge(place.workspace, place.cost_tokens as i64);
        self.lines[place.workspace].running += 1;
        Some(ticket)
    }

    /// takes a turn out without charging for it.
    pub fn remove(&mut self, ticket: u64) -> bool {
        self.detach(ticket).is_some()
    }

    /// corrects what a workspace was charged for a turn that ended.
    pub fn settle(&mut self, workspace: &str, estimated_tokens: u64, actual_tokens: u64) {
        let Some(key) = self.names.get(workspace).copied() else { return };
        self.charge(key, actual_tokens as i64 - estimated_tokens as i64);
        let line = &mut self.lines[key];
        line.running = line.running.saturating_sub(1);
    }

    /// turns of a workspace that were popped and have not been settled.
    pub fn running(&self, workspace: &str) -> u32 {
        self.names.get(workspace).map_or(0, |key| self.lines[*key].running)
    }

    /// cost that is served before a new turn of `workspace`, all workspaces taken together.
    pub fn cost_ahead_tokens(&self, workspace: &str) -> u64 {
        let Some(key) = self.names.get(workspace) else { return 0 };
        let line = &self.lines[*key];
        let fair = line.queued_cost_tokens.saturating_mul(self.waiting_weight) / u64::from(line.weight);
        fair.min(self.queued_cost_tokens)
    }

    /// forgets idle workspaces that owe nothing.
    pub fn sweep(&mut self) {
        let virtual_time = self.virtual_time;
        let names = &mut self.names;
        self.lines.retain(|_, line| {
            let keep = !line.turns.is_empty() || line.running > 0 || line.start > virtual_time;
            if !keep {
                names.remove(&line.name);
            }
            keep
        });
    }

    /// tickets of all queued turns, in ascending order.
    pub fn tickets(&self) -> Vec<u64> {
        let mut tickets: Vec<u64> = self.places.keys().copied().collect();
        tickets.sort_unstable();
        tickets
    }

    fn line_key(&mut self, workspace: &str) -> WorkspaceKey {
        if let Some(key) = self.names.get(workspace) {
            return *key;
        }
        let line = WorkspaceLine {
            name: workspace.to_string(),
            weight: 1,
            start: self.virtual_time,
            turns: BTreeSet::new(),
            queued_cost_tokens: 0,
            running: 0,
        };
        let key = self.lines.insert(line);
        self.names.insert(workspace.to_string(), key);
        key
    }

    fn set_weight(&mut self, key: WorkspaceKey, weight: u32) {
        let line = &mut self.lines[key];
        let old = line.weight;
        line.weight = weight.max(1);
        if !line.turns.is_empty() {
            self.waiting_weight = self.waiting_weight - u64::from(old) + u64::from(line.weight);
        }
    }

    fn detach(&mut self, ticket: u64) -> Option<Place> {
        let place = self.places.remove(&ticket)?;
        let line = &mut self.lines[place.workspace];
        line.turns.remove(&(place.rank, ticket));
        line.queued_cost_tokens -= place.cost_tokens;
        self.queued_cost_tokens -= place.cost_tokens;
        if line.turns.is_empty() {
            self.waiting.remove(&(line.start, place.workspace));
            self.waiting_weight -= u64::from(line.weight);
        }
        Some(place)
    }

    fn charge(&mut self, key: WorkspaceKey, cost_tokens: i64) {
        let line = &mut self.lines[key];
        let waits = !line.turns.is_empty();
        if waits {
            self.waiting.remove(&(line.start, key));
        }
        let units = cost_tokens.unsigned_abs() * UNITS_PER_TOKEN / u64::from(line.weight);
        line.start =
            if cost_tokens < 0 { line.start.saturating_sub(units) } else { line.start.saturating_add(units) };
        if waits {
            self.waiting.insert((line.start, key));
        }
    }
}
